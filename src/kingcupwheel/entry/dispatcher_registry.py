"""Registry of group dispatchers, created when a group is first used."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING

from kingcupwheel.entry.group_dispatcher import GroupDispatcher


if TYPE_CHECKING:
    from kingcupwheel.entry.server_table import ServerTable
    from kingcupwheel.manifest.schema import ServerGroup


class DispatcherRegistry:
    """Keeps one dispatcher per group definition; thread-safe.

    Requests admitted under an earlier manifest finish with that manifest's definition
    of the group. A definition without waiting requests is removed when a new definition
    of the group is first used.
    """

    def __init__(self, servers: ServerTable, *, data_centre: str) -> None:
        self._servers = servers
        self._data_centre = data_centre
        self._by_group: dict[ServerGroup, GroupDispatcher] = {}
        self._lock = Lock()

    def get(self, group: ServerGroup) -> GroupDispatcher:
        """Return the dispatcher for this definition of a group."""
        with self._lock:
            dispatcher = self._by_group.get(group)
            if dispatcher is None:
                self._forget_idle(group.name)
                dispatcher = GroupDispatcher(
                    group, self._servers, data_centre=self._data_centre
                )
                self._by_group[group] = dispatcher
        return dispatcher

    def _forget_idle(self, name: str) -> None:
        idle = [
            group
            for group, dispatcher in self._by_group.items()
            if group.name == name and dispatcher.waiting_count == 0
        ]
        for group in idle:
            del self._by_group[group]

    def place_waiting(self, name: str) -> None:
        """Place the group's waiting requests; called on each agent heartbeat."""
        for group, dispatcher in tuple(self._by_group.items()):
            if group.name == name:
                dispatcher.place_waiting()

    def reset_server_health(self, name: str, server: str) -> None:
        """Forget the failures of an earlier incarnation of the group's ``server``."""
        for group, dispatcher in tuple(self._by_group.items()):
            if group.name == name:
                dispatcher.reset_server_health(server)

    @property
    def waiting_count_by_group(self) -> dict[str, int]:
        """Number of waiting requests by group name."""
        waiting: dict[str, int] = {}
        for group, dispatcher in tuple(self._by_group.items()):
            waiting[group.name] = waiting.get(group.name, 0) + dispatcher.waiting_count
        return waiting
