"""What one life of the agent knows of the claims it was sent dispatches for."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.agent.expiring_map import ExpiringMap
from kingcupwheel.messages.attempts import DispatchRefusal


if TYPE_CHECKING:
    from kingcupwheel.agent.attempts import AttemptKey
    from kingcupwheel.messages.attempts import ClaimRef

# The platform drops a claim after its retention (a day unless the manifest says
# otherwise). An agent remembers for longer than a claim object can name it, so nothing
# asks for a claim that was forgotten.
_RETENTION_S = 48 * 3600.0


class ClaimState(NamedTuple):
    """The highest fence seen, who set it, and the one attempt that was accepted."""

    fence: int
    is_tombstoned: bool
    accepted_key: AttemptKey | None


_INITIAL_STATE = ClaimState(0, False, None)


class ClaimFences:
    """Fences and accepted attempts by claim.

    A claim has one accepted attempt at most; it is taken back only by ``release``, when
    that attempt surely never reached the server.
    """

    def __init__(self) -> None:
        self._by_id: ExpiringMap[str, ClaimState] = ExpiringMap(ttl_s=_RETENTION_S)

    def get_accepted_key(self, claim_id: str) -> AttemptKey | None:
        """Return the attempt that was accepted for the claim, or None."""
        return self._get_state(claim_id).accepted_key

    def raise_fence(self, ref: ClaimRef, *, now: float) -> DispatchRefusal | None:
        """Raise the claim's fence, or say why a dispatch with this one is refused."""
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
        """Record the attempt that may run for the claim."""
        state = self._get_state(claim_id)._replace(accepted_key=key)
        self._by_id.put(claim_id, state, now=now)

    def release(self, claim_id: str, *, now: float) -> None:
        """Record that the accepted attempt never reached the server."""
        state = self._get_state(claim_id)._replace(accepted_key=None)
        self._by_id.put(claim_id, state, now=now)

    def set_tombstone(
        self, claim_id: str, fence: int, *, now: float
    ) -> AttemptKey | None:
        """Refuse lower fences from now on; return the attempt accepted before."""
        state = self._get_state(claim_id)
        if fence >= state.fence:
            state = ClaimState(fence, True, state.accepted_key)
        self._by_id.put(claim_id, state, now=now)
        return state.accepted_key

    def expire(self, *, now: float) -> None:
        """Forget what is too old."""
        self._by_id.expire(now=now)

    def _get_state(self, claim_id: str) -> ClaimState:
        return self._by_id.get(claim_id) or _INITIAL_STATE
