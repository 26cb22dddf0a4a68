"""Parsing of integers in untrusted text."""

from __future__ import annotations


# No count of bytes, tokens, events or seconds has more digits.
_MAX_DIGITS = 18


def parse_non_negative_int(text: str) -> int | None:
    """Return ``text`` as a decimal integer, or None if it is not one."""
    if text.isascii() and text.isdecimal() and len(text) <= _MAX_DIGITS:
        return int(text)
    return None
