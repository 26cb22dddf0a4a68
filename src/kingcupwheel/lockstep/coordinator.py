"""Keeps a group's ranks even: counts, plans and changes the map, round after round.

It runs in every agent and plans only in the one beside rank 0. There is no lease: a
group has one rank 0 in an epoch, and one agent beside it, so two coordinators of one
epoch can't be. A former life's orders are dealt with when this one finds a held pass.
When agents of other ranks act too is told in ``taking``.
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
from kingcupwheel.telemetry.lines import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from kingcupwheel.forwarding.configuration import EngineShape
    from kingcupwheel.lockstep.agent_client import AgentClient
    from kingcupwheel.lockstep.roster import PairedServer
    from kingcupwheel.platform.ranks import RankClient
    from kingcupwheel.telemetry.metrics import RankMetrics

log = lines_of("maps")

# How often counts are read while nothing changes, in seconds. Twice as often halves the
# time until a jump is seen, and doubles what the counts cost between data centres.
COUNTS_INTERVAL_S = 0.15
# The shortest pause between two such readings, in seconds.
_LEAST_PAUSE_S = 0.02
# How often ranks are looked at until a released pass begins, in seconds.
_SETTLING_S = 0.01


class Coordinator:
    """Changes the map of the group whose rank 0 is beside this process.

    ``find_servers`` and ``shape`` are as for ``ChargeTaker``.
    """

    def __init__(
        self,
        client: RankClient,
        panel: AgentClient,
        metrics: RankMetrics,
        *,
        find_servers: Callable[[], Mapping[str, PairedServer]],
        shape: Callable[[], EngineShape | None],
    ) -> None:
        self._metrics = metrics
        self._reach = GroupClient(panel)
        self._taker = TakeoverMonitor(
            client, self._reach, find_servers=find_servers, shape=shape
        )
        self._giver = ChangeDriver(self._reach, metrics)
        self._charge: CoordinationSession | None = None
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="coordinator", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread once the change under way is in force."""
        self._stopping.set()
        self._thread.join()

    @property
    def _may_stop(self) -> bool:
        if not self._stopping.is_set():
            return False
        charge = self._charge
        return charge is None or isinstance(charge.phase, Idle | Preparing)

    def _run(self) -> None:
        while not self._may_stop:
            try:
                pause_s = self._step()
            except Exception as error:  # the thread must outlive any one round
                log.error("round-failed", exc_info=True, why=repr(error))
                self._forget()
                pause_s = TAKEOVER_CHECK_INTERVAL_S
            self._stopping.wait(pause_s)

    def _step(self) -> float:
        """Do one round; return the seconds until the next."""
        charge = self._charge
        if charge is None:
            return self._take_charge()
        pause_s = self._go_on(charge)
        if charge.is_closed:
            self._forget()
        return pause_s

    def _forget(self) -> None:
        self._charge = None
        self._reach.reset_silent_agents()

    def _take_charge(self) -> float:
        taken = self._taker.check()
        if not isinstance(taken, CoordinationSession):
            return taken
        self._charge = taken
        return 0.0

    def _go_on(self, charge: CoordinationSession) -> float:
        if isinstance(charge.phase, Idle):
            if charge.is_rescue:
                charge.close()
                return TAKEOVER_CHECK_INTERVAL_S
            return self._balance(charge)
        self._giver.run_round(charge)
        # Settling waits for a pass to begin; the rest waits at the agents.
        return _SETTLING_S if isinstance(charge.phase, Settling) else 0.0

    def _balance(self, charge: CoordinationSession) -> float:
        """Read the counts, and begin a change if they call for one."""
        began = monotonic()
        answers, silent = self._reach.fetch_counts(charge.roster)
        self._metrics.silent.inc(silent)
        if not charge.update_states(answers):
            return TAKEOVER_CHECK_INTERVAL_S
        group = charge.group
        if group.held_step is not None:
            # A hold of a former life came late; see ``taken_up``.
            charge.phase = recover_phase(group, charge.layers)
            return 0.0
        plan = charge.balancer.plan_change(
            group, charge.layers, answers.values(), began
        )
        if plan is not None:
            charge.begin_change(Preparing(group.highest_version + 1, plan.layers))
            self._metrics.copies.inc(plan.copies)
            self._metrics.skew.set(plan.skew_before)
            return 0.0
        return max(_LEAST_PAUSE_S, COUNTS_INTERVAL_S - (monotonic() - began))
