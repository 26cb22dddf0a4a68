"""Heartbeats of the agent with the load and state of its server."""

from __future__ import annotations

from threading import Event
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.agent.adapters.base import ServerState
from kingcupwheel.decisions.crash_suspects import SuspicionRecord
from kingcupwheel.decisions.trial_claims import NO_CLAIM
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import BackendLoad
from kingcupwheel.messages.suspicions import build_suspicion_report


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.agent.adapters.base import ServerAdapter
    from kingcupwheel.agent.attempt_runner import AttemptRunner
    from kingcupwheel.decisions.crashed_runs import CrashedRun
    from kingcupwheel.messages.membership import SuspicionReport
    from kingcupwheel.settings.schema import Settings

_INITIAL_STATE = ServerState(
    is_up=False, incarnation="", running_count=0, tokens_per_s=0.0
)


class ServerProbe:
    """Polls the server's state on its own thread, because replies may be slow."""

    def __init__(
        self, adapter: ServerAdapter, runner: AttemptRunner, *, period_s: float
    ) -> None:
        self._adapter = adapter
        self._runner = runner
        self._period_s = period_s
        self._state = _INITIAL_STATE
        self._probed_at = monotonic()
        self._generation = 0
        self._incarnation = ""
        # The generation in which that incarnation was last seen.
        self._incarnation_generation = 0
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="probe", daemon=True)

    @property
    def state(self) -> ServerState:
        """The latest state reported by the server."""
        return self._state

    @property
    def is_up(self) -> bool:
        """Whether the server's present incarnation has replied.

        A reply from before a crash is stale: trusting it for one more period would
        attract requests to a server that is gone.
        """
        return self._state.is_up and self._generation == self._runner.server_generation

    @property
    def state_age_s(self) -> float:
        """The age of the latest state in seconds."""
        return monotonic() - self._probed_at

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling; does not wait for a poll in progress."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            generation = self._runner.server_generation
            state = self._adapter.state()
            self._generation = self._resolve_generation(state, generation)
            self._state = state
            self._probed_at = monotonic()
            self._stopping.wait(self._period_s)

    def _resolve_generation(self, state: ServerState, probe_generation: int) -> int:
        """Return the generation of ``state``; record a crash if it shows a restart."""
        if not state.incarnation:
            return probe_generation
        generation = probe_generation
        if self._incarnation and state.incarnation != self._incarnation:
            # The attempt threads report the same crash; the generation deduplicates it.
            self._runner.record_server_crash(self._incarnation_generation)
            generation = self._runner.server_generation
        self._incarnation = state.incarnation
        self._incarnation_generation = generation
        return generation


class HeartbeatBuilder:
    """Builds ``AgentHeartbeat`` messages from the present state."""

    def __init__(
        self,
        settings: Settings,
        runner: AttemptRunner,
        probe: ServerProbe,
        *,
        manifest_version: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._runner = runner
        self._probe = probe
        self._manifest_version = manifest_version

    def build(self, *, now: float) -> AgentHeartbeat:
        """Return the heartbeat to send to all listening entries."""
        settings = self._settings
        with self._runner.lock:
            attempt_table = self._runner.attempt_table
            return AgentHeartbeat(
                name=settings.name,
                group=settings.group,
                data_centre=settings.data_centre,
                incarnation=attempt_table.incarnation,
                token=attempt_table.get_token(now=now),
                load=self._build_load(),
                leaving=attempt_table.is_leaving,
                server_up=self._probe.is_up,
                manifest_version=self._manifest_version(),
                crashed=(),
                suspicions=tuple(
                    _build_report(fingerprint, runs, now)
                    for fingerprint, runs in self._runner.crash_table.list_recent(
                        now=now
                    )
                ),
            )

    def _build_load(self) -> BackendLoad:
        attempt_table = self._runner.attempt_table
        running, queued = (
            attempt_table.running_dispatches,
            attempt_table.queued_dispatches,
        )
        return BackendLoad(
            running=len(running),
            queued=len(queued),
            capacity=attempt_table.capacity,
            work=sum(dispatch.work for dispatch in (*running, *queued)),
            rate=self._probe.state.tokens_per_s,
            age_s=self._probe.state_age_s,
        )


def _build_report(
    fingerprint: str, runs: tuple[CrashedRun, ...], now: float
) -> SuspicionReport:
    record = SuspicionRecord(fingerprint, runs, float("-inf"), NO_CLAIM)
    return build_suspicion_report(record, now)
