"""A caller's request on its way straight to a server."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.entry.requests import fingerprint_of


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.forwarding.configuration import ForwardRoute
    from kingcupwheel.forwarding.deadlines import Deadlines
    from kingcupwheel.forwarding.http_metadata import CallerMetadata

# Priority 0 is the most urgent on the platform; the queue's is the other way round.
LOWEST_PRIORITY = 9


class ForwardRequest(NamedTuple):
    """Everything that is known of a request before it is placed.

    ``id`` is the caller's name for this send, so that one search finds it in every
    log. ``fingerprint`` names the same request sent again, empty for one that has no
    body to tell it by. ``target`` is path and query as they came. ``received_at`` is
    monotonic.
    """

    id: str
    route: ForwardRoute
    service: str
    organisation: str
    priority: int
    method: str
    target: str
    headers: Mapping[str, str]
    head: CallerMetadata
    body: bytes
    fingerprint: str
    received_at: float
    deadlines: Deadlines
    version: int
    version_age_s: float

    @property
    def predicted_work(self) -> float:
        """Predicted work in prompt tokens; one written costs about ten read."""
        return max(1.0, self.head.prompt_tokens + 10.0 * self.head.answer_tokens)


def request_fingerprint(organisation: str, target: str, body: bytes) -> str:
    """Return what names this request when it comes again, empty without a body."""
    if not body:
        return ""
    return fingerprint_of(organisation, target, body.hex())
