"""Errors of the plug-in registries."""

from __future__ import annotations

from kingcupwheel.exceptions import KingcupwheelError


class PluginError(KingcupwheelError):
    """Base class of the plug-in errors."""


class DuplicatePluginError(PluginError):
    """A plug-in of the same kind is already registered under this name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f"{kind} plug-in {name!r} is already registered")


class UnknownPluginError(PluginError):
    """No plug-in of this kind is registered under this name."""

    def __init__(self, kind: str, name: str, known: tuple[str, ...]) -> None:
        super().__init__(f"unknown {kind} plug-in {name!r}; known: {', '.join(known)}")
