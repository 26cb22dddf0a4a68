"""The root of every exception raised by this package."""

from __future__ import annotations


class KingcupwheelError(Exception):
    """Base class; each layer derives its own from it."""
