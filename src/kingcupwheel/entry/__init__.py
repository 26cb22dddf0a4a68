"""The entry daemon: from a caller's request to its answer."""

from __future__ import annotations
