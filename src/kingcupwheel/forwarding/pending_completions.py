"""Complete answers whose servers are not known to be alive yet. Pure."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.forwarding.crash_attribution import LostRun

# A server that ends while it writes is found dead within this time.
COMPLETION_SETTLE_S = 0.25
# A server that has accepted a connection so long after an answer without a length is
# the one that answered; a successor at its address takes longer to start.
MAX_PROOF_S = 1.0
# Completions within that time at an entry's largest rate.
_MAX_COMPLETIONS = 2_048


class Completion(NamedTuple):
    """A complete answer, which counts once its server is known to be alive afterwards.

    ``unframed_run`` is the same run as a lost one if the answer had no length: a crash
    of its server looks like its end, so that it counts only if the server is proven to
    be alive.
    """

    completed_at: float
    keys: tuple[str, ...]
    incarnation: str
    request_id: str
    unframed_run: LostRun | None


class PendingCompletions:
    """Keeps completions until they may count; not thread-safe, times are monotonic."""

    def __init__(self) -> None:
        self._completions: deque[Completion] = deque(maxlen=_MAX_COMPLETIONS)

    def add(self, completion: Completion) -> None:
        """Add a completion, in the order of their times."""
        self._completions.append(completion)

    def take_settled(self, now: float) -> list[Completion]:
        """Remove and return those whose servers would be known to have ended."""
        settled: list[Completion] = []
        while (
            self._completions
            and now - self._completions[0].completed_at >= COMPLETION_SETTLE_S
        ):
            settled.append(self._completions.popleft())
        return settled
