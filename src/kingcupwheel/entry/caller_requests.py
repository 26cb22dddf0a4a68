"""A caller's request, read and checked."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.manifest.schema import Organisation
    from kingcupwheel.manifest.schema import Route
    from kingcupwheel.manifest.schema import ServerGroup


class CallerRequest(NamedTuple):
    """Everything the entry needs to know of one request.

    ``fingerprint`` names the same request sent again; ``prefix_key`` names the start of
    its prompt, empty where no prefix is cached.
    ``received_at`` is monotonic; ``deadline_s`` is the wait for the first byte, in
    seconds from then, and ``own_deadline`` tells that the caller named it.
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
        """When the wait for the first byte ends, monotonic."""
        return self.received_at + self.deadline_s


def compute_fingerprint(organisation: str, path: str, body_digest: str) -> str:
    """Return what names a request that is sent again, under whatever key.

    It is what crashes are attributed to: a caller repeats the same body, while keys
    and request ids change.
    """
    text = f"{organisation}\0{path}\0{body_digest}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]
