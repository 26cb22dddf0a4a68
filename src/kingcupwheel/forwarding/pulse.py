"""Whether a group's servers send anything at all. Pure: times are arguments.

Load: the ranks of a group run each pass together, so when one of them stalls all of
them do. Harm prevented: every stream of the group looks as if its own server had gone
silent; each is given up and sent to another server of the same group, which has to read
its prompt again once the group goes on, and nothing is gained. New requests meanwhile
go to a group that stands still as if it idled, though another group of the service has
room. The same, less, holds for a group whose passes take too long for its streams:
one of its ranks is slow, or what experts are asked for has jumped.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


# A group whose last sign of life is older stands still as a whole, in seconds. Its
# streams send an event each 0.06 s; passes are seldom longer than 0.1.
STANDSTILL_S = 0.4
# Passes are timed over what agents told of late, in seconds: three of their words.
_TIMED_S = 0.8
# A group lags once its passes take longer than the longest good pause of its streams,
# and no more once they are this part of it: between them it keeps its state.
RECOVERED_PART = 0.75
# What an agent said of its rank counts for so long, in seconds: four of its words.
_WORD_S = 1.0


class RankGroup(NamedTuple):
    """Servers that run each pass together; ``name`` is empty where it is unknown."""

    service: str
    name: str


class _Word(NamedTuple):
    step: int
    busy: bool
    at: float


class Pulse:
    """The signs of life of one group's servers, as one entry sees them.

    Signs are what servers send to this entry, and passes that their agents tell.
    """

    def __init__(self) -> None:
        self._last_by_server: dict[str, float] = {}
        self._word_by_server: dict[str, _Word] = {}
        self._passed_at = float("-inf")
        self._closed_at = float("-inf")
        self._passes: deque[tuple[float, int]] = deque()
        self.stands_still = False
        self.lags = False

    def beat(self, server: str, now: float) -> None:
        """Note that a server sent something."""
        self._last_by_server[server] = now

    def told(
        self, server: str, *, step: int, busy: bool, is_open: bool, now: float
    ) -> None:
        """Take in what the agent beside a server says: its last pass, and its group."""
        before = self._word_by_server.get(server)
        self._word_by_server[server] = _Word(step, busy, now)
        if before is not None and before.step != step:
            self._passed_at = now
            self._time_passes(step, now)
        self._closed_at = float("-inf") if is_open else now

    def _time_passes(self, step: int, now: float) -> None:
        if self._passes and step < self._passes[-1][1]:
            # Told a moment later than another agent's word, or a new epoch's.
            if step > self._passes[0][1]:
                return
            self._passes.clear()
        if not self._passes or step > self._passes[-1][1]:
            self._passes.append((now, step))
        while now - self._passes[0][0] > _TIMED_S:
            self._passes.popleft()

    def pass_s(self) -> float:
        """Return how long a pass takes of late, in seconds; 0 if that is not known."""
        if len(self._passes) < 2:
            return 0.0
        (began, first), (ended, last) = self._passes[0], self._passes[-1]
        return (ended - began) / (last - first)

    def timed(self, gap_s: float) -> bool:
        """Compare passes with a stream's good pause; return whether ``lags`` turned."""
        over = self.pass_s() / gap_s if gap_s > 0.0 else 0.0
        before, self.lags = self.lags, over > (RECOVERED_PART if self.lags else 1.0)
        return before != self.lags

    def is_closed(self, now: float) -> bool:
        """Return whether the latest word is that the group is not open."""
        return now - self._closed_at <= _WORD_S

    def others_live(self, server: str, now: float) -> bool:
        """Return whether another server sent something of late."""
        return any(
            now - at <= STANDSTILL_S
            for name, at in tuple(self._last_by_server.items())
            if name != server
        )

    def quiet_s(self, now: float) -> float:
        """Return how long ago there was any sign of life; infinite if never."""
        sent_at = max(tuple(self._last_by_server.values()), default=float("-inf"))
        return now - max(sent_at, self._passed_at)

    def turned(self, *, streams: int, now: float) -> bool:
        """Return whether the group has just come to stand still, or gone on.

        ``streams`` are those of this entry under way there; agents tell of others'.
        Without any there is nothing to hear.
        """
        busy = streams > 0 or self._is_told_busy(now)
        still = busy and STANDSTILL_S < self.quiet_s(now) < float("inf")
        turned = still != self.stands_still
        self.stands_still = still
        return turned

    def _is_told_busy(self, now: float) -> bool:
        words = tuple(self._word_by_server.values())
        return any(word.busy and now - word.at <= _WORD_S for word in words)

    def forget(self, server: str) -> None:
        """Drop a server that left."""
        self._last_by_server.pop(server, None)
        self._word_by_server.pop(server, None)


class Pulses:
    """Pulses by group."""

    def __init__(self) -> None:
        self._by_group: dict[RankGroup, Pulse] = {}

    def of(self, group: RankGroup) -> Pulse:
        """Return the group's pulse."""
        return self._by_group.setdefault(group, Pulse())

    def items(self) -> tuple[tuple[RankGroup, Pulse], ...]:
        """Return every group's pulse."""
        return tuple(self._by_group.items())

    def forget(self, server: str) -> None:
        """Drop a server that left, whatever its group."""
        for pulse in tuple(self._by_group.values()):
            pulse.forget(server)
