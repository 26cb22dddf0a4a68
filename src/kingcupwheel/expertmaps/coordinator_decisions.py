"""What a coordinator concludes from its ranks' answers, as pure functions."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar

from kingcupwheel.expertmaps.protocol import MapSchedule
from kingcupwheel.expertmaps.protocol import VersionedMap


if TYPE_CHECKING:
    from collections.abc import Iterable

    from kingcupwheel.expertmaps.maps import ExpertMap
    from kingcupwheel.expertmaps.maps import MapVersion
    from kingcupwheel.expertmaps.protocol import StateReply

T = TypeVar("T")

# Engine steps take a few milliseconds; until the pace of a group is known this many
# steps a second are assumed. Too many only delays the switch, too few pauses ranks.
_ASSUMED_STEPS_PER_S = 250.0
# A pace measured over less than this is mostly the spread of message delays.
_MIN_RATE_WINDOW_S = 0.5


class StepRate(NamedTuple):
    """How fast a group steps, from the last ``step`` heard of and when (``at``)."""

    last_step: int = 0
    observed_at: float = 0.0
    steps_per_s: float = _ASSUMED_STEPS_PER_S

    def with_observation(self, step: int, now: float) -> StepRate:
        """Return the pace after a rank was at ``step`` at ``now``."""
        if now - self.observed_at < _MIN_RATE_WINDOW_S:
            return self
        if self.observed_at and step > self.last_step:
            return StepRate(
                step, now, (step - self.last_step) / (now - self.observed_at)
            )
        return StepRate(step, now, self.steps_per_s)

    def steps_in(self, lead_s: float) -> int:
        """Return how many steps a group runs in ``lead_s`` seconds."""
        return math.ceil(self.steps_per_s * lead_s)


def is_settled(answer: StateReply, version: MapVersion | None) -> bool:
    """Tell whether a rank has a map, the one of ``version``, and no version open."""
    status = answer.status
    known = status.committed_version is not None and status.committed_version == version
    return known and status.held_version is None


def with_answer(
    answers: tuple[T | None, ...], rank: int, answer: T
) -> tuple[T | None, ...]:
    """Return ``answers`` with that of ``rank`` in place."""
    return (*answers[:rank], answer, *answers[rank + 1 :])


def build_recovery_schedule(
    version: MapVersion, schedules: Iterable[MapSchedule | None], initial_map: ExpertMap
) -> MapSchedule:
    """Return what to commit as ``version``: the highest that any rank has committed.

    A version is committed only after all ranks prepared it. So a rank that has not
    committed the highest one was held before its step until now, and runs that step on
    the map that others may already have used. ``initial`` is for a group none of whose
    ranks has a map.
    """
    known = [schedule for schedule in schedules if schedule is not None]
    if not known:
        first = VersionedMap(version, initial_map)
        return MapSchedule(version, first, first, 0)
    highest = max(known, key=lambda schedule: schedule.version)
    return MapSchedule(version, highest.old_map, highest.new_map, highest.from_step)


def staging_start_times(
    current_map: ExpertMap,
    target_map: ExpertMap,
    *,
    now: float,
    seconds_per_expert: float,
) -> tuple[float, ...]:
    """Return when each rank may start to load weights (monotonic seconds).

    Load: ranks that load all at once take the weight store's whole rate. Harm: engines
    that are starting wait for theirs. Limit: a rank's turn comes when those before it
    have had the time to load at the rate that is set aside for rebalancing.
    """
    turns = []
    due = now
    for rank in range(target_map.rank_count):
        turns.append(due)
        loads = sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(current_map.layers, target_map.layers, strict=True)
        )
        due += loads * seconds_per_expert
    return tuple(turns)
