"""Builders of settings as plain data for tests."""

from __future__ import annotations

from typing import Any


def build_entry() -> dict[str, Any]:
    return {
        "name": "entry-1",
        "role": "entry",
        "data_centre": "Heredia",
        "listen": "127.0.0.1:7000",
        "http": "127.0.0.1:8000",
        "platform": {"url": "http://127.0.0.1:9000"},
    }


def build_agent() -> dict[str, Any]:
    return {
        "name": "agent-1",
        "role": "agent",
        "data_centre": "Heredia",
        "listen": "127.0.0.1:7001",
        "platform": {"url": "http://127.0.0.1:9000"},
        "group": "bundles",
        "server": {"url": "http://127.0.0.1:8080"},
    }
