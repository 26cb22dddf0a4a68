"""Fences and accepted attempts of the claims seen by one agent incarnation."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.agent.expiring_map import ExpiringMap
from kingcupwheel.messages.attempts import DispatchRefusal


if TYPE_CHECKING:
    from kingcupwheel.agent.attempts import AttemptKey
    from kingcupwheel.messages.attempts import ClaimRef

# Longer than the platform retains a claim (a day unless the manifest sets another
# time), so no claim object refers to an agent that has already discarded its fence.
_RETENTION_S = 48 * 3600.0


class ClaimState(NamedTuple):
    """The highest fence seen, whether a tombstone set it, and the accepted attempt."""

    fence: int
    is_tombstoned: bool
    accepted_key: AttemptKey | None


_INITIAL_STATE = ClaimState(0, False, None)


class ClaimFences:
    """Fences and accepted attempts by claim id.

    A claim has at most one accepted attempt. Only ``release`` removes it, when that
    attempt is known not to have reached the server.
    """

    def __init__(self) -> None:
        self._by_id: ExpiringMap[str, ClaimState] = ExpiringMap(ttl_s=_RETENTION_S)

    def get_accepted_key(self, claim_id: str) -> AttemptKey | None:
        """Return the key of the claim's accepted attempt, or None."""
        return self._get_state(claim_id).accepted_key

    def raise_fence(self, ref: ClaimRef, *, now: float) -> DispatchRefusal | None:
        """Raise the claim's fence; return a refusal if the fence is too low."""
        state = self._get_state(ref.claim_id)
        if ref.fence < state.fence:
            return (
                DispatchRefusal.ENTOMBED
                if state.is_tombstoned
                else DispatchRefusal.LOW_FENCE
            )
        if ref.fence > state.fence:
            state = ClaimState(ref.fence, False, state.accepted_key)
        self._by_id.put(ref.claim_id, state, now=now)
        return None

    def accept(self, claim_id: str, key: AttemptKey, *, now: float) -> None:
        """Record the accepted attempt of the claim."""
        state = self._get_state(claim_id)._replace(accepted_key=key)
        self._by_id.put(claim_id, state, now=now)

    def release(self, claim_id: str, *, now: float) -> None:
        """Remove the accepted attempt, which never reached the server."""
        state = self._get_state(claim_id)._replace(accepted_key=None)
        self._by_id.put(claim_id, state, now=now)

    def set_tombstone(
        self, claim_id: str, fence: int, *, now: float
    ) -> AttemptKey | None:
        """Refuse lower fences from now on; return the accepted attempt, if any."""
        state = self._get_state(claim_id)
        if fence >= state.fence:
            state = ClaimState(fence, True, state.accepted_key)
        self._by_id.put(claim_id, state, now=now)
        return state.accepted_key

    def expire(self, *, now: float) -> None:
        """Remove expired claims."""
        self._by_id.expire(now=now)

    def _get_state(self, claim_id: str) -> ClaimState:
        return self._by_id.get(claim_id) or _INITIAL_STATE
