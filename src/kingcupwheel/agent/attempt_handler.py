"""Handler of the messages about attempts; runs on the hub's thread."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.agent.answer_buffer import Subscriber
from kingcupwheel.agent.attempts import AttemptKey
from kingcupwheel.agent.attempts import ForgottenDecision
from kingcupwheel.agent.attempts import IgnoreDecision
from kingcupwheel.agent.attempts import JoinDecision
from kingcupwheel.agent.attempts import QueueDecision
from kingcupwheel.agent.attempts import RefusalDecision
from kingcupwheel.agent.attempts import StartDecision
from kingcupwheel.agent.attempts import StopDecision
from kingcupwheel.agent.attempts import get_attempt_key
from kingcupwheel.messages.attempts import Ack
from kingcupwheel.messages.attempts import AttemptAccepted
from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import AttemptRefused
from kingcupwheel.messages.attempts import AttemptUnknown
from kingcupwheel.messages.attempts import CancelRequest
from kingcupwheel.messages.attempts import Dispatch
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.attempts import ResumeRequest
from kingcupwheel.messages.attempts import TombstoneRequest
from kingcupwheel.trace.events import AttemptResumed
from kingcupwheel.trace.events import NoteAdded
from kingcupwheel.trace.events import RequestQueued


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from kingcupwheel.agent.answer_store import AnswerStore
    from kingcupwheel.agent.attempt_runner import AttemptRunner
    from kingcupwheel.agent.entry_links import EntryLinks
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message
    from kingcupwheel.trace.recorder import TraceRecorder


class AttemptHandler:
    """Handles the messages that entries send about attempts."""

    def __init__(
        self,
        *,
        name: str,
        runner: AttemptRunner,
        store: AnswerStore,
        entry_links: EntryLinks,
        recorder: TraceRecorder,
        send: Callable[[Link, Message], None],
    ) -> None:
        self._name = name
        self._runner = runner
        self._store = store
        self._entry_links = entry_links
        self._recorder = recorder
        self._send = send

    def handle(self, link: Link, message: Message) -> None:
        """Handle a message about an attempt or claim; others are ignored."""
        match message:
            case Dispatch():
                self._handle_dispatch(link, message)
            case ResumeRequest():
                self._handle_resume(link, message)
            case Ack():
                attempt_key = AttemptKey(message.request_id, message.attempt)
                self._store.acknowledge(attempt_key, link, message.offset)
            case CancelRequest():
                self._handle_cancel(link, message)
            case TombstoneRequest():
                with self._runner.lock:
                    reply = self._runner.attempt_table.set_tombstone(
                        message, now=monotonic()
                    )
                self._send(link, reply)
            case _:
                pass

    def handle_lost_links(self, links: Iterable[Link]) -> None:
        """Cancel the attempts that no live entry is subscribed to."""
        for key in self._store.remove_links(links):
            self._recorder.record(key.request_id, NoteAdded("The entry went silent."))
            self._stop_attempt(key)

    def _handle_dispatch(self, link: Link, dispatch: Dispatch) -> None:
        attempt_key = get_attempt_key(dispatch)
        with self._runner.lock:
            decision = self._runner.attempt_table.handle_dispatch(
                dispatch, now=monotonic()
            )
            match decision:
                case StartDecision():
                    self._accept(link, dispatch, running=True)
                    self._runner.start(dispatch)
                case QueueDecision(ahead_count):
                    self._recorder.record(
                        attempt_key.request_id, RequestQueued(ahead_count)
                    )
                    self._accept(link, dispatch, running=False)
                case JoinDecision(accepted_key):
                    self._join_attempt(link, dispatch, accepted_key)
                case ForgottenDecision():
                    self._send(link, _build_unknown_end(attempt_key))
                case RefusalDecision(_, reason):
                    note = NoteAdded(f"Not run: {reason.value}.")
                    self._recorder.record(attempt_key.request_id, note)
                    self._send(link, AttemptRefused(*attempt_key, reason))

    def _accept(self, link: Link, dispatch: Dispatch, *, running: bool) -> None:
        attempt_key = get_attempt_key(dispatch)
        self._store.create_buffer(attempt_key, is_retained=dispatch.claim is not None)
        self._send(link, AttemptAccepted(*attempt_key, running))
        self._store.subscribe(
            attempt_key, Subscriber(attempt_key, link, 0, 0, dispatch.credit)
        )

    def _join_attempt(
        self, link: Link, dispatch: Dispatch, accepted_key: AttemptKey
    ) -> None:
        attempt_key = get_attempt_key(dispatch)
        self._recorder.record(
            attempt_key.request_id,
            NoteAdded(
                f"Joined to attempt {accepted_key.attempt} of {accepted_key[0]}."
            ),
        )
        self._send(link, AttemptAccepted(*attempt_key, True))
        subscriber = Subscriber(attempt_key, link, 0, 0, dispatch.credit)
        older_links = self._entry_links.list_older_links(link)
        if not self._store.subscribe(
            accepted_key, subscriber, older_links=older_links, continue_from_ack=True
        ):
            self._send(link, _build_unknown_end(attempt_key))

    def _handle_resume(self, link: Link, message: ResumeRequest) -> None:
        attempt_key = AttemptKey(message.request_id, message.attempt)
        accepted_key = self._resolve_key(attempt_key, message.claim_id)
        subscriber = Subscriber(
            attempt_key, link, message.offset, message.offset, message.credit
        )
        if self._store.is_awaited(accepted_key):
            # Without a reply, an entry that joins the attempt would declare the agent
            # silent, and the outcome unknown, while the server is at work.
            with self._runner.lock:
                is_running = self._runner.attempt_table.is_running(accepted_key)
            self._send(link, AttemptAccepted(*attempt_key, is_running))
        older_links = self._entry_links.list_older_links(link)
        if self._store.subscribe(accepted_key, subscriber, older_links=older_links):
            event = AttemptResumed(
                self._name, attempt_key.attempt, message.offset, "new link"
            )
            self._recorder.record(attempt_key.request_id, event)
            return
        with self._runner.lock:
            reason = self._runner.attempt_table.get_refusal(attempt_key)
            incarnation = self._runner.attempt_table.incarnation
            cancelled = self._runner.attempt_table.is_cancelled(attempt_key)
        if reason is not None:
            self._send(link, AttemptRefused(*attempt_key, reason))
        else:
            self._send(link, AttemptUnknown(*attempt_key, incarnation, cancelled))

    def _resolve_key(self, attempt_key: AttemptKey, claim_id: str | None) -> AttemptKey:
        if claim_id is None or self._store.is_known(attempt_key):
            return attempt_key
        with self._runner.lock:
            return self._runner.attempt_table.get_accepted_key(claim_id) or attempt_key

    def _handle_cancel(self, link: Link, message: CancelRequest) -> None:
        attempt_key = AttemptKey(message.request_id, message.attempt)
        accepted_key = self._store.find_key(attempt_key, link) or attempt_key
        if self._store.unsubscribe(attempt_key, link):
            return
        refusal = self._stop_attempt(accepted_key)
        if refusal is not None:
            self._send(link, refusal)

    def _stop_attempt(self, key: AttemptKey) -> AttemptRefused | None:
        with self._runner.lock:
            decision = self._runner.attempt_table.cancel(key, now=monotonic())
        match decision:
            case StopDecision():
                self._runner.cancel(key)
            case RefusalDecision(_, reason):
                self._store.refuse(key, reason)
                return AttemptRefused(*key, reason)
            case IgnoreDecision():
                pass
        return None


def _build_unknown_end(attempt_key: AttemptKey) -> AttemptEnd:
    detail = "older than this agent's memory"
    return AttemptEnd(
        attempt_key.request_id, attempt_key.attempt, 0, Outcome.UNKNOWN, detail
    )
