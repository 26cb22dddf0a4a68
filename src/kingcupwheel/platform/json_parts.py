"""Takes unreadable values out of JSON.

The decoder checks all of a document, also the parts that it is told to leave encoded:
one string or one deeply nested value that it can't read fails the whole document.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.platform.decoding import decode_json


if TYPE_CHECKING:
    from collections.abc import Iterator

# Possessive: the matcher would otherwise keep a state of a hundred bytes for each byte.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_TOKEN = re.compile(_STRING + rb"|[\[\]{},]", re.DOTALL)
_MEMBER = re.compile(rb"\s*(" + _STRING + rb"\s*:)(.*)", re.DOTALL)
_NULL = b"null"


def replace_unreadable(raw: bytes, levels: int) -> bytes:
    """Return JSON with null for each value that can't be read.

    Values are looked into for so many levels; below them, one that has an unreadable
    part is null as a whole. What is no JSON at all stays no JSON, or is null.
    """
    if decode_json(raw, msgspec.Raw).is_ok():
        return raw
    found = raw.strip()
    if levels > 0 and found.startswith(b"["):
        items = (replace_unreadable(one, levels - 1) for one in _split(found))
        return b"[%b]" % b",".join(items)
    if levels > 0 and found.startswith(b"{"):
        members = (_MEMBER.fullmatch(one) for one in _split(found))
        kept = (
            one[1] + replace_unreadable(one[2], levels - 1) for one in members if one
        )
        return b"{%b}" % b",".join(kept)
    return _NULL


def _split(raw: bytes) -> Iterator[bytes]:
    """Yield what stands between the commas of the outermost array or object."""
    depth = start = 0
    for token in _TOKEN.finditer(raw):
        match token[0]:
            case b"[" | b"{":
                depth += 1
                if depth == 1:
                    start = token.end()
            case b"]" | b"}":
                depth -= 1
                if depth == 0:
                    if raw[start : token.start()].strip():
                        yield raw[start : token.start()]
                    return
            case b"," if depth == 1:
                yield raw[start : token.start()]
                start = token.end()
