"""State that an agent keeps of the group that it coordinates."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.lockstep.change_protocol import Idle
from kingcupwheel.lockstep.group_state import GroupState
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.lockstep.balancer import Balancer
    from kingcupwheel.lockstep.change_protocol import LayerPlacements
    from kingcupwheel.lockstep.change_protocol import Phase
    from kingcupwheel.lockstep.rank_reports import RankState
    from kingcupwheel.lockstep.roster import Roster
    from kingcupwheel.messages.lockstep import RankStateReply

log = lines_of("maps")


class CoordinationSession:
    """Coordination of one epoch of a group by one agent, until it is closed.

    ``layers`` is the active map. ``is_rescue`` marks the agent of another rank than
    0, which only ends the change that it found. Not thread-safe.
    """

    def __init__(
        self,
        roster: Roster,
        states_by_rank: Mapping[int, RankState],
        layers: LayerPlacements,
        balancer: Balancer,
        *,
        is_rescue: bool,
    ) -> None:
        self.roster = roster
        self.layers = layers
        self.balancer = balancer
        self.is_rescue = is_rescue
        self.phase: Phase = Idle()
        self.is_closed = False
        self._states_by_rank = dict(states_by_rank)
        self._change_began_at = monotonic()

    @property
    def group(self) -> GroupState:
        """The latest reports of all ranks."""
        return GroupState(
            self.roster.epoch, self.roster.rank_count, self._states_by_rank
        )

    @property
    def change_elapsed_s(self) -> float:
        """Seconds since the change in progress was begun or recovered."""
        return monotonic() - self._change_began_at

    def begin_change(self, phase: Phase) -> None:
        """Enter the first phase of a change and restart its elapsed time."""
        self.phase = phase
        self._change_began_at = monotonic()

    def close(self) -> None:
        """Close the session; the group has to be read again."""
        self.phase = Idle()
        self.is_closed = True

    def update_states(self, replies: Mapping[str, RankStateReply]) -> bool:
        """Store the states; close and return False if the group changed or broke."""
        for rank, agent in self.roster.agents_by_rank.items():
            reply = replies.get(agent)
            if reply is None or reply.state is None:
                continue
            known = self._states_by_rank.get(rank)
            if not self.roster.is_same_incarnation(rank, known, reply.state):
                log.info("group-changed", rank=rank, epoch=reply.state.epoch)
                self.close()
                return False
            if not reply.state.is_open:
                log.info("group-broken", rank=rank, epoch=reply.state.epoch)
                self.close()
                return False
            self._states_by_rank[rank] = reply.state
        return True
