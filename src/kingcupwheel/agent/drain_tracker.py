"""Tracking of a graceful stop; uses no sockets and reads no clock."""

from __future__ import annotations


class DrainTracker:
    """Decides when a draining agent may exit.

    The drain lasts at least ``min_duration_s``, so that a dispatch sent before its
    entry learned of the drain is refused as ``not-run`` instead of getting no reply.
    After the last frame it waits up to ``ack_timeout_s`` for acknowledgements: the
    frames may be lost on a dead link, and an entry that needs them resumes within that
    time.
    """

    def __init__(self, *, min_duration_s: float, ack_timeout_s: float) -> None:
        self._min_duration_s = min_duration_s
        self._ack_timeout_s = ack_timeout_s
        self._begun_at: float | None = None
        self._idle_since: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the drain has begun."""
        return self._begun_at is not None

    def begin(self, *, now: float) -> None:
        """Begin the drain."""
        self._begun_at = now

    def is_complete(self, *, is_busy: bool, undelivered_count: int, now: float) -> bool:
        """Return whether the agent may exit.

        ``is_busy`` is True while an attempt runs or has frames to send;
        ``undelivered_count`` is the number of answers not fully acknowledged.
        """
        if is_busy or self._begun_at is None:
            self._idle_since = None
            return False
        if self._idle_since is None:
            self._idle_since = now
        if now - self._begun_at < self._min_duration_s:
            return False
        return not undelivered_count or now - self._idle_since > self._ack_timeout_s
