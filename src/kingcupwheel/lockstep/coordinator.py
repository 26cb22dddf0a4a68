"""Keeps a group's ranks even: counts, plans and changes the map, round after round.

It runs in every agent and plans only in the one beside rank 0. There is no lease: a
group has one rank 0 in an epoch, and one agent beside it, so two coordinators of one
epoch can't be. A former life's orders are dealt with when this one finds a held pass.

Failure: that agent is frozen, or killed, between a hold and its release. Symptom: the
whole group stands still until it is back. The agents of two other ranks then end the
change, and do nothing else. If rank 0's server answers they complete it: every rank is
prepared before a pass is held, and completing it twice does no harm. If its whole
machine is frozen they make the change void. For that the hold is given past the agents,
to a server on another machine, so that what gave it and what holds it are not lost
together.
"""

from __future__ import annotations

from threading import Event
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.lockstep.balancing import Balancer
from kingcupwheel.lockstep.change import Arming
from kingcupwheel.lockstep.change import End
from kingcupwheel.lockstep.change import Holding
from kingcupwheel.lockstep.change import Idle
from kingcupwheel.lockstep.change import Preparing
from kingcupwheel.lockstep.change import Releasing
from kingcupwheel.lockstep.change import Settling
from kingcupwheel.lockstep.change import Voiding
from kingcupwheel.lockstep.change import advance
from kingcupwheel.lockstep.change import ended
from kingcupwheel.lockstep.change import taken_up
from kingcupwheel.lockstep.change import taken_up_without_first
from kingcupwheel.lockstep.change import wants
from kingcupwheel.lockstep.group import FIRST
from kingcupwheel.lockstep.group import Group
from kingcupwheel.lockstep.reaching import RankReach
from kingcupwheel.lockstep.rosters import Roster
from kingcupwheel.lockstep.rosters import layers_of
from kingcupwheel.lockstep.rosters import ranks_of
from kingcupwheel.lockstep.standstill import Standstill
from kingcupwheel.telemetry.lines import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from kingcupwheel.forwarding.configuration import EngineShape
    from kingcupwheel.lockstep.asking import Panel
    from kingcupwheel.lockstep.change import Layers
    from kingcupwheel.lockstep.change import Phase
    from kingcupwheel.lockstep.rosters import Beside
    from kingcupwheel.lockstep.state import RankState
    from kingcupwheel.messages.lockstep import RankTold
    from kingcupwheel.platform.ranks import RankClient
    from kingcupwheel.telemetry.metrics import RankMetrics

log = lines_of("maps")

# How often counts are read while nothing changes, in seconds. Twice as often halves the
# time until a jump is seen, and doubles what the counts cost between data centres.
COUNT_S = 0.15
# How often an agent that does not coordinate looks whether it has to.
_LOOK_S = 0.4
# How long an order is repeated by the agent before it tells how far it came.
_PREPARE_S = 0.4
_ORDER_S = 0.25
# Longest preparation, in seconds. The longest copy takes 0.4; orders that get no answer
# are through after some tries. Past it the ranks hold another map than believed here.
PREPARING_LIMIT_S = 4.0


# Ranks whose agents end a change that rank 0's leaves unfinished.
RESCUERS = (1, 2)
# Longest time for that, in seconds; past it they read everything anew.
RESCUE_LIMIT_S = 2.0
# How often they look at their own rank, in seconds.
RESCUE_LOOK_S = 0.15


