"""Numbers as others write them."""

from __future__ import annotations


# More digits than any count of bytes, tokens, events or seconds has.
_MAX_DIGITS = 18


def parse_non_negative_int(text: str) -> int | None:
    """Return the decimal number that ``text`` is, or None if it is none."""
    if text.isascii() and text.isdecimal() and len(text) <= _MAX_DIGITS:
        return int(text)
    return None
