"""Detects that a caller has disconnected while its request is waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NoReturn
from typing import Protocol

from kingcupwheel.entry.exceptions import CallerDisconnectedError
from kingcupwheel.utils.peer_state import is_closed_by_peer


if TYPE_CHECKING:
    import socket


class CallerConnection(Protocol):
    """The connection of a caller."""

    def is_closed(self) -> bool:
        """Return whether the caller has closed its connection."""

    def raise_disconnected(self) -> NoReturn:
        """Raise CallerDisconnectedError."""


class CallerSocket:
    """Checks a caller's socket without reading from it."""

    def __init__(self, connection: socket.socket | None) -> None:
        self._connection = connection

    def is_closed(self) -> bool:
        """Return whether the caller has closed or reset the connection.

        Unread bytes belong to its next request and don't mean that it is closed.
        """
        if self._connection is None:
            return False
        return is_closed_by_peer(self._connection)

    def raise_disconnected(self) -> NoReturn:
        """Raise CallerDisconnectedError."""
        raise CallerDisconnectedError("the caller closed its connection")
