"""What is remembered of attempts that are over or never ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.agent.expiring_map import ExpiringMap


if TYPE_CHECKING:
    from kingcupwheel.agent.attempts import AttemptKey
    from kingcupwheel.messages.attempts import DispatchRefusal

# A copy of a dispatch carries the token of the first one and is refused as stale
# ``token_s`` after that token, so a refusal kept twice as long outlives every copy.
_REFUSAL_RETENTION_RATIO = 2.0
# What ran is remembered for longer. A stale copy of it must not be told ``not-run``; a
# dispatch whose token is older than this memory may be one, and is told ``unknown``.
# An entry that was paused for less than this still learns how its attempts ended.
_MIN_ENDED_RETENTION_S = 600.0


class AttemptHistory:
    """Tombstones, ended attempts and cancels that came before their dispatch."""

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
        """How long it is remembered what ran, in seconds after its end."""
        return self._ended_retention_s

    def has_ended(self, key: AttemptKey) -> bool:
        """Return whether the attempt ran and ended."""
        return self._ended.get(key) is not None

    def get_refusal(self, key: AttemptKey) -> DispatchRefusal | None:
        """Return why the attempt was refused, or None if it was not."""
        return self._refusals.get(key)

    def is_cancelled(self, key: AttemptKey) -> bool:
        """Return whether a cancel of an attempt never seen is noted."""
        return self._cancelled.get(key) is not None

    def record_end(self, key: AttemptKey, *, now: float) -> None:
        """Note that the attempt ran and ended."""
        self._ended.put(key, True, now=now)

    def record_refusal(
        self, key: AttemptKey, reason: DispatchRefusal, *, now: float
    ) -> None:
        """Note that the attempt never ran; a copy of its dispatch is told the same."""
        self._refusals.put(key, reason, now=now)

    def record_cancel(self, key: AttemptKey, *, now: float) -> None:
        """Note that the attempt is to be refused if its dispatch comes."""
        self._cancelled.put(key, True, now=now)

    def expire(self, *, now: float) -> None:
        """Forget what is too old."""
        self._ended.expire(now=now)
        self._refusals.expire(now=now)
        self._cancelled.expire(now=now)
