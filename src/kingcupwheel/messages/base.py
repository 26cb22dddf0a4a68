"""The base of all messages between the system's own processes."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An immutable message.

    It travels as a tagged msgpack array: a frame for each token is the hot path, and
    arrays spare the field names.
    """
