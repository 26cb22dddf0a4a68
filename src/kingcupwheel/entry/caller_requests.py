"""Validated requests of callers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.manifest.schema import Organisation
    from kingcupwheel.manifest.schema import Route
    from kingcupwheel.manifest.schema import ServerGroup


class CallerRequest(NamedTuple):
    """A caller's request with its route, group and organisation.

    ``fingerprint`` is equal for resends of the same request. ``prefix_key`` identifies
    the prefix of its prompt and is empty if no prefix is cached. ``received_at`` is
    monotonic; ``deadline_s`` is the longest wait for the first byte from then on, and
    ``has_own_deadline`` means that the caller set it.
    """

    request_id: str
    organisation: Organisation
    route: Route
    group: ServerGroup
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_digest: str
    fingerprint: str
    prefix_key: str
    idempotency_key: str
    is_streamed: bool
    max_tokens: int | None
    received_at: float
    deadline_s: float
    has_own_deadline: bool
    manifest_version: int

    @property
    def deadline_at(self) -> float:
        """Deadline of the first byte, monotonic."""
        return self.received_at + self.deadline_s


def compute_fingerprint(
    organisation: str, host: str, method: str, target: str, body_digest: str
) -> str:
    """Return a digest that is equal for resends of a request under any key.

    Crashes are attributed to it, because a caller that sends a request again repeats
    the body, while keys and request ids change. ``target`` is path and query.
    """
    text = "\0".join((organisation, host, method, target, body_digest))
    return hashlib.sha256(text.encode()).hexdigest()[:32]
