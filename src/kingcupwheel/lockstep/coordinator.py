"""Balances the load of a group's ranks by changing the expert map in rounds.

A coordinator runs in every agent, but only that of rank 0 plans changes. It
needs no lease: a group has one rank 0 per epoch, with one agent, so an epoch
can't have two coordinators. Orders left by a former process are handled when this one
finds a held pass. See ``takeover`` for when agents of other ranks act.
"""

from __future__ import annotations

from threading import Event
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.lockstep.change_driver import ChangeDriver
from kingcupwheel.lockstep.change_protocol import Idle
from kingcupwheel.lockstep.change_protocol import Preparing
from kingcupwheel.lockstep.change_protocol import Settling
from kingcupwheel.lockstep.change_protocol import recover_phase
from kingcupwheel.lockstep.coordination_session import CoordinationSession
from kingcupwheel.lockstep.group_client import GroupClient
from kingcupwheel.lockstep.takeover import TAKEOVER_CHECK_INTERVAL_S
from kingcupwheel.lockstep.takeover import TakeoverMonitor
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from kingcupwheel.forwarding.configuration import EngineShape
    from kingcupwheel.lockstep.agent_client import AgentClient
    from kingcupwheel.lockstep.roster import PairedServer
    from kingcupwheel.platform.rank_client import RankClient
    from kingcupwheel.telemetry.metrics import RankMetrics

log = lines_of("maps")

# Interval of reading counts while no change is in progress. Half of it would halve the
# delay until a jump is detected, and double the traffic between data centres.
COUNTS_INTERVAL_S = 0.15
# Minimum pause between two readings of the counts.
_MIN_PAUSE_S = 0.02
# Interval of reading the states until a released pass begins.
_SETTLING_POLL_INTERVAL_S = 0.01


class Coordinator:
    """Coordinates map changes of the local rank's group in a background thread.

    ``find_servers`` and ``shape`` are passed to ``TakeoverMonitor``.
    """

    def __init__(
        self,
        client: RankClient,
        agent_client: AgentClient,
        metrics: RankMetrics,
        *,
        find_servers: Callable[[], Mapping[str, PairedServer]],
        shape: Callable[[], EngineShape | None],
    ) -> None:
        self._metrics = metrics
        self._group_client = GroupClient(agent_client)
        self._takeover = TakeoverMonitor(
            client, self._group_client, find_servers=find_servers, shape=shape
        )
        self._driver = ChangeDriver(self._group_client, metrics)
        self._session: CoordinationSession | None = None
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="coordinator", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread once the change in progress has ended."""
        self._stopping.set()
        self._thread.join()

    @property
    def _can_stop(self) -> bool:
        if not self._stopping.is_set():
            return False
        session = self._session
        return session is None or isinstance(session.phase, Idle | Preparing)

    def _run(self) -> None:
        while not self._can_stop:
            try:
                pause_s = self._run_round()
            except Exception as error:  # the thread must outlive any one round
                log.error("round-failed", exc_info=True, why=repr(error))
                self._close_session()
                pause_s = TAKEOVER_CHECK_INTERVAL_S
            self._stopping.wait(pause_s)

    def _run_round(self) -> float:
        """Run one round; return the seconds until the next."""
        session = self._session
        if session is None:
            return self._try_take_over()
        pause_s = self._continue_session(session)
        if session.is_closed:
            self._close_session()
        return pause_s

    def _close_session(self) -> None:
        self._session = None
        self._group_client.reset_silent_agents()

    def _try_take_over(self) -> float:
        result = self._takeover.check()
        if not isinstance(result, CoordinationSession):
            return result
        self._session = result
        return 0.0

    def _continue_session(self, session: CoordinationSession) -> float:
        if isinstance(session.phase, Idle):
            if session.is_rescue:
                session.close()
                return TAKEOVER_CHECK_INTERVAL_S
            return self._plan_change(session)
        self._driver.run_round(session)
        # Only Settling needs a pause: in other phases the agents wait for the order.
        return _SETTLING_POLL_INTERVAL_S if isinstance(session.phase, Settling) else 0.0

    def _plan_change(self, session: CoordinationSession) -> float:
        """Read the counts and begin a change if one is planned."""
        began = monotonic()
        replies, silent = self._group_client.fetch_counts(session.roster)
        self._metrics.unanswered_requests.inc(silent)
        if not session.update_states(replies):
            return TAKEOVER_CHECK_INTERVAL_S
        group = session.group
        if group.held_step is not None:
            # A hold of a former process arrived late; see ``recover_phase``.
            session.phase = recover_phase(group, session.layers)
            return 0.0
        plan = session.balancer.plan_change(
            group, session.layers, replies.values(), began
        )
        if plan is not None:
            session.begin_change(Preparing(group.highest_version + 1, plan.layers))
            self._metrics.expert_copies.inc(plan.copies)
            self._metrics.rank_time_skew.set(plan.skew_before)
            return 0.0
        return max(_MIN_PAUSE_S, COUNTS_INTERVAL_S - (monotonic() - began))
