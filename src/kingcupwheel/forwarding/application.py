"""The WSGI application that serves callers on the users' platform."""

from __future__ import annotations

from contextlib import ExitStack
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.entry.body_memory import BodyMemory
from kingcupwheel.entry.http_exchange import close_after
from kingcupwheel.entry.refusals import ENTRY_LEAVING
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.active_requests import ActiveRequests
from kingcupwheel.forwarding.admission import admit_request
from kingcupwheel.forwarding.configuration import RequestLimits
from kingcupwheel.forwarding.exchange import HttpExchange
from kingcupwheel.forwarding.forwarder import RequestForwarder
from kingcupwheel.forwarding.request_state import RequestState
from kingcupwheel.forwarding.retry_guards import with_jitter
from kingcupwheel.forwarding.watchdog import WatchedRequest
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from kingcupwheel.decisions.shutdown_schedule import ShutdownSchedule
    from kingcupwheel.forwarding.admission import ConfigurationSnapshot
    from kingcupwheel.forwarding.admission import ReceivedRequest
    from kingcupwheel.forwarding.context import ForwardContext
    from kingcupwheel.forwarding.exchange import Environ
    from kingcupwheel.forwarding.requests import ForwardRequest

log = lines_of("requests")

# Retry-After of a caller that is refused during a shutdown, in seconds: at once if
# another entry is live, else when this one may have restarted.
_PEER_RETRY_AFTER_S = 0.05
_RESTART_RETRY_AFTER_S = 1.0


class ForwardApplication:
    """WSGI application that forwards requests to backend servers.

    ``configuration_snapshot`` returns the configuration for a new request and its age,
    ``has_live_peers`` whether callers can be sent to another entry. All requests share
    the memory ``bodies``, without a limit by default.
    """

    def __init__(
        self,
        context: ForwardContext,
        configuration_snapshot: Callable[[], ConfigurationSnapshot],
        *,
        name: str,
        has_live_peers: Callable[[], bool],
        bodies: BodyMemory | None = None,
    ) -> None:
        self._context = context
        self._configuration_snapshot = configuration_snapshot
        self._name = name
        self._has_live_peers = has_live_peers
        self._bodies = bodies or BodyMemory(float("inf"))
        self._shutdown_schedule: ShutdownSchedule | None = None
        self._refuses_new = False
        self._active_requests = ActiveRequests()

    @property
    def in_progress_count(self) -> int:
        """Number of requests whose answer has not been sent completely."""
        return len(self._active_requests)

    @property
    def received_at_by_id(self) -> dict[str, float]:
        """Monotonic receive time of each request in progress, by its id."""
        return self._active_requests.received_at_by_id

    def begin_shutdown(self, schedule: ShutdownSchedule) -> None:
        """Accept only requests that can end in time; abort the rest at the deadline.

        Each further answer closes its connection.
        """
        self._shutdown_schedule = schedule
        self._context.watchdog.abort_all_at(schedule.responses_end_at)

    def refuse_new_requests(self) -> None:
        """Refuse all new requests; those in progress are still answered."""
        self._refuses_new = True

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        exchange = HttpExchange(environ, start_response)
        if self._shutdown_schedule is not None:
            exchange.close_after_answer()
        with ExitStack() as stack:
            body = self._bodies.open()
            stack.callback(body.close)
            received = exchange.read_request(self._name, body, self._body_limit())
            received = received._replace(id=self._active_requests.add(received))
            stack.callback(self._active_requests.remove, received.id)
            if received.body_refusal is not None:
                body.close()
            answer = self._answer(exchange, received)
            return close_after(answer, stack.pop_all())

    def _body_limit(self) -> int:
        configuration = self._configuration_snapshot().configuration
        limits = RequestLimits() if configuration is None else configuration.limits
        return limits.max_body_bytes

    def _shutdown_refusal(self, request: ForwardRequest) -> Refusal | None:
        """Return a refusal if the request can't end before this process does."""
        schedule = self._shutdown_schedule
        if schedule is None:
            return None
        now = monotonic()
        deadline_at = request.deadlines.deadline_at
        if not self._refuses_new and schedule.may_accept(
            now,
            deadline_at=deadline_at,
            longest_recent_s=self._active_requests.longest_answer_s(request, now),
            is_streamed=request.route.is_streamed,
        ):
            return None
        retry_s = (
            _PEER_RETRY_AFTER_S if self._has_live_peers() else _RESTART_RETRY_AFTER_S
        )
        return ENTRY_LEAVING._replace(retry_after_s=with_jitter(retry_s, request.id))

    def _may_dispatch(self, request: ForwardRequest) -> bool:
        """Return whether a request that was never sent may still be dispatched."""
        schedule = self._shutdown_schedule
        if schedule is None:
            return True
        now = monotonic()
        deadline_at = request.deadlines.deadline_at
        return schedule.may_dispatch(
            now,
            deadline_at=deadline_at,
            longest_recent_s=self._active_requests.longest_answer_s(request, now),
        )

    def _answer(
        self, exchange: HttpExchange, received: ReceivedRequest
    ) -> Iterable[bytes]:
        request = admit_request(received, self._configuration_snapshot())
        if not isinstance(request, Refusal):
            request = self._shutdown_refusal(request) or request
        if isinstance(request, Refusal):
            self._log_refused(received, request)
            return exchange.send_answer(RefusedAnswer(request), received.id)
        watched = WatchedRequest(
            exchange.socket,
            request.deadlines.deadline_at,
            partial(self._may_dispatch, request),
        )
        forwarder = RequestForwarder(RequestState(self._context, request, watched))
        self._context.watchdog.watch(watched)
        try:
            answer = forwarder.forward()
        except BaseException:
            self._context.watchdog.unwatch(watched)
            forwarder.close()
            raise
        body = exchange.send_answer(answer, received.id)
        refused = isinstance(answer, RefusedAnswer)
        return self._watch_until_sent(
            body, watched, forwarder, None if refused else request
        )

    def _watch_until_sent(
        self,
        body: Iterable[bytes],
        watched: WatchedRequest,
        forwarder: RequestForwarder,
        answered: ForwardRequest | None,
    ) -> Iterator[bytes]:
        """Yield ``body``, then record the duration of ``answered``.

        The duration is used to predict how long later requests take.
        """
        try:
            yield from body
        finally:
            self._context.watchdog.unwatch(watched)
            forwarder.close()
            if answered is not None:
                self._active_requests.record_answer(answered, monotonic())

    def _log_refused(self, received: ReceivedRequest, refusal: Refusal) -> None:
        snapshot = self._configuration_snapshot()
        version = 0
        if snapshot.configuration is not None:
            version = snapshot.configuration.version
        took_s = monotonic() - received.received_at
        self._context.metrics.record_answer("", refusal.status, refusal.reason, took_s)
        log.info(
            "refused",
            id=received.id,
            status=refusal.status,
            how=refusal.reason,
            why=refusal.message,
            retry_after_s=refusal.retry_after_s,
            target=received.target,
            version=version,
            version_age_s=round(snapshot.age_s, 2),
        )
