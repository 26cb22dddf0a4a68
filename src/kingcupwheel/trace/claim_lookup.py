"""Lookup of a request by its claim; ``kingcupwheel.claims`` defines the format."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.trace.batch_reader import describe_platform_error
from kingcupwheel.trace.exceptions import ClaimNotFound
from kingcupwheel.trace.exceptions import FindError
from kingcupwheel.trace.exceptions import PlatformUnavailable


if TYPE_CHECKING:
    from kingcupwheel.platform.client import PlatformClient


class ClaimSummary(msgspec.Struct, frozen=True):
    """The fields of a claim that tracing reads.

    ``agent`` is the agent that the request was dispatched to, None before that.
    """

    request_id: str
    agent: str | None = None


def build_claim_key(organisation: str, idempotency_key: str) -> str:
    """Return the key of the claim's platform object."""
    text = f"{organisation}\0{idempotency_key}"
    return f"claims/{hashlib.sha256(text.encode()).hexdigest()}"


def find_claim(
    client: PlatformClient, organisation: str, idempotency_key: str
) -> Result[ClaimSummary, FindError]:
    """Return the claim of the organisation's idempotency key."""
    stored = client.read(build_claim_key(organisation, idempotency_key))
    if stored.is_error():
        return Error(PlatformUnavailable(describe_platform_error(stored.error)))
    if stored.ok is None:
        return Error(ClaimNotFound(idempotency_key))
    try:
        return Ok(msgspec.json.decode(stored.ok.value, type=ClaimSummary))
    except msgspec.MsgspecError as error:
        return Error(PlatformUnavailable(f"the claim can't be read: {error}"))
