"""Errors of the plug-in registries."""

from __future__ import annotations

from kingcupwheel.exceptions import KingcupwheelError


class PluginError(KingcupwheelError):
    """Base class of this layer's errors."""


class DuplicatePluginError(PluginError):
    """Two plug-ins of one kind ask for the same name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f"two {kind} plug-ins are called {name!r}")


class UnknownPluginError(PluginError):
    """No plug-in of that kind has that name."""

    def __init__(self, kind: str, name: str, known: tuple[str, ...]) -> None:
        super().__init__(f"no {kind} plug-in {name!r}; known: {', '.join(known)}")
