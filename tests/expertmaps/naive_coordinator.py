"""Unsafe coordinator that commits or aborts by the states it read, without a hold.

Tests use it to show that they find the fault: an earlier order may still take effect.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from kingcupwheel.expertmaps.coordinator import Coordinator
from kingcupwheel.expertmaps.coordinator_decisions import with_answer
from kingcupwheel.expertmaps.phases import Aborting
from kingcupwheel.expertmaps.phases import Committing
from kingcupwheel.expertmaps.protocol import MapSchedule
from kingcupwheel.expertmaps.protocol import VersionedMap


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.phases import Phase
    from kingcupwheel.expertmaps.phases import Surveying
    from kingcupwheel.expertmaps.protocol import StateReply


class NaiveCoordinator(Coordinator):
    def _handle_survey_reply(
        self, phase: Surveying, rank: int, reply: StateReply
    ) -> Phase:
        answers = with_answer(phase.answers, rank, reply)
        if None in answers:
            return replace(phase, answers=answers)
        known = [answer for answer in answers if answer is not None]
        held = {answer.status.held_version for answer in known}
        committed = {answer.status.committed_version for answer in known}
        self._schedule = known[0].schedule
        open_versions = sorted(version for version in held if version is not None)
        if not open_versions or self._schedule is None:
            return self._new_ready_phase()
        version = open_versions[-1]
        if version not in committed:
            return Aborting(version, frozenset())
        new_map = VersionedMap(version, self._schedule.new_map.map)
        schedule = MapSchedule(version, self._schedule.old_map, new_map, 0)
        return Committing(version, schedule, None, frozenset())
