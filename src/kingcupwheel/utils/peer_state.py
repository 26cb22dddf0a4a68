"""Tells whether the peer of a connection has closed it, without waiting for it."""

from __future__ import annotations

import socket


def is_closed_by_peer(connection: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection; never waits.

    Unread bytes are no close.

    Failure: a receive call of a socket with a timeout waits for input before it looks
    at its flags. Symptom: where another thread has just read the bytes that poll had
    announced, the caller of this function stands still for the whole timeout. A second
    socket object without a timeout, on the same descriptor, returns at once.
    """
    try:
        twin = socket.socket(
            connection.family, connection.type, connection.proto, connection.fileno()
        )
    except (OSError, ValueError):
        return True
    try:
        return not twin.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        twin.detach()
