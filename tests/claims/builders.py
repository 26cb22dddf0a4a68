from __future__ import annotations

from kingcupwheel.claims.claim_records import ClaimRecord
from kingcupwheel.claims.claim_store import generate_write_nonce


def build_record(fence: int = 1, *, created_at: float = 1.0) -> ClaimRecord:
    return ClaimRecord(
        organisation="agency",
        request_id="entry.1.a",
        attempt=1,
        nonce=generate_write_nonce(),
        body_digest="digest",
        entry="entry",
        agent="server-1",
        address="127.0.0.1:7400",
        incarnation="life-1",
        fence=fence,
        created_at=created_at,
    )
