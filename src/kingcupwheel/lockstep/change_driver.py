"""Drives the change in progress by rounds of orders until it ends."""

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

# How long an agent repeats an order before it reports the state.
_PREPARE_WAIT_S = 0.4
_ORDER_WAIT_S = 0.25
# The longest copy takes 0.4 s, and unanswered orders arrive after a few retries. After
# this timeout the ranks hold another map than this agent assumes.
PREPARE_TIMEOUT_S = 4.0
# Timeout for the agent of another rank to end a change that the agent of rank 0 left
# unfinished; after it that agent reads the group again.
RESCUE_TIMEOUT_S = 2.0


class ChangeDriver:
    """Drives the change of a coordination session; not thread-safe."""

    def __init__(self, group_client: GroupClient, metrics: RankMetrics) -> None:
        self._group_client = group_client
        self._metrics = metrics

    def run_round(self, session: CoordinationSession) -> None:
        """Send the pending orders, or read the states if there are none."""
        if session.is_rescue and session.change_elapsed_s > RESCUE_TIMEOUT_S:
            session.close()
            return
        if isinstance(session.phase, Holding):
            if not self._are_all_ranks_responding(session):
                return
            # The pass to hold may have begun in the meantime.
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
        """Return whether every rank responds, which is required before a hold.

        If a machine freezes after its rank has prepared, that rank can't be armed, and
        a held pass would stop the whole group until the machine wakes. Without a hold
        passes continue with the active map.
        """
        ranks = session.roster.agents_by_rank
        replies = self._group_client.fetch_states(session.roster, ranks)
        if not session.update_states(replies):
            return False
        # An agent may respond while its server does not.
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
        """Log and count a change whose map never becomes active."""
        took_s = session.change_elapsed_s
        assert not isinstance(change, Idle), "an idle phase has no change to void"
        version = (
            change.voided_version if isinstance(change, Voiding) else change.version
        )
        log.info("change-voided", version=version, ms=round(took_s * 1000))
        self._metrics.map_changes.labels("voided").inc()
        session.close()

    def _record_released(self, session: CoordinationSession, change: Phase) -> None:
        """Log and count a change whose map becomes active on every rank."""
        took_s = session.change_elapsed_s
        assert isinstance(change, Arming | Releasing), "only armed changes are released"
        if change.layers:
            log.info("change-released", version=change.version, ms=round(took_s * 1000))
            self._metrics.map_changes.labels("released").inc()
            self._metrics.map_change_seconds.observe(took_s)
            session.layers = change.layers
        else:
            # Completed for a former process: only the ranks know its map.
            log.info("change-completed", version=change.version)
            self._metrics.map_changes.labels("completed").inc()
            session.close()

    def _abandon_if_timed_out(self, session: CoordinationSession) -> None:
        """Close the session if ranks do not prepare in time.

        Nothing is armed or held yet, so the change can be abandoned.
        """
        if session.change_elapsed_s > PREPARE_TIMEOUT_S:
            log.warning("change-stuck", version=session.group.coordinator_state.version)
            self._metrics.map_changes.labels("stuck").inc()
            session.close()
