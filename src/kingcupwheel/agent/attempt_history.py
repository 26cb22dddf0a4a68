"""History of attempts that ended or never ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.agent.expiring_map import ExpiringMap


if TYPE_CHECKING:
    from kingcupwheel.agent.attempts import AttemptKey
    from kingcupwheel.messages.attempts import DispatchRefusal

# A copy of a dispatch carries the same token and is refused as stale ``token_s`` after
# that token, so a refusal kept for twice as long outlives every copy.
_REFUSAL_RETENTION_RATIO = 2.0
# A stale copy of an attempt that ran must not be refused as ``not-run``, so a dispatch
# whose token is older than this is reported as ``unknown``. An entry that was paused
# for less than this time still learns how its attempts ended.
_MIN_ENDED_RETENTION_S = 600.0


class AttemptHistory:
    """Ended attempts, refused attempts and cancels received before their dispatch."""

    def __init__(self, *, token_s: float) -> None:
        refused_s = _REFUSAL_RETENTION_RATIO * token_s
        self._ended_retention_s = max(_MIN_ENDED_RETENTION_S, refused_s)
        self._ended: ExpiringMap[AttemptKey, bool] = ExpiringMap(
            ttl_s=self._ended_retention_s
        )
        self._refusals: ExpiringMap[AttemptKey, DispatchRefusal] = ExpiringMap(
            ttl_s=refused_s
        )
        self._cancelled: ExpiringMap[AttemptKey, bool] = ExpiringMap(ttl_s=refused_s)

    @property
    def ended_retention_s(self) -> float:
        """How long an ended attempt is kept, in seconds."""
        return self._ended_retention_s

    def has_ended(self, key: AttemptKey) -> bool:
        """Return whether the attempt ran and ended."""
        return self._ended.get(key) is not None

    def get_refusal(self, key: AttemptKey) -> DispatchRefusal | None:
        """Return the reason of the attempt's refusal, or None."""
        return self._refusals.get(key)

    def is_cancelled(self, key: AttemptKey) -> bool:
        """Return whether a cancel was recorded before the attempt's dispatch."""
        return self._cancelled.get(key) is not None

    def record_end(self, key: AttemptKey, *, now: float) -> None:
        """Record that the attempt ran and ended."""
        self._ended.put(key, True, now=now)

    def record_refusal(
        self, key: AttemptKey, reason: DispatchRefusal, *, now: float
    ) -> None:
        """Record that the attempt never ran, for copies of its dispatch."""
        self._refusals.put(key, reason, now=now)

    def record_cancel(self, key: AttemptKey, *, now: float) -> None:
        """Record that the attempt must be refused if its dispatch arrives."""
        self._cancelled.put(key, True, now=now)

    def expire(self, *, now: float) -> None:
        """Remove expired records."""
        self._ended.expire(now=now)
        self._refusals.expire(now=now)
        self._cancelled.expire(now=now)
