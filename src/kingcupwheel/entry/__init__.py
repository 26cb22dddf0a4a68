"""The entry daemon: admits callers' requests and relays their answers."""

from __future__ import annotations
