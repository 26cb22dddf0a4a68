"""Results of a request, as passed to the HTTP layer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.entry.refusals import Refusal
    from kingcupwheel.messages.attempts import Outcome


class BufferedAnswer(NamedTuple):
    """An answer read completely before its head is sent; a header has the outcome."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: Outcome


class StreamedAnswer(NamedTuple):
    """An answer that is sent while it is read.

    ``body`` raises ``AnswerTruncatedError`` if the rest is lost, so that the connection
    is closed without the regular end of a body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]


class RefusedAnswer(NamedTuple):
    """A refusal in place of a backend server's answer."""

    refusal: Refusal


Answer = BufferedAnswer | StreamedAnswer | RefusedAnswer
