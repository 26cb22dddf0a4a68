"""Decisions under load: pure functions of state and time."""

from __future__ import annotations
