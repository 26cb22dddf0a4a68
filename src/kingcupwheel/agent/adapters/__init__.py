"""How an agent talks to its backend server."""

from __future__ import annotations
