"""What an agent knows of the group that it coordinates, and how far a change is."""

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
    """One epoch of a group, from when an agent takes charge of it until it is left.

    ``layers`` is the map in force. ``rescues`` tells that the agent is not rank 0's and
    only ends the change that it found. Belongs to one thread.
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
        """The ranks' latest reports."""
        return GroupState(
            self.roster.epoch, self.roster.rank_count, self._states_by_rank
        )

    @property
    def change_elapsed_s(self) -> float:
        """Seconds since the change under way was begun or taken up."""
        return monotonic() - self._change_began_at

    def begin_change(self, phase: Phase) -> None:
        """Begin a change, whose time counts from now."""
        self.phase = phase
        self._change_began_at = monotonic()

    def close(self) -> None:
        """End the charge: everything is to be read anew."""
        self.phase = Idle()
        self.is_closed = True

    def update_states(self, replies: Mapping[str, RankStateReply]) -> bool:
        """Take in states; leave and return False if the group is no longer the same."""
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
