"""Gives the orders of the change under way, round after round, until it has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.lockstep.change_protocol import Arming
from kingcupwheel.lockstep.change_protocol import ChangeOutcome
from kingcupwheel.lockstep.change_protocol import Holding
from kingcupwheel.lockstep.change_protocol import Idle
from kingcupwheel.lockstep.change_protocol import Preparing
from kingcupwheel.lockstep.change_protocol import Releasing
from kingcupwheel.lockstep.change_protocol import Voiding
from kingcupwheel.lockstep.change_protocol import advance_phase
from kingcupwheel.lockstep.change_protocol import change_outcome
from kingcupwheel.lockstep.change_protocol import pending_orders
from kingcupwheel.lockstep.group_state import COORDINATOR_RANK
from kingcupwheel.telemetry.lines import lines_of


if TYPE_CHECKING:
    from kingcupwheel.lockstep.change_protocol import Phase
    from kingcupwheel.lockstep.coordination_session import CoordinationSession
    from kingcupwheel.lockstep.group_client import GroupClient
    from kingcupwheel.telemetry.metrics import RankMetrics

log = lines_of("maps")

# How long the agent repeats an order before it tells how far it came, in seconds.
_PREPARE_S = 0.4
_ORDER_S = 0.25
# Longest preparation, in seconds. The longest copy takes 0.4; orders that get no answer
# are through after some tries. Past it the ranks hold another map than believed here.
PREPARE_TIMEOUT_S = 4.0
# Longest time in which another rank's agent ends a change that rank 0's left, in
# seconds; past it that agent reads everything anew.
RESCUE_TIMEOUT_S = 2.0


class ChangeDriver:
    """Takes a charge's change further; belongs to one thread."""

    def __init__(self, reach: GroupClient, metrics: RankMetrics) -> None:
        self._reach = reach
        self._metrics = metrics

    def run_round(self, charge: CoordinationSession) -> None:
        """Do one round: give the orders that are wanted, or look how far ranks are."""
        if charge.is_rescue and charge.change_elapsed_s > RESCUE_TIMEOUT_S:
            charge.close()
            return
        if isinstance(charge.phase, Holding):
            if not self._all_answer(charge):
                return
            # The pass that was to be held may have begun meanwhile.
            self._advance(charge)
            if charge.is_closed:
                return
        wanted = pending_orders(charge.phase, charge.group)
        if not wanted:
            self._look(charge)
            return
        wait_s = _PREPARE_S if isinstance(charge.phase, Preparing) else _ORDER_S
        answers = self._reach.send_orders(charge.roster, wanted, wait_s)
        if charge.update_states(answers):
            self._advance(charge)

    def _all_answer(self, charge: CoordinationSession) -> bool:
        """Return whether every rank answers right now, which a hold waits for.

        Failure: a machine freezes after its rank has prepared. Symptom: the pass is
        held, that rank can't be armed, and the whole group stands still until the
        machine wakes. Without a hold passes go on with the map in force meanwhile.
        """
        ranks = charge.roster.agents_by_rank
        answers = self._reach.fetch_states(charge.roster, ranks)
        if not charge.update_states(answers):
            return False
        # An agent may answer whose server does not.
        shown = sum(one.state is not None for one in answers.values())
        if shown < len(ranks):
            self._give_up_if_stuck(charge)
            return False
        return True

    def _look(self, charge: CoordinationSession) -> None:
        ranks = {
            COORDINATOR_RANK,
            charge.group.holder_rank,
        } & charge.roster.agents_by_rank.keys()
        answers = self._reach.fetch_states(charge.roster, ranks)
        if charge.update_states(answers):
            self._advance(charge)

    def _advance(self, charge: CoordinationSession) -> None:
        before = charge.phase
        group = charge.group
        charge.phase = advance_phase(before, group)
        states = group.states_by_rank.items()
        log.debug(
            "phase",
            phase=type(charge.phase).__name__,
            held=group.held_step,
            armed=[rank for rank, one in states if one.armed],
            prepared=[rank for rank, one in states if one.prepared],
        )
        match change_outcome(before, charge.phase, group):
            case ChangeOutcome.RELEASED:
                self._released(charge, before)
            case ChangeOutcome.VOIDED:
                self._voided(charge, before)
            case None if isinstance(charge.phase, Preparing):
                self._give_up_if_stuck(charge)

    def _voided(self, charge: CoordinationSession, change: Phase) -> None:
        """Note a change that was ended without coming into force."""
        took_s = charge.change_elapsed_s
        assert not isinstance(change, Idle), "it was under way"
        version = (
            change.voided_version if isinstance(change, Voiding) else change.version
        )
        log.info("change-voided", version=version, ms=round(took_s * 1000))
        self._metrics.changes.labels("voided").inc()
        charge.close()

    def _released(self, charge: CoordinationSession, change: Phase) -> None:
        """Note a change whose map comes into force on every rank."""
        took_s = charge.change_elapsed_s
        assert isinstance(change, Arming | Releasing), "nothing else is released"
        if change.layers:
            log.info("change-released", version=change.version, ms=round(took_s * 1000))
            self._metrics.changes.labels("released").inc()
            self._metrics.change_took.observe(took_s)
            charge.layers = change.layers
        else:
            # Completed for a former life: only the ranks know what it holds.
            log.info("change-completed", version=change.version)
            self._metrics.changes.labels("completed").inc()
            charge.close()

    def _give_up_if_stuck(self, charge: CoordinationSession) -> None:
        """Read everything anew if ranks refuse to prepare.

        Nothing is armed or held yet, so a change may be left at any time before.
        """
        if charge.change_elapsed_s > PREPARE_TIMEOUT_S:
            log.warning("change-stuck", version=charge.group.coordinator_state.version)
            self._metrics.changes.labels("stuck").inc()
            charge.close()
