"""Decoder of untrusted JSON; it returns errors and never raises."""

from __future__ import annotations

from typing import Annotated
from typing import TypeVar

import msgspec
from expression import Error
from expression import Ok
from expression import Result


T = TypeVar("T")

# Unix milliseconds, 0 if unknown. Numbers that a float can't represent exactly are not
# valid times.
StartTimeMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


def decode_json(raw: bytes | msgspec.Raw, kind: type[T]) -> Result[T, str]:
    """Return ``raw`` decoded as ``kind``, or why it is invalid.

    Deeply nested input raises ``RecursionError`` in the decoder, not a decode error.
    Text that ``kind`` does not use is not checked by the decoder.
    """
    try:
        bytes(raw).decode()
        return Ok(msgspec.json.decode(raw, type=kind))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Error(f"{type(error).__name__}: {error}"[:200])
