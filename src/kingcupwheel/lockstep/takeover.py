"""Decides whether an agent takes over the coordination of its group.

The agent of rank 0 does so whenever it has no session.

If that agent is frozen or killed between a hold and its release, the whole group would
stop until it is back. The agents of two other ranks then end the change, and do nothing
else. If the server of rank 0 responds they complete the change: every rank is prepared
before a pass is held, and completing it twice is harmless. If its whole machine is
frozen they void the change. For that the hold is sent directly to a server on another
machine, so that the sender of the hold and the holder of the pass can't be lost
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
from kingcupwheel.lockstep.roster import collect_reports
from kingcupwheel.lockstep.stall_detector import StallDetector
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from kingcupwheel.forwarding.configuration import EngineShape
    from kingcupwheel.lockstep.group_client import GroupClient
    from kingcupwheel.lockstep.rank_reports import RankState
    from kingcupwheel.lockstep.roster import PairedServer
    from kingcupwheel.platform.rank_client import RankClient

log = lines_of("maps")

# How often an agent without a session checks whether it has to take over.
TAKEOVER_CHECK_INTERVAL_S = 0.4
# Ranks whose agents end a change that the agent of rank 0 left unfinished.
RESCUER_RANKS = (1, 2)
# How often these agents read the state of their own rank.
RESCUE_CHECK_INTERVAL_S = 0.15


class TakeoverMonitor:
    """Monitors the local rank and starts a session when a takeover is due.

    ``find_servers`` returns the group's servers by agent address, ``shape`` the shape
    of the engine or None while it is unknown.
    """

    def __init__(
        self,
        client: RankClient,
        group_client: GroupClient,
        *,
        find_servers: Callable[[], Mapping[str, PairedServer]],
        shape: Callable[[], EngineShape | None],
    ) -> None:
        self._client = client
        self._group_client = group_client
        self._find_servers = find_servers
        self._shape = shape
        self._stall_detector = StallDetector()

    def check(self) -> CoordinationSession | float:
        """Return a new session, or the seconds until the next check."""
        report = self._client.fetch_state()
        if report.is_error() or not report.ok.is_open:
            return TAKEOVER_CHECK_INTERVAL_S
        is_rescue = report.ok.rank != COORDINATOR_RANK
        if is_rescue and report.ok.rank not in RESCUER_RANKS:
            return TAKEOVER_CHECK_INTERVAL_S
        if is_rescue and not self._stall_detector.is_stalled(report.ok, monotonic()):
            return RESCUE_CHECK_INTERVAL_S
        shape = self._shape()
        if shape is None or not report.ok.ranks:
            return TAKEOVER_CHECK_INTERVAL_S
        return (
            self._start_session(report.ok, shape, is_rescue=is_rescue)
            or TAKEOVER_CHECK_INTERVAL_S
        )

    def _start_session(
        self, own_state: RankState, shape: EngineShape, *, is_rescue: bool
    ) -> CoordinationSession | None:
        """Return a session of the rank's group, None if there is nothing to do."""
        servers_by_agent = self._find_servers()
        replies = self._group_client.fetch_placements(servers_by_agent)
        reports = collect_reports(own_state, replies)
        # Only rank 0 is missing: its whole machine is frozen or lost.
        is_rank_0_missing = is_rescue and set(reports) == set(range(1, own_state.ranks))
        if len(reports) < own_state.ranks and not is_rank_0_missing:
            log.info(
                "ranks-missing",
                found=sorted(reports),
                ranks=own_state.ranks,
                listed=len(servers_by_agent),
                answered=len(replies),
            )
            return None
        agents = {rank: found.agent for rank, found in reports.items()}
        roster = Roster(own_state.epoch, own_state.ranks, agents, servers_by_agent)
        self._group_client.use_roster(roster)
        session = CoordinationSession(
            roster,
            {rank: found.state for rank, found in reports.items()},
            assemble_active_map(reports, own_state.ranks, shape),
            Balancer(shape),
            is_rescue=is_rescue,
        )
        recover = recover_phase_without_rank_0 if is_rank_0_missing else recover_phase
        session.begin_change(recover(session.group, session.layers))
        if is_rescue and isinstance(session.phase, Idle):
            self._group_client.reset_silent_agents()
            return None
        log.info(
            "rescuing" if is_rescue else "coordinating",
            epoch=own_state.epoch,
            ranks=own_state.ranks,
            version=own_state.version,
            held=session.group.held_step,
            found=len(reports),
            phase=type(session.phase).__name__,
        )
        return session
