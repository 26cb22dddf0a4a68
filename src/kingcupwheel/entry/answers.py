"""What a request comes to, as handed to the HTTP layer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.entry.refusals import Refusal
    from kingcupwheel.messages.attempts import Outcome


class WholeAnswer(NamedTuple):
    """An answer that ended before its head was sent, so the head tells the outcome."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: Outcome


class StreamedAnswer(NamedTuple):
    """An answer passed on as it comes.

    ``body`` raises ``AnswerCutError`` where the rest can't be had, so that the
    connection is closed without the mark of a whole answer.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]


class RefusedAnswer(NamedTuple):
    """No answer of a backend server; the refusal is the final answer."""

    refusal: Refusal


Answer = WholeAnswer | StreamedAnswer | RefusedAnswer
