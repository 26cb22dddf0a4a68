"""Builders of servers' entries in the store."""

from __future__ import annotations

from typing import Any


def server_entry(**changes: Any) -> dict[str, Any]:
    """Return a valid server entry with ``changes`` applied."""
    entry = {
        "Service": "llm",
        "Address": "10.0.0.1:8080",
        "Zone": "dc-1",
        "Version": "v1",
        "Slots": 6,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Seq": 4,
    }
    return {**entry, **changes}
