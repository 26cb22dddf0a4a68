"""Decodes JSON that anybody may have written; whatever it holds, nothing is raised."""

from __future__ import annotations

from typing import Annotated
from typing import TypeVar

import msgspec
from expression import Error
from expression import Ok
from expression import Result


T = TypeVar("T")

# When a server started, in Unix milliseconds; 0 where it is not told. Numbers beyond
# what a float holds exactly are no times.
StartTimeMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


def decode_json(raw: bytes | msgspec.Raw, kind: type[T]) -> Result[T, str]:
    """Return ``raw`` as a ``kind``, or what is wrong with it.

    Nested deeply enough it exhausts the decoder's recursion and not only its grammar.
    """
    try:
        return Ok(msgspec.json.decode(raw, type=kind))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Error(f"{type(error).__name__}: {error}"[:200])
