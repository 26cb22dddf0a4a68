"""Validated requests of callers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.crash_causes import build_part_key


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.manifest.schema import Organisation
    from kingcupwheel.manifest.schema import Route
    from kingcupwheel.manifest.schema import ServerGroup

_MAX_SHARED_PARTS = 16
_PART_DIGITS = 24


class CallerRequest(NamedTuple):
    """A caller's request with its route, group and organisation.

    ``fingerprint`` is equal for resends of the same request, ``part_keys`` identify the
    parts that its prompt may share with others. ``prefix_key`` identifies
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
    part_keys: tuple[str, ...] = ()

    @property
    def evidence_keys(self) -> tuple[str, ...]:
        """Keys under which crashes of servers that run the request are filed."""
        return (self.fingerprint, *self.part_keys)

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


def compute_prompt_part_keys(
    group: str, model: str, parts: Sequence[bytes]
) -> tuple[str, ...]:
    """Return the keys of a prompt's shared parts, whoever sends them.

    The last part is the request's own. Of a longer prompt only the first parts count,
    so that one caller can't fill the tables that are kept of them.
    """
    scope = f"{group}\0{model}\0".encode()
    digests = (
        hashlib.sha256(scope + part).hexdigest()
        for part in parts[:-1][:_MAX_SHARED_PARTS]
    )
    return tuple(
        dict.fromkeys(build_part_key(digest[:_PART_DIGITS]) for digest in digests)
    )
