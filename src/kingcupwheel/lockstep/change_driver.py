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
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.lockstep.change_protocol import Phase
    from kingcupwheel.lockstep.coordination_session import CoordinationSession
    from kingcupwheel.lockstep.group_client import GroupClient
    from kingcupwheel.telemetry.metrics import RankMetrics

log = lines_of("maps")

# How long the agent repeats an order before it tells how far it came, in seconds.
_PREPARE_WAIT_S = 0.4
_ORDER_WAIT_S = 0.25
# Longest preparation, in seconds. The longest copy takes 0.4; orders that get no answer
# are through after some tries. Past it the ranks hold another map than believed here.
PREPARE_TIMEOUT_S = 4.0
# Longest time in which another rank's agent ends a change that rank 0's left, in
# seconds; past it that agent reads everything anew.
RESCUE_TIMEOUT_S = 2.0


class ChangeDriver:
    """Takes a charge's change further; belongs to one thread."""

    def __init__(self, group_client: GroupClient, metrics: RankMetrics) -> None:
        self._group_client = group_client
        self._metrics = metrics

    def run_round(self, session: CoordinationSession) -> None:
        """Do one round: give the orders that are wanted, or look how far ranks are."""
        if session.is_rescue and session.change_elapsed_s > RESCUE_TIMEOUT_S:
            session.close()
            return
        if isinstance(session.phase, Holding):
            if not self._are_all_ranks_responding(session):
                return
            # The pass that was to be held may have begun meanwhile.
            self._advance_phase(session)
            if session.is_closed:
                return
        orders = pending_orders(session.phase, session.group)
        if not orders:
            self._poll_states(session)
            return
        wait_s = (
            _PREPARE_WAIT_S if isinstance(session.phase, Preparing) else _ORDER_WAIT_S
        )
        replies = self._group_client.send_orders(session.roster, orders, wait_s)
        if session.update_states(replies):
            self._advance_phase(session)

    def _are_all_ranks_responding(self, session: CoordinationSession) -> bool:
        """Return whether every rank answers right now, which a hold waits for.

        Failure: a machine freezes after its rank has prepared. Symptom: the pass is
        held, that rank can't be armed, and the whole group stands still until the
        machine wakes. Without a hold passes go on with the map in force meanwhile.
        """
        ranks = session.roster.agents_by_rank
        replies = self._group_client.fetch_states(session.roster, ranks)
        if not session.update_states(replies):
            return False
        # An agent may answer whose server does not.
        responding = sum(one.state is not None for one in replies.values())
        if responding < len(ranks):
            self._abandon_if_timed_out(session)
            return False
        return True

    def _poll_states(self, session: CoordinationSession) -> None:
        ranks = {
            COORDINATOR_RANK,
            session.group.holder_rank,
        } & session.roster.agents_by_rank.keys()
        replies = self._group_client.fetch_states(session.roster, ranks)
        if session.update_states(replies):
            self._advance_phase(session)

    def _advance_phase(self, session: CoordinationSession) -> None:
        before = session.phase
        group = session.group
        session.phase = advance_phase(before, group)
        states = group.states_by_rank.items()
        log.debug(
            "phase",
            phase=type(session.phase).__name__,
            held=group.held_step,
            armed=[rank for rank, one in states if one.armed],
            prepared=[rank for rank, one in states if one.prepared],
        )
        match change_outcome(before, session.phase, group):
            case ChangeOutcome.RELEASED:
                self._record_released(session, before)
            case ChangeOutcome.VOIDED:
                self._record_voided(session, before)
            case None if isinstance(session.phase, Preparing):
                self._abandon_if_timed_out(session)

    def _record_voided(self, session: CoordinationSession, change: Phase) -> None:
        """Note a change that was ended without coming into force."""
        took_s = session.change_elapsed_s
        assert not isinstance(change, Idle), "it was under way"
        version = (
            change.voided_version if isinstance(change, Voiding) else change.version
        )
        log.info("change-voided", version=version, ms=round(took_s * 1000))
        self._metrics.map_changes.labels("voided").inc()
        session.close()

    def _record_released(self, session: CoordinationSession, change: Phase) -> None:
        """Note a change whose map comes into force on every rank."""
        took_s = session.change_elapsed_s
        assert isinstance(change, Arming | Releasing), "nothing else is released"
        if change.layers:
            log.info("change-released", version=change.version, ms=round(took_s * 1000))
            self._metrics.map_changes.labels("released").inc()
            self._metrics.map_change_seconds.observe(took_s)
            session.layers = change.layers
        else:
            # Completed for a former life: only the ranks know what it holds.
            log.info("change-completed", version=change.version)
            self._metrics.map_changes.labels("completed").inc()
            session.close()

    def _abandon_if_timed_out(self, session: CoordinationSession) -> None:
        """Read everything anew if ranks refuse to prepare.

        Nothing is armed or held yet, so a change may be left at any time before.
        """
        if session.change_elapsed_s > PREPARE_TIMEOUT_S:
            log.warning("change-stuck", version=session.group.coordinator_state.version)
            self._metrics.map_changes.labels("stuck").inc()
            session.close()