class Coordinator:
    """Changes the map of the group whose rank 0 is beside this process.

    ``find_servers`` returns the addresses of the group's servers by their agents'
    addresses, ``shape`` the engine's shape once it is known.
    """

    def __init__(
        self,
        client: RankClient,
        panel: Panel,
        metrics: RankMetrics,
        *,
        find_servers: Callable[[], Mapping[str, Beside]],
        shape: Callable[[], EngineShape | None],
    ) -> None:
        self._client = client
        self._reach = RankReach(panel)
        self._metrics = metrics
        self._find_servers = find_servers
        self._shape = shape
        self._roster: Roster | None = None
        self._states: dict[int, RankState] = {}
        self._phase: Phase = Idle()
        self._layers: Layers = ()
        self._balancer: Balancer | None = None
        self._started_at = 0.0
        self._standstill = Standstill()
        self._rescues = False
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
        return self._stopping.is_set() and isinstance(self._phase, Idle | Preparing)

    def _run(self) -> None:
        while not self._may_stop:
            try:
                pause_s = self._step()
            except Exception as error:  # the thread must outlive any one round
                log.error("round-failed", exc_info=True, why=repr(error))
                self._forget()
                pause_s = _LOOK_S
            self._stopping.wait(pause_s)

    def _step(self) -> float:
        """Do one round; return the seconds until the next."""
        if self._roster is None:
            return self._take_charge()
        if isinstance(self._phase, Idle):
            if self._rescues:
                self._forget()
                return _LOOK_S
            return self._balance()
        self._go_on()
        # Settling waits for a pass to begin; the rest waits at the agents.
        return 0.01 if isinstance(self._phase, Settling) else 0.0

    def _forget(self) -> None:
        self._roster = None
        self._phase = Idle()
        self._states = {}
        self._layers = ()
        self._reach.forget()

    def _take_charge(self) -> float:
        own = self._client.state()
        if own.is_error() or not own.ok.is_open:
            return _LOOK_S
        self._rescues = own.ok.rank != 0
        if self._rescues and own.ok.rank not in RESCUERS:
            return _LOOK_S
        if self._rescues and not self._standstill.lasts(own.ok, monotonic()):
            return RESCUE_LOOK_S
        shape = self._shape()
        if shape is None or not own.ok.ranks:
            return _LOOK_S
        servers_by_agent = self._find_servers()
        answers = self._reach.places(servers_by_agent)
        ranks = ranks_of(own.ok, answers)
        lacks_first = self._rescues and set(ranks) == set(range(1, own.ok.ranks))
        if len(ranks) < own.ok.ranks and not lacks_first:
            log.info(
                "ranks-missing",
                found=sorted(ranks),
                ranks=own.ok.ranks,
                listed=len(servers_by_agent),
                answered=len(answers),
            )
            return _LOOK_S
        agents = {rank: found.agent for rank, found in ranks.items()}
        self._roster = Roster(own.ok.epoch, own.ok.ranks, agents, servers_by_agent)
        self._reach.take_over(self._roster)
        self._states = {rank: found.state for rank, found in ranks.items()}
        self._layers = layers_of(ranks, own.ok.ranks, shape)
        self._balancer = Balancer(shape)
        self._started_at = monotonic()
        begin = taken_up_without_first if lacks_first else taken_up
        self._phase = begin(self._group(self._roster), self._layers)
        if self._rescues and isinstance(self._phase, Idle):
            self._forget()
            return _LOOK_S
        log.info(
            "rescuing" if self._rescues else "coordinating",
            epoch=own.ok.epoch,
            ranks=own.ok.ranks,
            version=own.ok.version,
            held=self._group(self._roster).held,
            found=len(ranks),
            phase=type(self._phase).__name__,
        )
        return 0.0

    def _group(self, roster: Roster) -> Group:
        return Group(roster.epoch, roster.ranks, self._states)

    def _balance(self) -> float:
        roster, balancer = self._roster, self._balancer
        assert roster is not None, "balanced only with a roster"
        assert balancer is not None, "made with the roster"
        began = monotonic()
        answers, silent = self._reach.counts(roster)
        self._metrics.silent.inc(silent)
        if not self._take_in(answers):
            return _LOOK_S
        group = self._group(roster)
        if group.held is not None:
            # A hold of a former life came late; see ``taken_up``.
            self._phase = taken_up(group, self._layers)
            return 0.0
        found = balancer.take(group, self._layers, answers.values(), began)
        if found is not None:
            self._phase = Preparing(group.highest + 1, found.layers)
            self._started_at = monotonic()
            self._metrics.copies.inc(found.copies)
            self._metrics.skew.set(found.skew_before)
            return 0.0
        return max(0.02, COUNT_S - (monotonic() - began))

    def _go_on(self) -> None:
        roster = self._roster
        assert roster is not None, "changes need a roster"
        if self._rescues and monotonic() - self._started_at > RESCUE_LIMIT_S:
            self._forget()
            return
        if isinstance(self._phase, Holding):
            if not self._all_answer(roster):
                return
            # The pass that was to be held may have begun meanwhile.
            self._advance(roster)
            if self._roster is None:
                return
        asked = wants(self._phase, self._group(roster))
        if not asked:
            self._look(roster)
            return
        wait_s = _PREPARE_S if isinstance(self._phase, Preparing) else _ORDER_S
        answers = self._reach.order(roster, asked, wait_s)
        if self._take_in(answers):
            self._advance(roster)

    def _all_answer(self, roster: Roster) -> bool:
        """Return whether every rank answers right now, which a hold waits for.

        Failure: a machine freezes after its rank has prepared. Symptom: the pass is
        held, that rank can't be armed, and the whole group stands still until the
        machine wakes. Without a hold passes go on with the map in force meanwhile.
        """
        answers = self._reach.states(roster, roster.agents_by_rank)
        if not self._take_in(answers):
            return False
        # An agent may answer whose server does not.
        shown = sum(one.state is not None for one in answers.values())
        if shown < len(roster.agents_by_rank):
            self._give_up_if_stuck()
            return False
        return True

    def _look(self, roster: Roster) -> None:
        ranks = {FIRST, self._group(roster).holder} & roster.agents_by_rank.keys()
        answers = self._reach.states(roster, ranks)
        if self._take_in(answers):
            self._advance(roster)

    def _advance(self, roster: Roster) -> None:
        before = self._phase
        group = self._group(roster)
        self._phase = advance(before, group)
        log.debug(
            "phase",
            phase=type(self._phase).__name__,
            held=group.held,
            armed=[rank for rank, one in self._states.items() if one.armed],
            prepared=[rank for rank, one in self._states.items() if one.prepared],
        )
        match ended(before, self._phase, group):
            case End.RELEASED:
                self._released(before)
            case End.VOIDED:
                self._voided(before)
            case None if isinstance(self._phase, Preparing):
                self._give_up_if_stuck()

    def _voided(self, change: Phase) -> None:
        """Note a change that was ended without coming into force."""
        took_s = monotonic() - self._started_at
        assert not isinstance(change, Idle), "it was under way"
        version = change.over if isinstance(change, Voiding) else change.version
        log.info("change-voided", version=version, ms=round(took_s * 1000))
        self._metrics.changes.labels("voided").inc()
        self._forget()

    def _released(self, change: Phase) -> None:
        took_s = monotonic() - self._started_at
        assert isinstance(change, Arming | Releasing), "nothing else is released"
        if change.layers:
            log.info("change-released", version=change.version, ms=round(took_s * 1000))
            self._metrics.changes.labels("released").inc()
            self._metrics.change_took.observe(took_s)
            self._layers = change.layers
        else:
            # Completed for a former life: only the ranks know what it holds.
            log.info("change-completed", version=change.version)
            self._metrics.changes.labels("completed").inc()
            self._forget()

    def _give_up_if_stuck(self) -> None:
        """Read everything anew if ranks refuse to prepare.

        Nothing is armed or held yet, so a change may be left at any time before.
        """
        if monotonic() - self._started_at > PREPARING_LIMIT_S:
            log.warning("change-stuck", version=self._states[0].version)
            self._metrics.changes.labels("stuck").inc()
            self._forget()

    def _take_in(self, answers: Mapping[str, RankTold]) -> bool:
        """Take in states; return False if the group is no longer the one it was."""
        roster = self._roster
        assert roster is not None, "states belong to a roster"
        for rank, agent in roster.agents_by_rank.items():
            told = answers.get(agent)
            if told is None or told.state is None:
                continue
            known = self._states.get(rank)
            if not roster.goes_on(rank, known, told.state):
                log.info("group-changed", rank=rank, epoch=told.state.epoch)
                self._forget()
                return False
            if not told.state.is_open:
                log.info("group-broken", rank=rank, epoch=told.state.epoch)
                self._forget()
                return False
            self._states[rank] = told.state
        return True
