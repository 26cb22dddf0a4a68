"""Runs one request: placed, sent, sent again where that is right, answered."""

from __future__ import annotations

from functools import partial
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.crash_suspects import Quarantined
from kingcupwheel.decisions.crash_suspects import Suspect
from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.entry.answers import StreamedAnswer
from kingcupwheel.entry.answers import WholeAnswer
from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.entry.refusals import LEAVING
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.entry.tickets import Place
from kingcupwheel.forwarding.calls import Answered
from kingcupwheel.forwarding.calls import Lost
from kingcupwheel.forwarding.calls import NotSent
from kingcupwheel.forwarding.calls import Outgoing
from kingcupwheel.forwarding.calls import TurnedAway
from kingcupwheel.forwarding.calls import Withheld
from kingcupwheel.forwarding.endings import PASS_ON
from kingcupwheel.forwarding.endings import refusal_after
from kingcupwheel.forwarding.endings import retry_after
from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.heads import NO_NOTICE
from kingcupwheel.forwarding.heads import ServerCall
from kingcupwheel.forwarding.outcomes import Came
from kingcupwheel.forwarding.outcomes import Follows
from kingcupwheel.forwarding.outcomes import May
from kingcupwheel.forwarding.outcomes import Sends
from kingcupwheel.forwarding.outcomes import follows
from kingcupwheel.forwarding.outcomes import may_go_again
from kingcupwheel.forwarding.placing import Hindered
from kingcupwheel.forwarding.placing import Tried
from kingcupwheel.forwarding.placing import wait_for_place
from kingcupwheel.forwarding.streams import StreamRelay
from kingcupwheel.forwarding.watchdog import AbortReason
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.platform.headers import build_server_headers
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.entry.answers import Answer
    from kingcupwheel.forwarding.calls import Sent
    from kingcupwheel.forwarding.calls import ServerAnswer
    from kingcupwheel.forwarding.context import ForwardContext
    from kingcupwheel.forwarding.heads import ServerNotice
    from kingcupwheel.forwarding.requests import ForwardRequest
    from kingcupwheel.forwarding.watchdog import WatchedRequest

log = lines_of("requests")

# A whole answer of a plain service that is held before it is passed on, in bytes.
_WHOLE_BYTES = 16_000_000
_SERVER_FAILED = 500


class Running(NamedTuple):
    """An answer that began, and the place it holds."""

    place: Place
    answer: ServerAnswer


