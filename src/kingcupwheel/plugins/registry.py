"""A registry of plug-ins; a plug-in registers itself when its module is imported."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from kingcupwheel.plugins.exceptions import DuplicatePluginError
from kingcupwheel.plugins.exceptions import UnknownPluginError


if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class Registry(Generic[T]):
    """Plug-ins of one kind by name; ``kind`` is used in error messages."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._by_name: dict[str, T] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Registered names, sorted."""
        return tuple(sorted(self._by_name))

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers a plug-in as ``name``.

        The decorator raises DuplicatePluginError if the name is taken.
        """

        def add(plugin: T) -> T:
            if name in self._by_name:
                raise DuplicatePluginError(self._kind, name)
            self._by_name[name] = plugin
            return plugin

        return add

    def get(self, name: str) -> T:
        """Return the plug-in registered as ``name``.

        Raises UnknownPluginError, which lists the registered names.
        """
        if name not in self._by_name:
            raise UnknownPluginError(self._kind, name, self.names)
        return self._by_name[name]
