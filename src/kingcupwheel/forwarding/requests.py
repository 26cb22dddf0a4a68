"""A caller's request that is forwarded to a server."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.crash_causes import build_part_key
from kingcupwheel.entry.caller_requests import compute_fingerprint


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.entry.body_memory import RequestBody
    from kingcupwheel.forwarding.configuration import ForwardRoute
    from kingcupwheel.forwarding.deadlines import Deadlines
    from kingcupwheel.forwarding.http_metadata import CallerMetadata

# The platform's priorities are 0 (most urgent) to 9; the queue's order is reversed.
LOWEST_PRIORITY = 9
# Digits of a part's id that a key shows, so that log lines can be searched for it.
_SHOWN_ID_DIGITS = 12
_DIGEST_DIGITS = 12


class ForwardRequest(NamedTuple):
    """An admitted request, before it is assigned to a server.

    ``id`` is the caller's id of this send, so that one search finds it in all logs.
    ``fingerprint`` is the same for every send of the same request, and ``part_keys``
    identify the parts that its prompt shares with others. ``target`` is the
    unchanged path and query. ``received_at`` is monotonic.
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
    body: RequestBody
    fingerprint: str
    part_keys: tuple[str, ...]
    received_at: float
    deadlines: Deadlines
    version: int
    version_age_s: float

    @property
    def evidence_keys(self) -> tuple[str, ...]:
        """Keys under which crashes of servers that run the request are filed."""
        return (self.fingerprint, *self.part_keys)

    @property
    def predicted_work(self) -> float:
        """Predicted work in prompt tokens; an answer token costs about ten of them."""
        return max(1.0, self.head.prompt_tokens + 10.0 * self.head.answer_tokens)


def request_fingerprint(
    organisation: str, host: str, method: str, target: str, body: bytes | bytearray
) -> str:
    """Return the fingerprint of a request, also of one without a body.

    A request without a body is its method and target. Two hosts may have the same
    paths, and callers without a key the same empty organisation.
    """
    digest = hashlib.sha256(body).hexdigest()
    return compute_fingerprint(organisation, host, method, target, digest)


def compute_part_keys(
    service: str, model: str, prompt_parts: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the keys of a prompt's parts, whoever sends them.

    A part may crash the servers of one model and be harmless for others.
    """
    return tuple(_compute_part_key(service, model, part) for part in prompt_parts)


def _compute_part_key(service: str, model: str, part: str) -> str:
    digest = hashlib.sha256("\0".join((service, model, part)).encode()).hexdigest()
    return build_part_key(f"{part[:_SHOWN_ID_DIGITS]}-{digest[:_DIGEST_DIGITS]}")
