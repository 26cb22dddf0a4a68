"""Waits for data on a socket, whatever the number of its descriptor."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import socket

_MS = 1000.0


def is_readable(connection: socket.socket, timeout_s: float) -> bool:
    """Return whether data, or the end, arrives within ``timeout_s`` seconds.

    A soak in a worker with many other tests has descriptors above those that ``select``
    takes.
    """
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return bool(poller.poll(timeout_s * _MS))
