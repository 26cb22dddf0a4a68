"""The latest reports of a group's ranks, and what they tell together. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.lockstep.rank_reports import RankState

# The rank that coordinates, and is armed last.
COORDINATOR_RANK = 0
# The rank that holds the pass; in a group of one it is the same.
HOLDER_RANK = 1


class GroupState(NamedTuple):
    """The ranks' latest reports of one epoch, by rank."""

    epoch: int
    rank_count: int
    states_by_rank: Mapping[int, RankState]

    @property
    def coordinator_state(self) -> RankState:
        """The report of rank 0, beside the coordinator."""
        return self.states_by_rank[COORDINATOR_RANK]

    @property
    def holder_rank(self) -> int:
        """The rank that holds passes."""
        return min(HOLDER_RANK, self.rank_count - 1)

    @property
    def held_step(self) -> int | None:
        """The pass that waits to be released at some rank."""
        states = self.states_by_rank.values()
        return next((one.held for one in states if one.held is not None), None)

    def is_held_up_to(self, step: int) -> bool:
        """Return whether ``step`` or an earlier pass is held.

        One that is later is held for another change, by the coordinator alone.
        """
        held = [one.held for one in self.states_by_rank.values()]
        return any(one is not None and one <= step for one in held)

    @property
    def latest_step(self) -> int:
        """The last pass that any rank shows begun."""
        return max(one.step for one in self.states_by_rank.values())

    @property
    def newest_pending_version(self) -> int:
        """The highest version that any rank shows prepared or armed."""
        states = self.states_by_rank.values()
        return max(max(one.prepared, one.armed) for one in states)

    @property
    def highest_version(self) -> int:
        """The highest version that any rank shows."""
        states = self.states_by_rank.values()
        return max(max(one.version, one.prepared, one.armed) for one in states)

    def all_prepared(self, version: int) -> bool:
        """Return whether every rank shows ``version`` prepared."""
        return all(one.prepared == version for one in self.states_by_rank.values())

    def all_armed(self, version: int) -> bool:
        """Return whether every rank shows ``version`` armed or in force."""
        return all(
            is_armed_or_active(one, version) for one in self.states_by_rank.values()
        )

    def others_armed(self, version: int) -> bool:
        """Return whether every rank but 0 shows ``version`` armed or in force."""
        return all(
            is_armed_or_active(one, version)
            for rank, one in self.states_by_rank.items()
            if rank != COORDINATOR_RANK
        )

    def is_superseded(self, version: int) -> bool:
        """Return whether one rank can't be armed with ``version`` any more.

        Nobody can complete that version then.
        """
        return any(
            is_version_void(one, version) for one in self.states_by_rank.values()
        )


def is_armed_or_active(state: RankState, version: int) -> bool:
    """Return whether the rank shows ``version`` armed or in force."""
    return version in (state.armed, state.version)


def is_version_void(state: RankState, version: int) -> bool:
    """Return whether the rank is not armed, and never again can be with ``version``."""
    return state.prepared > version and not state.armed
