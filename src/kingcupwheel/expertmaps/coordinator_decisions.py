"""Pure functions behind the decisions of a coordinator."""

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

# Assumed until the step rate of a group is known; engine steps take a few milliseconds.
# Too high a rate only delays the switch to a new map, too low a rate pauses ranks.
_ASSUMED_STEPS_PER_S = 250.0
# Over a shorter time the rate would mostly reflect the variation of message delays.
_MIN_RATE_WINDOW_S = 0.5


class StepRate(NamedTuple):
    """Step rate of a group, from the last step reported and when it was reported."""

    last_step: int = 0
    observed_at: float = 0.0
    steps_per_s: float = _ASSUMED_STEPS_PER_S

    def with_observation(self, step: int, now: float) -> StepRate:
        """Return the rate updated with a rank that was at ``step`` at ``now``."""
        if now - self.observed_at < _MIN_RATE_WINDOW_S:
            return self
        if self.observed_at and step > self.last_step:
            return StepRate(
                step, now, (step - self.last_step) / (now - self.observed_at)
            )
        return StepRate(step, now, self.steps_per_s)

    def steps_in(self, lead_s: float) -> int:
        """Return how many steps a group runs in ``lead_s``, rounded up."""
        return math.ceil(self.steps_per_s * lead_s)


def is_settled(answer: StateReply, version: MapVersion | None) -> bool:
    """Return whether a rank has committed ``version`` and holds no other version."""
    status = answer.status
    known = status.committed_version is not None and status.committed_version == version
    return known and status.held_version is None


def with_answer(
    answers: tuple[T | None, ...], rank: int, answer: T
) -> tuple[T | None, ...]:
    """Return a copy of ``answers`` with that of ``rank`` set."""
    return (*answers[:rank], answer, *answers[rank + 1 :])


def build_recovery_schedule(
    version: MapVersion, schedules: Iterable[MapSchedule | None], initial_map: ExpertMap
) -> MapSchedule:
    """Return the schedule to commit as ``version``, the highest of ``schedules``.

    A version is committed only after all ranks have prepared it. So a rank that has not
    committed the highest version has been held before its step until now, and runs that
    step on the map that other ranks may already have used. ``initial_map`` is used if
    no rank of the group has a map.
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

    If all ranks loaded at once, they would use the whole rate of the weight store and
    delay engines that are starting. So a rank starts once the ranks before it have had
    the time to load at the rate reserved for rebalancing.
    """
    start_times = []
    start_time = now
    for rank in range(target_map.rank_count):
        start_times.append(start_time)
        move_count = sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(current_map.layers, target_map.layers, strict=True)
        )
        start_time += move_count * seconds_per_expert
    return tuple(start_times)
