"""Base class of the exceptions raised by this package."""

from __future__ import annotations


class KingcupwheelError(Exception):
    """Base class of this package's exceptions; each layer derives its own."""
