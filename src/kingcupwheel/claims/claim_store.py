"""Claim store on the platform: conditional writes, confirmed by reading back.

A write can take effect while its confirmation is lost. Each write therefore carries a
new nonce: a writer without confirmation reads the claim and compares the nonce. Without
it, an entry would take its own claim for that of another entry and wait for a run that
nobody started.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.claims.claim_records import ClaimRecord
from kingcupwheel.claims.claim_records import StoredClaim
from kingcupwheel.claims.claim_records import build_claim_key
from kingcupwheel.claims.exceptions import ClaimConflict
from kingcupwheel.claims.exceptions import ClaimUnavailable
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable


if TYPE_CHECKING:
    from kingcupwheel.claims.exceptions import ClaimError
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.platform.errors import PlatformError

_DECODER = msgspec.json.Decoder(ClaimRecord)
# Retry-After if the platform is unreachable: about the length of a short outage, and
# well below the time that a person at a counter is willing to wait.
_RETRY_AFTER_S = 5.0


def generate_write_nonce() -> str:
    """Return a random nonce that identifies one write."""
    return secrets.token_hex(8)


class ClaimStore:
    """Creates, updates and reads claims; thread-safe."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def create(
        self, claim_id: str, record: ClaimRecord
    ) -> Result[StoredClaim, ClaimError]:
        """Create the claim; ``ClaimConflict`` if another write created it."""
        write_result = self._client.create(build_claim_key(claim_id), _encode(record))
        return self._confirm_write(claim_id, record, write_result)

    def update(
        self, stored_claim: StoredClaim, record: ClaimRecord
    ) -> Result[StoredClaim, ClaimError]:
        """Replace the claim; ``ClaimConflict`` if another write changed it."""
        key = build_claim_key(stored_claim.claim_id)
        write_result = self._client.update(
            key, _encode(record), version=stored_claim.version
        )
        return self._confirm_write(stored_claim.claim_id, record, write_result)

    def read(self, claim_id: str) -> Result[StoredClaim | None, ClaimUnavailable]:
        """Return the claim, or None if there is none."""
        result = self._client.read(build_claim_key(claim_id))
        if result.is_error():
            return Error(_to_claim_unavailable(result.error))
        if result.ok is None:
            return Ok(None)
        try:
            record = _DECODER.decode(result.ok.value)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return Error(ClaimUnavailable(f"unreadable claim: {error}", _RETRY_AFTER_S))
        return Ok(StoredClaim(claim_id, result.ok.version, record))

    def _confirm_write(
        self,
        claim_id: str,
        record: ClaimRecord,
        write_result: Result[int, PlatformError],
    ) -> Result[StoredClaim, ClaimError]:
        if write_result.is_ok():
            return Ok(StoredClaim(claim_id, write_result.ok, record))
        match write_result.error:
            case Conflict() | Unavailable(sent=True):
                return self._read_back(claim_id, record)
            case error:
                return Error(_to_claim_unavailable(error))

    def _read_back(
        self, claim_id: str, record: ClaimRecord
    ) -> Result[StoredClaim, ClaimError]:
        result = self.read(claim_id)
        if result.is_error():
            return Error(result.error)
        if result.ok is not None and result.ok.record.nonce == record.nonce:
            return Ok(result.ok)
        if result.ok is None:
            # Either the read was stale or the write has not taken effect yet.
            return Error(ClaimUnavailable("claim not confirmed", _RETRY_AFTER_S))
        return Error(ClaimConflict(claim_id))


def _encode(record: ClaimRecord) -> bytes:
    return msgspec.json.encode(record)


def _to_claim_unavailable(error: PlatformError) -> ClaimUnavailable:
    match error:
        case Unavailable(detail, _):
            return ClaimUnavailable(detail, _RETRY_AFTER_S)
        case RateLimited(retry_after_s):
            return ClaimUnavailable("platform asks for fewer calls", retry_after_s)
        case Rejected(status, detail):
            return ClaimUnavailable(f"platform says {status}: {detail}", _RETRY_AFTER_S)
        case Conflict(_, version):
            return ClaimUnavailable(f"claim at version {version}", _RETRY_AFTER_S)
