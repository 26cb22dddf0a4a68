"""Runs attempts on the backend server, each on its own thread."""

from __future__ import annotations

import logging
from functools import partial
from threading import RLock
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.agent.adapters.base import AnswerLost
from kingcupwheel.agent.adapters.base import ServerUnreachable
from kingcupwheel.agent.adapters.cancellation import Cancellation
from kingcupwheel.agent.answer_buffer import AnswerHead
from kingcupwheel.agent.attempts import RefusalDecision
from kingcupwheel.agent.attempts import StartDecision
from kingcupwheel.agent.attempts import get_attempt_key
from kingcupwheel.decisions.crashed_runs import CrashedRun
from kingcupwheel.decisions.crashed_runs import ServerIncarnation
from kingcupwheel.decisions.crashed_runs import earliest_start
from kingcupwheel.decisions.crashed_runs import merge_runs
from kingcupwheel.messages.attempts import DispatchRefusal
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.trace.events import AttemptForwarded
from kingcupwheel.trace.events import FirstByteRelayed
from kingcupwheel.trace.events import NoteAdded
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import ServerDied


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from kingcupwheel.agent.adapters.base import AdapterError
    from kingcupwheel.agent.adapters.base import ServerAdapter
    from kingcupwheel.agent.adapters.base import ServerAnswer
    from kingcupwheel.agent.answer_store import AnswerStore
    from kingcupwheel.agent.attempt_table import AttemptTable
    from kingcupwheel.agent.attempts import AttemptKey
    from kingcupwheel.agent.crash_table import CrashTable
    from kingcupwheel.messages.attempts import Dispatch
    from kingcupwheel.trace.recorder import TraceRecorder

logger = logging.getLogger("kingcupwheel.agent")


class _AttemptStart(NamedTuple):
    """The generation of the server in which an attempt started, and the time."""

    generation: int
    started_at: float