class ForwardRun:
    """One request's way to its answer; belongs to one thread."""

    def __init__(
        self, context: ForwardContext, request: ForwardRequest, watched: WatchedRequest
    ) -> None:
        self._context = context
        self._request = request
        self._watched = watched
        self._group = context.group_of(request.service)
        self._dispatcher = context.dispatchers.of(self._group)
        route = request.route
        self._may = May(route.is_idempotent, route.max_servers, route.target_latency_s)
        self._sends = Sends()
        self._tried: frozenset[str] = frozenset()
        self._suspect = False
        self._last_event = request.head.last_event
        self._sent_at = 0.0
        # The server that it was sent to last has begun to answer.
        self._begun = False
        # Budget for one more send was taken when a silent server was given up.
        self._reserved = False

    def answer(self) -> Answer:
        """Return the answer, or the refusal that is final."""
        verdict = self._context.guards.verdict(self._request.fingerprint)
        if isinstance(verdict, Quarantined):
            message = f"{verdict.crash_count} servers died while they ran this request."
            return self.refused(
                Refusal(503, "quarantined", message, verdict.remaining_s)
            )
        self._suspect = isinstance(verdict, Suspect)
        self._context.guards.first(self._request.service)
        found = self.next_answer()
        if isinstance(found, Refusal):
            return self.refused(found)
        if isinstance(found, WholeAnswer):
            return found
        relay = StreamRelay(self, found)
        head = found.answer.head
        return StreamedAnswer(head.status, head.passed, relay.body())

    def next_answer(self) -> Running | WholeAnswer | Refusal:
        """Send until an answer can be passed on, or nothing more can be done.

        A stream is returned as it begins, everything else once it is whole.
        """
        while True:
            place = self._place()
            if isinstance(place, Refusal):
                return place
            sent = self._send(place)
            if isinstance(sent, Withheld):
                self._withheld(place)
                continue
            if isinstance(sent, Answered):
                found = self._answered(place, sent.answer)
            else:
                found = self._not_answered(place, sent)
            if found is not None:
                return found

    def _withheld(self, place: Place) -> None:
        """Give back a place that a notice overtook; the next one is on another life."""
        self._release(place)
        self._context.metrics.ended_sends.labels("withheld").inc()
        log.info("send-withheld", id=self._request.id, server=place.incarnation)

    def _answered(
        self, place: Place, answer: ServerAnswer
    ) -> Running | WholeAnswer | Refusal | None:
        head = answer.head
        self._context.record_notice(place, head.notice, self._request.id)
        self._context.record_load(place, head.load)
        is_good = head.status < _SERVER_FAILED
        if is_good and self._request.route.is_streamed and head.status == 200:
            self._saw_first_byte()
            return Running(place, answer)
        try:
            body = answer.read_whole(_WHOLE_BYTES)
        except AnswerLostError as error:
            self.end(place, answer)
            return self.after(place, Came.LOST, str(error))
        self.end(place, answer)
        if is_good:
            self.succeeded(place, monotonic() - self._sent_at)
            return self._pass_on(answer, body)
        why = f"status {head.status}"
        ended = self.after(place, Came.FAILED, why, head.notice)
        if isinstance(ended, Refusal) and ended.limit == PASS_ON:
            return self._pass_on(answer, body)
        return ended

    def _pass_on(self, answer: ServerAnswer, body: bytes) -> WholeAnswer:
        head = answer.head
        self.finished(head.status, len(body), "whole")
        return WholeAnswer(head.status, head.passed, body, Outcome.RAN)

    def _not_answered(
        self, place: Place, sent: NotSent | TurnedAway | Lost
    ) -> Refusal | None:
        notice = NO_NOTICE
        if isinstance(sent, Lost) or (
            isinstance(sent, TurnedAway) and not sent.other_instance
        ):
            # Before the place is released, which may give it to the next request.
            notice = sent.notice
            self._context.record_notice(place, notice, self._request.id)
        self._release(place)
        match sent:
            case NotSent(why):
                came = Came.NOT_SENT
                if not self._watched.is_over:
                    self._dispatcher.failed(place)
            case TurnedAway(why, other_instance, faulty):
                came = Came.TURNED_AWAY
                if other_instance and faulty in ("", place.server):
                    self._context.record_misdirection(place)
                elif not (notice.rest_s or notice.leaving):
                    request = self._request
                    self._context.record_rejection(
                        place, request.service, streamed=request.route.is_streamed
                    )
            case Lost(why):
                came = Came.LOST
        return self.after(place, came, why, notice)

    def after(
        self, place: Place, came: Came, why: str, notice: ServerNotice = NO_NOTICE
    ) -> Refusal | None:
        """Return the refusal that follows a send, or None if another send does."""
        request = self._request
        self._sends = self._sends.after(came)
        self._tried |= {place.server}
        if self._watched.abort_reason is AbortReason.CALLER_LEFT:
            return CALLER_LEFT
        if came in (Came.LOST, Came.FAILED) and not self._watched.is_over:
            self._dispatcher.failed(place)
        if came is Came.LOST and self._watched.abort_reason is None:
            self._context.guards.lost(request.fingerprint, place.incarnation)
        left_s = request.times.over_at - monotonic()
        if self._watched.is_over:
            left_s = 0.0
        wants = may_go_again(self._sends, self._may, left_s)
        budget = wants and self._takes_budget()
        step = follows(
            came, self._sends, self._may, left_s=left_s, within_budget=budget
        )
        if (
            step is Follows.TIMEOUT
            and self._watched.abort_reason is AbortReason.SHUTDOWN
        ):
            step = Follows.UNKNOWN
        log.info(
            "send-ended",
            id=request.id,
            server=place.server,
            came=came.value,
            why=why,
            ran=self._sends.ran,
            turned_away=self._sends.turned_away,
            rest_s=notice.rest_s,
            leaving=notice.leaving,
            left_s=round(left_s, 3),
            budget=budget,
            follows=step.value,
        )
        self._context.metrics.ended_sends.labels(came.value).inc()
        rest_s = self._dispatcher.rest_left_s() if step is Follows.REFUSE else 0.0
        return refusal_after(step, why, request.id, rest_s)

    def _takes_budget(self) -> bool:
        """Return whether the budget allows one more send; one may be reserved."""
        reserved, self._reserved = self._reserved, False
        return reserved or self._context.guards.may_send_again(self._request.service)

    def _place(self) -> Place | Refusal:
        """Wait for a place; a refusal promises "not run" only if nothing was sent."""
        found = wait_for_place(
            self._dispatcher,
            self._request,
            self._watched,
            Tried(self._tried, self._suspect, self._context.data_centre),
        )
        if isinstance(found, Place):
            if self._sends.ran or self._watched.may_dispatch():
                self._log_place(found)
                return found
            self._release(found)
            retry_s = retry_after(self._request.id)
            found = Hindered(LEAVING.limit, AbortReason.SHUTDOWN.value, retry_s)
        if isinstance(found, Hindered):
            return self._no_place(found)
        return found

    def _no_place(self, found: Hindered) -> Refusal:
        if self._sends.ran:
            message = f"It was sent to a server, and no other took it: {found.why}."
            return Refusal(502, found.limit, message, 0.0, Outcome.UNKNOWN)
        message = f"No server could take it in time: {found.why}."
        return Refusal(503, found.limit, message, found.retry_after_s)

    def _log_place(self, place: Place) -> None:
        request = self._request
        self._context.metrics.queue_wait_seconds.observe(place.waited_s)
        log.info(
            "placed",
            id=request.id,
            server=place.server,
            why=place.decision.reason,
            weighed=[list(one) for one in place.decision.alternatives],
            waited_s=round(place.waited_s, 3),
            send=self._sends.ran + self._sends.turned_away + 1,
            version=request.version,
            version_age_s=round(request.version_age_s, 2),
        )

    def _send(self, place: Place) -> Sent:
        request = self._request
        now = monotonic()
        self._sent_at = now
        self._begun = False
        call = ServerCall(
            instance=place.server,
            left_s=max(0.001, request.times.over_at - now),
            organisation=request.organisation,
            priority=request.priority,
            last_event=self._last_event,
        )
        outgoing = Outgoing(
            request.method,
            request.target,
            build_server_headers(request.headers, call),
            request.body,
            request.head.attempt,
        )
        again = may_go_again(
            self._sends.after(Came.LOST), self._may, request.times.over_at - now
        )
        silence_s = request.times.silence_s if again else float("inf")
        self._watched.is_resumable_elsewhere = again and request.route.is_resumable
        streamed = request.route.is_streamed
        return self._context.server_client.send(
            outgoing,
            instance=place.server,
            life=place.incarnation,
            address=place.address,
            watched=self._watched,
            silence_s=silence_s,
            pulse=self._context.liveness.of(request.service) if streamed else None,
            fresh=not request.route.is_idempotent,
            may_give_up=partial(self._may_give_up, place),
            may_begin=partial(self._context.servers.may_send, place),
        )

    def _may_give_up(self, place: Place) -> bool:
        """Return whether a silent server is given up; asked when it is silent for long.

        Load: a group of ranks stands still, or all callers come back at once when the
        power does and first events take seconds at every server. Harm prevented: an
        answer that was about to come is ended because no other send is within the
        budget, or read anew by a server that is as full. Within a quarter of a second
        after such a return 38 callers were told 502, as counted in one day's log.
        """
        context, service = self._context, self._request.service
        if self._request.route.is_streamed:
            now = monotonic()
            if not context.liveness.of(service).others_live(place.server, now):
                return False
            if not self._begun and context.servers.is_told_full(place, now):
                return False
        if self._others_rest(place):
            return False
        self._reserved = self._reserved or context.guards.may_send_again(service)
        return self._reserved

    def _others_rest(self, place: Place) -> bool:
        """Return whether all other servers rest until another send is too late."""
        rest_s = self._dispatcher.rest_left_s(self._tried | {place.server})
        return rest_s > 0.0 and monotonic() + rest_s >= self._request.times.first_by

    def _saw_first_byte(self) -> None:
        """Note how long the server took; waits before this send were not its own."""
        self._begun = True
        seconds = monotonic() - self._sent_at
        self._dispatcher.saw_first_byte(seconds, self._request.head.prompt_tokens)

    def saw_event(self, event_id: str) -> None:
        """Note the last whole event that the caller has; a resume goes on after it."""
        if event_id:
            self._last_event = event_id

    @property
    def received_at(self) -> float:
        """When the request came, monotonic."""
        return self._request.received_at

    @property
    def request_id(self) -> str:
        """The caller's name for this send."""
        return self._request.id

    @property
    def last_event(self) -> str:
        """The id of the last whole event that the caller has."""
        return self._last_event

    def end(self, place: Place, answer: ServerAnswer) -> None:
        """End an answer's connection and give its place back; called once."""
        self._context.release_connection(place, answer)
        self._release(place)

    def _release(self, place: Place) -> None:
        self._dispatcher.release(place)

    def succeeded(self, place: Place, pace_s: float) -> None:
        """Count a whole answer; ``pace_s`` compares the servers of a service."""
        self._dispatcher.succeeded(place, pace_s)
        self._context.guards.cleared(self._request.fingerprint)

    def refused(self, refusal: Refusal) -> RefusedAnswer:
        """Log the final refusal and return it as an answer."""
        self.finished(refusal.status, 0, refusal.limit, refusal.message)
        return RefusedAnswer(refusal)

    def finished(
        self, status: int, length: int, how: str, why: str = "", **times: object
    ) -> None:
        """Log the request's end as its caller sees it."""
        request = self._request
        took_s = monotonic() - request.received_at
        self._context.metrics.record_answer(request.service, status, how, took_s)
        log.info(
            "finished",
            id=request.id,
            status=status,
            how=how,
            why=why,
            bytes=length,
            took_s=round(took_s, 3),
            ran=self._sends.ran,
            route=request.route.name,
            organisation=request.organisation,
            version=request.version,
            **times,
        )
