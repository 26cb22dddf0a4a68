"""The agent daemon: the only way to its backend server."""

from __future__ import annotations
