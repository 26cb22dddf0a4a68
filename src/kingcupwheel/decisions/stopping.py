"""When an entry that stops ends what is in progress. Pure."""

from __future__ import annotations

from typing import NamedTuple


# Parts of the grace, counted from the signal to stop.
# The process stays at least so long, so that callers who still have its address are
# answered and not reset.
_STAYING_PART = 0.4
# What has not ended by then is ended, which leaves time to tell callers so.
_ANSWERING_PART = 0.9
# The process ends by then, whatever is in progress.
_ENDING_PART = 0.95


class Stopping(NamedTuple):
    """A planned stop: ``began_at`` is monotonic; the process may live ``grace_s``."""

    began_at: float
    grace_s: float

    @property
    def stays_until(self) -> float:
        """Until when the process stays, even if nothing is in progress."""
        return self.began_at + _STAYING_PART * self.grace_s

    @property
    def answers_end_at(self) -> float:
        """When requests still in progress get their final answer."""
        return self.began_at + _ANSWERING_PART * self.grace_s

    @property
    def ends_at(self) -> float:
        """When the process ends at the latest."""
        return self.began_at + _ENDING_PART * self.grace_s
