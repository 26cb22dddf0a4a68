"""The little of a claim that tracing needs; ``kingcupwheel.claims`` owns the format."""

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
    """The fields read from a claim; others are left alone.

    ``agent`` is the agent that the claim's request was given to, if any yet.
    """

    request_id: str
    agent: str | None = None


def build_claim_key(organisation: str, idempotency_key: str) -> str:
    """Return the key of the claim's object on the platform."""
    text = f"{organisation}\0{idempotency_key}"
    return f"claims/{hashlib.sha256(text.encode()).hexdigest()}"


def find_claim(
    client: PlatformClient, organisation: str, idempotency_key: str
) -> Result[ClaimSummary, FindError]:
    """Return the claim that the organisation's idempotency key made."""
    read = client.read(build_claim_key(organisation, idempotency_key))
    if read.is_error():
        return Error(PlatformUnavailable(describe_platform_error(read.error)))
    if read.ok is None:
        return Error(ClaimNotFound(idempotency_key))
    try:
        return Ok(msgspec.json.decode(read.ok.value, type=ClaimSummary))
    except msgspec.MsgspecError as error:
        return Error(PlatformUnavailable(f"the claim can't be read: {error}"))
