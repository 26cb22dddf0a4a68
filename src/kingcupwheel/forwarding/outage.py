"""Tracks outages of the store. Pure: times are arguments.

A call that stays silent shows an outage, or that its own connection has gone silent
while the store serves all others. The next call is sent on a new connection and tells
them apart: if it fails as well, there is an outage.

A watch that the store accepted before an outage may wait through its beginning and end
normally. Its answer shows only that the store accepted calls when the watch began, so a
following outage may have begun right after that.
"""

from __future__ import annotations


# A call that fails sooner was refused. One that fails later had been accepted and was
# aborted, so the store was available until then.
MAX_REFUSAL_S = 0.25


class OutageTracker:
    """Tracks the longest time for which the store may have been unavailable."""

    def __init__(self) -> None:
        self._accepted_at: float | None = None
        self._began_at: float | None = None
        self._is_certain = False

    def record_success(self, requested_at: float) -> None:
        """Record an answered call that began at ``requested_at``; it ends an outage."""
        self._accepted_at = requested_at
        self._began_at = None
        self._is_certain = False

    def record_failure(
        self, requested_at: float, now: float, *, is_silent: bool
    ) -> bool:
        """Record a call that failed at ``now``; return whether it begins an outage.

        ``is_silent`` means that nothing was received, however long the call lasted.
        """
        if self._began_at is not None:
            self._is_certain = True
            return False
        self._is_certain = not is_silent
        if now - requested_at > MAX_REFUSAL_S and not is_silent:
            self._began_at = now
        else:
            self._began_at = (
                requested_at if self._accepted_at is None else self._accepted_at
            )
        return True

    @property
    def is_active(self) -> bool:
        """Whether a call has failed since the last successful one."""
        return self._began_at is not None

    @property
    def is_certain(self) -> bool:
        """Whether the store itself has failed, not only the connection to it."""
        return self._is_certain

    def duration_s(self, now: float) -> float:
        """Return the longest possible duration of the outage; 0 if there is none."""
        return 0.0 if self._began_at is None else now - self._began_at
