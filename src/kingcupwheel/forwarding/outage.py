"""Since when the store may have been away. Pure: times are arguments.

A watch that the store accepted before an outage may wait through its beginning and end
as in calm. Its answer shows only that the store took calls when it was asked, so an
outage that follows may have begun right after that.
"""

from __future__ import annotations


# A call that fails sooner was refused, in seconds; one that fails later had been taken
# and was cut off, so the store was there until then.
MAX_REFUSAL_S = 0.25


class OutageTracker:
    """The longest time for which the store may have been away, in seconds."""

    def __init__(self) -> None:
        self._accepted_at: float | None = None
        self._began_at: float | None = None

    def record_success(self, asked_at: float) -> None:
        """Note a call that was asked at ``asked_at`` and answered: no outage now."""
        self._accepted_at = asked_at
        self._began_at = None

    def record_failure(self, asked_at: float, now: float, *, silent: bool) -> bool:
        """Note a call that failed at ``now``; return whether it is the first to.

        ``silent`` means that nothing came at all, however long the call lasted.
        """
        if self._began_at is not None:
            return False
        if now - asked_at > MAX_REFUSAL_S and not silent:
            self._began_at = now
        else:
            self._began_at = (
                asked_at if self._accepted_at is None else self._accepted_at
            )
        return True

    @property
    def is_active(self) -> bool:
        """Whether a call has failed since the last answer."""
        return self._began_at is not None

    def duration_s(self, now: float) -> float:
        """Return for how long the store may have been away; 0 if no call failed."""
        return 0.0 if self._began_at is None else now - self._began_at