class AttemptRunner:
    """Executes the decisions of ``attempt_table``; thread-safe and non-blocking.

    Answers go to the store and server crashes to ``crash_table``. ``lock`` guards
    ``attempt_table`` and ``crash_table``; hold it while using them.
    ``on_server_crash`` is called as soon as a crash is recorded, ``on_resend`` when a
    request is sent to the server again; they must not block.
    """

    def __init__(
        self,
        *,
        name: str,
        attempt_table: AttemptTable,
        store: AnswerStore,
        adapter: ServerAdapter,
        crash_table: CrashTable,
        recorder: TraceRecorder,
        on_server_crash: Callable[[], None],
        on_resend: Callable[[], None] = lambda: None,
    ) -> None:
        self.lock = RLock()
        self.attempt_table = attempt_table
        self.crash_table = crash_table
        self._name = name
        self._store = store
        self._adapter = adapter
        self._recorder = recorder
        self._on_server_crash = on_server_crash
        self._on_resend = on_resend
        self._cancellations_by_key: dict[AttemptKey, Cancellation] = {}
        self._starts_by_key: dict[AttemptKey, _AttemptStart] = {}
        # Counts server crashes; an attempt belongs to the generation it started in.
        self._server_generation = 0

    @property
    def server_generation(self) -> int:
        """The number of server crashes so far."""
        return self._server_generation

    def start(self, dispatch: Dispatch) -> None:
        """Run the attempt on a new thread; refuse it if there is no thread for it."""
        key = get_attempt_key(dispatch)
        cancellation = Cancellation()
        with self.lock:
            generation = self._server_generation
            self._cancellations_by_key[key] = cancellation
            self._starts_by_key[key] = _AttemptStart(generation, monotonic())
        thread = Thread(
            target=self._run,
            args=(dispatch, cancellation, generation),
            name=f"run {key.request_id}",
            daemon=True,
        )
        try:
            thread.start()
        except RuntimeError as error:
            logger.warning("Attempt not started: %s. %s", error, key.request_id)
            self._refuse_not_started(key)

    def _refuse_not_started(self, key: AttemptKey) -> None:
        with self.lock:
            self._forget_run(key)
        self._refuse_not_run(key, DispatchRefusal.FULL)

    def _refuse_not_run(self, key: AttemptKey, reason: DispatchRefusal) -> None:
        with self.lock:
            refusals = self.attempt_table.record_not_run(key, reason, now=monotonic())
        self.report_refusals(refusals)

    def _forget_run(self, key: AttemptKey) -> None:
        self._cancellations_by_key.pop(key, None)
        self._starts_by_key.pop(key, None)

    def cancel(self, key: AttemptKey) -> None:
        """Cancel the attempt's work on the server."""
        with self.lock:
            cancellation = self._cancellations_by_key.get(key)
        if cancellation is not None:
            cancellation.set()

    def report_refusals(self, refusals: Iterable[RefusalDecision]) -> None:
        """Report to the entries that accepted attempts never ran."""
        for key, reason in refusals:
            self._store.refuse(key, reason)
            self._recorder.record(
                key.request_id, NoteAdded(f"Not run: {reason.value}.")
            )

    def advance(self) -> None:
        """Start queued attempts as capacity allows; refuse the expired ones."""
        with self.lock:
            for step in self.attempt_table.advance(now=monotonic()):
                match step:
                    case StartDecision(dispatch):
                        self.start(dispatch)
                    case RefusalDecision():
                        self.report_refusals([step])

    def record_server_crash(self, generation: int) -> None:
        """Record one server crash for all attempts of that generation."""
        with self.lock:
            if generation != self._server_generation:
                return
            self._server_generation += 1
            running = self._list_running_in(generation)
            now = monotonic()
            self.crash_table.record_crash(
                self._build_crashed_runs(running, generation, now), now=now
            )
            # Reported before the attempts end: an entry that retries one of them, or
            # receives the same request again, must know of the crash by then, or the
            # request may crash one more server.
            self._on_server_crash()
            for dispatch in running:
                crash_count = self.crash_table.count_crashes(dispatch.fingerprint)
                event = ServerDied(self._name, dispatch.fingerprint, crash_count)
                self._recorder.record(dispatch.request_id, event)
        logger.warning("Server crashed; %d attempts were running.", len(running))

    def _build_crashed_runs(
        self, running: list[Dispatch], generation: int, now: float
    ) -> dict[str, CrashedRun]:
        """Return the crashed runs by the keys of their requests."""
        crash_id = ServerIncarnation(
            self._name, f"{self.attempt_table.incarnation}.{generation}"
        ).crash_id
        found: dict[str, CrashedRun] = {}
        for dispatch in running:
            started_at = earliest_start(
                self._starts_by_key[get_attempt_key(dispatch)].started_at,
                is_suspect=dispatch.suspect,
            )
            run = CrashedRun(crash_id, started_at, now, is_trial=dispatch.suspect)
            for key in (dispatch.fingerprint, *dispatch.part_keys):
                known = found.get(key)
                found[key] = run if known is None else merge_runs(known, run)
        return found

    def _list_running_in(self, generation: int) -> list[Dispatch]:
        """Return the running attempts that started in the given server generation.

        An attempt of an earlier generation may not have detected its failure yet.
        Counting it again would make an innocent request suspect after two crashes in a
        row.
        """
        return [
            dispatch
            for dispatch in self.attempt_table.running_dispatches
            if (start := self._starts_by_key.get(get_attempt_key(dispatch)))
            and start.generation == generation
        ]

    def _run(
        self, dispatch: Dispatch, cancellation: Cancellation, generation: int
    ) -> None:
        key = get_attempt_key(dispatch)
        event = AttemptForwarded(self._name, dispatch.attempt)
        self._recorder.record(key.request_id, event)
        try:
            started = self._adapter.start(
                dispatch, cancellation, partial(self._record_resend, key)
            )
            if started.is_ok():
                self._relay_answer(key, started.ok, cancellation, generation)
            else:
                self._handle_failure(key, started.error, 0, cancellation, generation)
        except Exception:
            logger.exception("Attempt failed unexpectedly. %s", key.request_id)
            self._finish(key, Outcome.UNKNOWN, 0, "internal error")
        finally:
            with self.lock:
                self._forget_run(key)
            self.advance()

    def _record_resend(self, key: AttemptKey, reason: str) -> None:
        self._on_resend()
        note = NoteAdded(f"Sent to the server again: {reason}.")
        self._recorder.record(key.request_id, note)

    def _relay_answer(
        self,
        key: AttemptKey,
        answer: ServerAnswer,
        cancellation: Cancellation,
        generation: int,
    ) -> None:
        try:
            self._store.set_head(key, AnswerHead(answer.status, answer.headers))
            first = True
            for chunk in answer.chunks():
                if chunk.is_error() or cancellation.is_set():
                    error = chunk.error if chunk.is_error() else AnswerLost("", False)
                    self._handle_failure(
                        key, error, answer.status, cancellation, generation
                    )
                    return
                if first:
                    event = FirstByteRelayed(self._name, key.attempt)
                    self._recorder.record(key.request_id, event)
                    first = False
                self._store.append(key, chunk.ok, cancellation)
            self._finish(key, Outcome.RAN, answer.status, "")
        finally:
            answer.close()

    def _handle_failure(
        self,
        key: AttemptKey,
        error: AdapterError,
        status: int,
        cancellation: Cancellation,
        generation: int,
    ) -> None:
        if isinstance(error, ServerUnreachable):
            reason = (
                DispatchRefusal.CANCELLED
                if cancellation.is_set()
                else DispatchRefusal.SERVER_UNREACHABLE
            )
            self._refuse_not_run(key, reason)
            return
        if cancellation.is_set():
            self._finish(key, Outcome.UNKNOWN, status, "cancelled")
            return
        if error.has_server_crashed:
            self.record_server_crash(generation)
        logger.warning("Answer truncated: %s. %s", error.detail, key.request_id)
        self._finish(key, Outcome.UNKNOWN, status, error.detail)

    def _finish(
        self, key: AttemptKey, outcome: Outcome, status: int, detail: str
    ) -> None:
        now = monotonic()
        length = self._store.finish(key, outcome, detail, now=now)
        with self.lock:
            self.attempt_table.finish(key, now=now)
        event = RequestFinished(outcome.value, status, length, detail)
        self._recorder.record(key.request_id, event)
