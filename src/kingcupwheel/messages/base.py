"""Base class of the messages between processes."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An immutable message, encoded as a tagged msgpack array.

    Every token of a stream is a message of its own; arrays save the field names on
    this hot path.
    """
