"""Decides when a leaving agent may end; no sockets, no clock reads."""

from __future__ import annotations


class DrainTracker:
    """A planned stop.

    It lasts ``stay_s`` at least: a dispatch sent before its entry heard of the leaving
    still gets its ``not-run`` instead of silence. After the last frame it waits up to
    ``linger_s`` for acknowledgements: the frames may lie on a link that went silent,
    and an entry that still wants them has resumed by the time it would give up.
    """

    def __init__(self, *, min_duration_s: float, ack_timeout_s: float) -> None:
        self._min_duration_s = min_duration_s
        self._ack_timeout_s = ack_timeout_s
        self._begun_at: float | None = None
        self._idle_since: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the agent is leaving."""
        return self._begun_at is not None

    def begin(self, *, now: float) -> None:
        """Begin to leave."""
        self._begun_at = now

    def is_complete(self, *, is_busy: bool, undelivered_count: int, now: float) -> bool:
        """Return whether the agent may end.

        ``busy`` tells that something runs or has frames to send; ``undelivered`` counts
        answers not yet acknowledged to their end.
        """
        if is_busy or self._begun_at is None:
            self._idle_since = None
            return False
        if self._idle_since is None:
            self._idle_since = now
        if now - self._begun_at < self._min_duration_s:
            return False
        return not undelivered_count or now - self._idle_since > self._ack_timeout_s
