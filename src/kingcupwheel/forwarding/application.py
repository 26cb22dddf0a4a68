"""The WSGI application that serves callers on the users' platform."""

from __future__ import annotations

from functools import partial
from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.entry.refusals import LEAVING
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.admitting import admit
from kingcupwheel.forwarding.configuration import RequestLimits
from kingcupwheel.forwarding.exchange import Exchange
from kingcupwheel.forwarding.guards import spread
from kingcupwheel.forwarding.runs import ForwardRun
from kingcupwheel.forwarding.underway import Underway
from kingcupwheel.forwarding.watchdog import WatchedRequest
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from kingcupwheel.decisions.shutdown_schedule import ShutdownSchedule
    from kingcupwheel.forwarding.admitting import Knowledge
    from kingcupwheel.forwarding.admitting import Received
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

    ``knowledge`` returns the configuration for a new request, ``has_live_peers``
    whether callers can be sent to another entry.
    """

    def __init__(
        self,
        context: ForwardContext,
        knowledge: Callable[[], Knowledge],
        *,
        name: str,
        has_live_peers: Callable[[], bool],
    ) -> None:
        self._context = context
        self._knowledge = knowledge
        self._name = name
        self._has_live_peers = has_live_peers
        self._stopping: ShutdownSchedule | None = None
        self._refuses_new = False
        self._active_requests = Underway()

    @property
    def in_progress(self) -> int:
        """Number of requests whose answer has not been sent completely."""
        return len(self._active_requests)

    @property
    def received_at_by_id(self) -> dict[str, float]:
        """Monotonic receive time of each request in progress, by its id."""
        return self._active_requests.came_at_by_id

    def begin_shutdown(self, stopping: ShutdownSchedule) -> None:
        """Accept only requests that can end in time; abort the rest at the deadline.

        Each further answer closes its connection.
        """
        self._stopping = stopping
        self._context.watchdog.abort_all_at(stopping.responses_end_at)

    def refuse_new_requests(self) -> None:
        """Refuse all new requests; those in progress are still answered."""
        self._refuses_new = True

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        exchange = Exchange(environ, start_response)
        if self._stopping is not None:
            exchange.close_after()
        received = exchange.received(self._name, self._body_limit())
        received = received._replace(id=self._active_requests.enter(received))
        try:
            body = self._answer(exchange, received)
        except BaseException:
            self._active_requests.leave(received.id)
            raise
        return self._track_until_sent(body, received.id)

    def _body_limit(self) -> int:
        configuration = self._knowledge().configuration
        limits = RequestLimits() if configuration is None else configuration.limits
        return limits.max_body_bytes

    def _shutdown_refusal(self, request: ForwardRequest) -> Refusal | None:
        """Return a refusal if the request can't end before this process does."""
        stopping = self._stopping
        if stopping is None:
            return None
        now = monotonic()
        over_at = request.times.over_at
        if not self._refuses_new and stopping.may_accept(
            now,
            deadline_at=over_at,
            longest_recent_s=self._active_requests.longest_s(request, now),
            is_streamed=request.route.is_streamed,
        ):
            return None
        retry_s = (
            _PEER_RETRY_AFTER_S if self._has_live_peers() else _RESTART_RETRY_AFTER_S
        )
        return LEAVING._replace(retry_after_s=spread(retry_s, request.id))

    def _may_dispatch(self, request: ForwardRequest) -> bool:
        """Return whether a request that was never sent may still be dispatched."""
        stopping = self._stopping
        if stopping is None:
            return True
        now = monotonic()
        over_at = request.times.over_at
        return stopping.may_dispatch(
            now,
            deadline_at=over_at,
            longest_recent_s=self._active_requests.longest_s(request, now),
        )

    def _track_until_sent(
        self, body: Iterable[bytes], request_id: str
    ) -> Iterator[bytes]:
        try:
            yield from body
        finally:
            self._active_requests.leave(request_id)

    def _answer(self, exchange: Exchange, received: Received) -> Iterable[bytes]:
        request = admit(received, self._knowledge())
        if not isinstance(request, Refusal):
            request = self._shutdown_refusal(request) or request
        if isinstance(request, Refusal):
            self._log_refused(received, request)
            return exchange.pass_on(RefusedAnswer(request), received.id)
        watched = WatchedRequest(
            exchange.socket, request.times.over_at, partial(self._may_dispatch, request)
        )
        self._context.watchdog.watch(watched)
        try:
            answer = ForwardRun(self._context, request, watched).answer()
        except BaseException:
            self._context.watchdog.unwatch(watched)
            raise
        body = exchange.pass_on(answer, received.id)
        refused = isinstance(answer, RefusedAnswer)
        return self._watch_until_sent(body, watched, None if refused else request)

    def _watch_until_sent(
        self,
        body: Iterable[bytes],
        watched: WatchedRequest,
        answered: ForwardRequest | None,
    ) -> Iterator[bytes]:
        """Yield ``body``, then record the duration of ``answered``.

        The duration is used to predict how long later requests take.
        """
        try:
            yield from body
        finally:
            self._context.watchdog.unwatch(watched)
            if answered is not None:
                self._active_requests.answered(answered, monotonic())

    def _log_refused(self, received: Received, refusal: Refusal) -> None:
        knowledge = self._knowledge()
        version = 0
        if knowledge.configuration is not None:
            version = knowledge.configuration.version
        took_s = monotonic() - received.at
        self._context.metrics.record_answer("", refusal.status, refusal.limit, took_s)
        log.info(
            "refused",
            id=received.id,
            status=refusal.status,
            how=refusal.limit,
            why=refusal.message,
            retry_after_s=refusal.retry_after_s,
            target=received.target,
            version=version,
            version_age_s=round(knowledge.age_s, 2),
        )
