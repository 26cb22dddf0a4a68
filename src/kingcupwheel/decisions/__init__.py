"""Load-balancing decisions as pure functions of state and time."""

from __future__ import annotations
