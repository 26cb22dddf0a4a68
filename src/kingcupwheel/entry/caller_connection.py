"""Detects that a caller has disconnected while its request is waiting."""

from __future__ import annotations

import select
import socket
from typing import NoReturn
from typing import Protocol

from kingcupwheel.entry.exceptions import CallerDisconnectedError


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
        try:
            readable, _, _ = select.select([self._connection], [], [], 0)
            if not readable:
                return False
            return not self._connection.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True

    def raise_disconnected(self) -> NoReturn:
        """Raise CallerDisconnectedError."""
        raise CallerDisconnectedError("the caller closed its connection")
