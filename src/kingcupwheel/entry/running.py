"""Runs one request: admitted, placed, claimed if need be, dispatched, answered."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.claims.records import Held
from kingcupwheel.entry.answering import Answering
from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.entry.attempting import CALLER_CHECK_S
from kingcupwheel.entry.attempting import Attempts
from kingcupwheel.entry.attempting import Plan
from kingcupwheel.entry.exceptions import CallerGoneError
from kingcupwheel.entry.following import Chunk
from kingcupwheel.entry.following import Ended
from kingcupwheel.entry.following import HeadKnown
from kingcupwheel.entry.following import NeverSeen
from kingcupwheel.entry.following import NotStarted
from kingcupwheel.entry.following import Started
from kingcupwheel.entry.joining import MAX_MOVES
from kingcupwheel.entry.joining import Again
from kingcupwheel.entry.joining import Claims
from kingcupwheel.entry.joining import Final
from kingcupwheel.entry.joining import Free
from kingcupwheel.entry.joining import Joinable
from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.messages.runs import Outcome
from kingcupwheel.messages.runs import Refusal as AgentRefusal
from kingcupwheel.trace.events import Admitted
from kingcupwheel.trace.events import CallerLeft
from kingcupwheel.trace.events import Finished
from kingcupwheel.trace.events import Refused
from kingcupwheel.trace.events import Retried
from kingcupwheel.trace.events import Started as StartedEvent


if TYPE_CHECKING:
    from kingcupwheel.entry.answers import Answer
    from kingcupwheel.entry.context import EntryContext
    from kingcupwheel.entry.dispatching import Place
    from kingcupwheel.entry.following import Step
    from kingcupwheel.entry.reading import AnswerReader
    from kingcupwheel.entry.requests import CallerRequest
    from kingcupwheel.entry.watching import CallerWatch

# Places that may turn a request away before it is refused. An agent's refusal costs one
# message and no run; three cover a restart, a full server and a stale heartbeat in a
# row, while more would keep a caller waiting on a group that has no room.
MAX_TURNED_AWAY = 3
# A repeatable request runs at most twice: a second failure is more likely the request's
# or the group's fault than the server's.
MAX_RUNS = 2


class RequestRun:
    """One request's way to its answer; belongs to one thread."""

    def __init__(
        self, context: EntryContext, request: CallerRequest, watch: CallerWatch
    ) -> None:
        self._context = context
        self._request = request
        self._watch = watch
        self._runs = 0
        self._turned_away = 0
        self._moves = 0

    def answer(self) -> Answer:
        """Return the answer, or the refusal that is final."""
        verdict = self._context.limits.verdict(self._request)
        if isinstance(verdict, Refusal):
            return self._refuse(verdict)
        admitted = self._context.limits.admit(self._request)
        if isinstance(admitted, Refusal):
            return self._refuse(admitted)
        self._record(Admitted(admitted))
        plan = Plan(self._request, admitted, suspect=verdict.suspect)
        try:
            return self._run(plan)
        except CallerGoneError:
            self._record(CallerLeft(0))
            return self._give_up(plan, CALLER_LEFT)

    def _run(self, plan: Plan) -> Answer:
        attempts = Attempts(self._context, plan, self._watch)
        if self._request.route.repeatable:
            return self._run_repeatable(plan, attempts)
        return self._run_once(plan, attempts)

    def _run_repeatable(self, plan: Plan, attempts: Attempts) -> Answer:
        while True:
            place = attempts.place()
            if isinstance(place, Refusal):
                return self._give_up(plan, place)
            reader = attempts.dispatch(place, None)
            step = self._first_step(reader)
            if isinstance(step, HeadKnown):
                return self._answering(plan, attempts, place, reader).pass_on(step)
            self._end_attempt(attempts, place, reader)
            refusal = self._judge(step, attempts, place)
            if refusal is not None:
                return self._give_up(plan, refusal)

    def _run_once(self, plan: Plan, attempts: Attempts) -> Answer:
        claims = Claims(self._context, self._request)
        held: Held | None = None
        while True:
            place = attempts.place()
            if isinstance(place, Refusal):
                return self._give_up(plan, place)
            taken = claims.take(place, attempts.count, held)
            if isinstance(taken, Held):
                held = taken
                answer = self._run_claimed(plan, attempts, claims, place, held)
                if answer is not None:
                    return answer
                continue
            attempts.release(place)
            if isinstance(taken, Refusal):
                return self._give_up(plan, taken)
            found = self._settle(claims)
            if isinstance(found, Free):
                held = found.held
                continue
            return self._found(plan, attempts, found)

    def _run_claimed(
        self, plan: Plan, attempts: Attempts, claims: Claims, place: Place, held: Held
    ) -> Answer | None:
        reader = attempts.dispatch(place, held)
        step = self._first_step(reader)
        if isinstance(step, HeadKnown):
            return self._answering(plan, attempts, place, reader).pass_on(step)
        self._end_attempt(attempts, place, reader)
        if isinstance(step, Ended):
            claims.finish(held, Outcome.UNKNOWN, step.detail)
        refusal = self._judge(step, attempts, place)
        return None if refusal is None else self._give_up(plan, refusal)

    def _settle(self, claims: Claims) -> Free | Final | Joinable:
        """Look at the claim of an earlier send until there is something to do."""
        for _ in range(MAX_MOVES):
            held = claims.read()
            if isinstance(held, Refusal):
                return Final(held)
            if held is None:
                break
            found = claims.explore(held)
            if not isinstance(found, Again):
                return found
        message = "Other sends of this Idempotency-Key are being settled."
        refusal = Refusal(
            409, "earlier-send-running", message, 1.0, outcome=Outcome.UNKNOWN
        )
        return Final(refusal)

    def _found(self, plan: Plan, attempts: Attempts, found: Final | Joinable) -> Answer:
        if isinstance(found, Final):
            return self._give_up(plan, found.refusal)
        reader = found.reader
        step: Step = found.first
        if not isinstance(step, HeadKnown):
            step = self._first_step(reader, first=step)
        if isinstance(step, HeadKnown):
            return self._answering(plan, attempts, None, reader).pass_on(step)
        self._context.inboxes.close(reader.inbox)
        detail = step.detail if isinstance(step, Ended) else "it was not run"
        outcome = step.outcome if isinstance(step, Ended) else Outcome.UNKNOWN
        message = f"An earlier send of this Idempotency-Key ended: {detail}."
        return self._give_up(plan, Refusal(409, "earlier-send", message, 0.0, outcome))

    def _first_step(self, reader: AnswerReader, first: Step | None = None) -> Step:
        """Wait until the answer's head is known or the attempt is over."""
        running = isinstance(first, Started) and first.running
        cancelled_at: float | None = None
        while True:
            step = reader.next(CALLER_CHECK_S)
            match step:
                case HeadKnown() | Ended() | NotStarted():
                    return step
                case NeverSeen(incarnation, cancelled):
                    if incarnation != reader.inbox.incarnation:
                        return Ended(Outcome.UNKNOWN, "the agent restarted")
                    if cancelled:
                        return NotStarted(AgentRefusal.CANCELLED)
                    # The dispatch was lost, or is still on its way over an old link.
                    # Cancelling leaves a tombstone; asking again tells that it stands.
                    reader.cancel()
                    reader.resume(why="the dispatch did not arrive")
                case Started(now_running):
                    running = running or now_running
                    self._note_started(reader, now_running)
                case Chunk():
                    continue
            cancelled_at = cancelled_at or self._cancel_if_over(reader, running)
            if cancelled_at is not None and monotonic() - cancelled_at > 2.0:
                return Ended(Outcome.UNKNOWN, "the deadline passed while it ran")

    def _note_started(self, reader: AnswerReader, running: bool) -> None:
        if running:
            event = StartedEvent(reader.server, reader.inbox.key.attempt)
            self._record(event)

    def _cancel_if_over(self, reader: AnswerReader, running: bool) -> float | None:
        """Cancel work that nobody waits for; return when that was.

        A run that may not be repeated goes on: its result is wanted all the same, and
        the caller gets it by sending the same Idempotency-Key.
        """
        request = self._request
        late = monotonic() >= request.deadline_at
        if request.route.repeatable or not running:
            if late or self._watch.gone():
                reader.cancel()
                return monotonic()
            return None
        if late and request.own_deadline:
            return monotonic()
        if self._watch.gone():
            self._record(CallerLeft(0))
            return monotonic()
        return None

    def _judge(self, step: Step, attempts: Attempts, place: Place) -> Refusal | None:
        """Return the final refusal, or None if another attempt follows."""
        match step:
            case NotStarted(reason):
                return self._turned_away_by(reason, attempts, place)
            case Ended(outcome, detail):
                return self._failed(outcome, detail, attempts, place)
        raise AssertionError(step)

    def _turned_away_by(
        self, reason: AgentRefusal, attempts: Attempts, place: Place
    ) -> Refusal | None:
        self._turned_away += 1
        late = monotonic() >= self._request.deadline_at
        if late or self._watch.gone() or self._turned_away > MAX_TURNED_AWAY:
            message = f"The last server asked did not take it: {reason.value}."
            retry_after_s = self._context.limits.retry_after(self._request)
            return Refusal(503, reason.value, message, retry_after_s)
        if reason is not AgentRefusal.STALE_TOKEN:
            attempts.avoid(place.server)
        self._record(Retried(attempts.count, f"{place.server} said {reason.value}"))
        return None

    def _failed(
        self, outcome: Outcome, detail: str, attempts: Attempts, place: Place
    ) -> Refusal | None:
        self._runs += 1
        attempts.failed(place)
        late = monotonic() >= self._request.deadline_at
        repeat = (
            self._request.route.repeatable
            and outcome is Outcome.UNKNOWN
            and self._runs < MAX_RUNS
            and not late
            and self._context.limits.may_retry(self._request)
        )
        if not repeat:
            status = 504 if late else 502
            message = f"It was given to a server and its answer is lost: {detail}."
            return Refusal(status, "answer-lost", message, 0.0, outcome)
        return self._repeat_elsewhere(detail, attempts, place)

    def _repeat_elsewhere(
        self, detail: str, attempts: Attempts, place: Place
    ) -> Refusal | None:
        # The server may have died of this very request: the verdict of when it came is
        # not the verdict of now.
        verdict = self._context.limits.verdict(self._request)
        if isinstance(verdict, Refusal):
            return verdict._replace(outcome=Outcome.UNKNOWN)
        attempts.avoid(place.server, suspect=verdict.suspect)
        self._record(Retried(attempts.count, detail))
        return None

    def _answering(
        self,
        plan: Plan,
        attempts: Attempts,
        place: Place | None,
        reader: AnswerReader,
    ) -> Answering:
        def end() -> None:
            self._context.inboxes.close(reader.inbox)
            if place is not None:
                attempts.release(place)

        return Answering(self._context, plan, reader, self._watch, place, end)

    def _end_attempt(
        self, attempts: Attempts, place: Place, reader: AnswerReader
    ) -> None:
        self._context.inboxes.close(reader.inbox)
        attempts.release(place)

    def _give_up(self, plan: Plan, refusal: Refusal) -> RefusedAnswer:
        # A refusal after an attempt that may have run is no ``not-run`` any more.
        if self._runs and refusal.outcome is Outcome.NOT_RUN:
            refusal = refusal._replace(outcome=Outcome.UNKNOWN)
        if self._runs:
            self._context.limits.ran(self._request, plan.work, 0, whole=False)
        else:
            self._context.limits.not_run(self._request, plan.work)
        return self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> RefusedAnswer:
        event = Refused(refusal.limit, refusal.message, refusal.retry_after_s)
        self._record(event)
        outcome = refusal.outcome.value
        self._record(Finished(outcome, refusal.status, 0, refusal.limit))
        self._context.observer.refused(self._request, refusal)
        return RefusedAnswer(refusal)

    def _record(
        self,
        event: Admitted | CallerLeft | Finished | Refused | Retried | StartedEvent,
    ) -> None:
        self._context.recorder.record(self._request.request_id, event)
