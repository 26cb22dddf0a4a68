"""Whether an agent has to take charge of its group, and what it then begins with.

The agent beside rank 0 does so whenever it has no charge.

Failure: that agent is frozen, or killed, between a hold and its release. Symptom: the
whole group stands still until it is back. The agents of two other ranks then end the
change, and do nothing else. If rank 0's server answers they complete it: every rank is
prepared before a pass is held, and completing it twice does no harm. If its whole
machine is frozen they make the change void. For that the hold is given past the agents,
to a server on another machine, so that what gave it and what holds it are not lost
together.
"""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.lockstep.balancer import Balancer
from kingcupwheel.lockstep.change_protocol import Idle
from kingcupwheel.lockstep.change_protocol import recover_phase
from kingcupwheel.lockstep.change_protocol import recover_phase_without_rank_0
from kingcupwheel.lockstep.coordination_session import CoordinationSession
from kingcupwheel.lockstep.group_state import COORDINATOR_RANK
from kingcupwheel.lockstep.roster import Roster
from kingcupwheel.lockstep.roster import assemble_active_map
from kingcupwheel.lockstep.roster import reports_by_rank
from kingcupwheel.lockstep.stall_detector import StallDetector
from kingcupwheel.telemetry.lines import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from kingcupwheel.forwarding.configuration import EngineShape
    from kingcupwheel.lockstep.group_client import GroupClient
    from kingcupwheel.lockstep.rank_reports import RankState
    from kingcupwheel.lockstep.roster import PairedServer
    from kingcupwheel.platform.ranks import RankClient

log = lines_of("maps")

# How often an agent that does not coordinate looks whether it has to, in seconds.
TAKEOVER_CHECK_INTERVAL_S = 0.4
# Ranks whose agents end a change that rank 0's leaves unfinished.
RESCUER_RANKS = (1, 2)
# How often they look at their own rank, in seconds.
RESCUE_CHECK_INTERVAL_S = 0.15


class TakeoverMonitor:
    """Looks at the rank beside this process, and then at its group, when it has to.

    ``find_servers`` returns the addresses of the group's servers by their agents'
    addresses, ``shape`` the engine's shape once it is known.
    """

    def __init__(
        self,
        client: RankClient,
        reach: GroupClient,
        *,
        find_servers: Callable[[], Mapping[str, PairedServer]],
        shape: Callable[[], EngineShape | None],
    ) -> None:
        self._client = client
        self._reach = reach
        self._find_servers = find_servers
        self._shape = shape
        self._standstill = StallDetector()

    def check(self) -> CoordinationSession | float:
        """Return the charge to take, or the seconds until the next look."""
        own = self._client.state()
        if own.is_error() or not own.ok.is_open:
            return TAKEOVER_CHECK_INTERVAL_S
        rescues = own.ok.rank != COORDINATOR_RANK
        if rescues and own.ok.rank not in RESCUER_RANKS:
            return TAKEOVER_CHECK_INTERVAL_S
        if rescues and not self._standstill.is_stalled(own.ok, monotonic()):
            return RESCUE_CHECK_INTERVAL_S
        shape = self._shape()
        if shape is None or not own.ok.ranks:
            return TAKEOVER_CHECK_INTERVAL_S
        return self._take(own.ok, shape, rescues=rescues) or TAKEOVER_CHECK_INTERVAL_S

    def _take(
        self, own: RankState, shape: EngineShape, *, rescues: bool
    ) -> CoordinationSession | None:
        """Return the charge of the group of ``own``, None if there is nothing to do."""
        servers_by_agent = self._find_servers()
        answers = self._reach.fetch_placements(servers_by_agent)
        ranks = reports_by_rank(own, answers)
        # Rank 0 alone is missing: its whole machine is frozen or gone.
        lacks_first = rescues and set(ranks) == set(range(1, own.ranks))
        if len(ranks) < own.ranks and not lacks_first:
            log.info(
                "ranks-missing",
                found=sorted(ranks),
                ranks=own.ranks,
                listed=len(servers_by_agent),
                answered=len(answers),
            )
            return None
        agents = {rank: found.agent for rank, found in ranks.items()}
        roster = Roster(own.epoch, own.ranks, agents, servers_by_agent)
        self._reach.use_roster(roster)
        charge = CoordinationSession(
            roster,
            {rank: found.state for rank, found in ranks.items()},
            assemble_active_map(ranks, own.ranks, shape),
            Balancer(shape),
            rescues=rescues,
        )
        take_up = recover_phase_without_rank_0 if lacks_first else recover_phase
        charge.begin_change(take_up(charge.group, charge.layers))
        if rescues and isinstance(charge.phase, Idle):
            self._reach.reset_silent_agents()
            return None
        log.info(
            "rescuing" if rescues else "coordinating",
            epoch=own.epoch,
            ranks=own.ranks,
            version=own.version,
            held=charge.group.held_step,
            found=len(ranks),
            phase=type(charge.phase).__name__,
        )
        return charge
