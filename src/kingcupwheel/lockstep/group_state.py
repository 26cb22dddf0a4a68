"""State of a group, derived from the latest reports of its ranks."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.lockstep.rank_reports import RankState

# The rank whose agent coordinates; it is armed last.
COORDINATOR_RANK = 0
# The rank that holds passes, unless the group has a single rank.
HOLDER_RANK = 1


class GroupState(NamedTuple):
    """The latest reports of one epoch, by rank."""

    epoch: int
    rank_count: int
    states_by_rank: Mapping[int, RankState]

    @property
    def coordinator_state(self) -> RankState:
        """The report of rank 0, the coordinator's rank."""
        return self.states_by_rank[COORDINATOR_RANK]

    @property
    def holder_rank(self) -> int:
        """The rank that holds passes."""
        return min(HOLDER_RANK, self.rank_count - 1)

    @property
    def held_step(self) -> int | None:
        """The pass that some rank holds, or None."""
        states = self.states_by_rank.values()
        return next((one.held for one in states if one.held is not None), None)

    def is_held_up_to(self, step: int) -> bool:
        """Return whether ``step`` or an earlier pass is held.

        A later pass is held for another change, which only the coordinator begins.
        """
        held = [one.held for one in self.states_by_rank.values()]
        return any(one is not None and one <= step for one in held)

    @property
    def latest_step(self) -> int:
        """The latest pass that any rank reports as begun."""
        return max(one.step for one in self.states_by_rank.values())

    @property
    def newest_pending_version(self) -> int:
        """The highest version that any rank reports as prepared or armed."""
        states = self.states_by_rank.values()
        return max(max(one.prepared, one.armed) for one in states)

    @property
    def highest_version(self) -> int:
        """The highest version that any rank reports."""
        states = self.states_by_rank.values()
        return max(max(one.version, one.prepared, one.armed) for one in states)

    def all_prepared(self, version: int) -> bool:
        """Return whether every rank reports ``version`` as prepared."""
        return all(one.prepared == version for one in self.states_by_rank.values())

    def all_armed(self, version: int) -> bool:
        """Return whether every rank reports ``version`` as armed or active."""
        return all(
            is_armed_or_active(one, version) for one in self.states_by_rank.values()
        )

    def others_armed(self, version: int) -> bool:
        """Return whether every rank but 0 reports ``version`` as armed or active."""
        return all(
            is_armed_or_active(one, version)
            for rank, one in self.states_by_rank.items()
            if rank != COORDINATOR_RANK
        )

    def is_superseded(self, version: int) -> bool:
        """Return whether ``version`` is void on some rank, so it can't be completed."""
        return any(
            is_version_void(one, version) for one in self.states_by_rank.values()
        )


def is_armed_or_active(state: RankState, version: int) -> bool:
    """Return whether the rank reports ``version`` as armed or active."""
    return version in (state.armed, state.version)


def is_version_void(state: RankState, version: int) -> bool:
    """Return whether the rank is not armed and can't be armed with ``version``."""
    return state.prepared > version and not state.armed
