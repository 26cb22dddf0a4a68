"""A send of a request that has led to no answer for the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.forwarding.http_metadata import NO_NOTICE
from kingcupwheel.forwarding.outcomes import AttemptOutcome


if TYPE_CHECKING:
    from kingcupwheel.forwarding.exceptions import AnswerLostError
    from kingcupwheel.forwarding.http_metadata import ServerNotice
    from kingcupwheel.utils.response_limits import ResponseLimit


class FailedSend(NamedTuple):
    """Why a send has failed.

    ``notice`` is what the server said about itself, ``limit`` the limit that its answer
    has exceeded, None if it has not.
    """

    outcome: AttemptOutcome
    reason: str
    notice: ServerNotice = NO_NOTICE
    limit: ResponseLimit | None = None


def lost_answer(error: AnswerLostError) -> FailedSend:
    """Return the failure of a send whose answer was not read to its end."""
    return FailedSend(AttemptOutcome.LOST, str(error), limit=error.limit)
