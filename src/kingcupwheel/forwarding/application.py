"""The WSGI application that answers callers on the users' platform."""

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
from kingcupwheel.forwarding.watchdog import Watched
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from kingcupwheel.decisions.stopping import Stopping
    from kingcupwheel.forwarding.admitting import Knowledge
    from kingcupwheel.forwarding.admitting import Received
    from kingcupwheel.forwarding.context import ForwardContext
    from kingcupwheel.forwarding.exchange import Environ
    from kingcupwheel.forwarding.requests import ForwardRequest

log = lines_of("requests")

# When a caller that an entry which stops refuses may come back, in seconds: at once if
# another entry is there, else when this one may have started again.
_ELSEWHERE_RETRY_S = 0.05
_RESTART_RETRY_S = 1.0


class ForwardApplication:
    """Answers callers; ``knowledge`` returns the configuration for a new request.

    ``others_live`` tells whether callers can be sent to another entry.
    """

    def __init__(
        self,
        context: ForwardContext,
        knowledge: Callable[[], Knowledge],
        *,
        name: str,
        others_live: Callable[[], bool],
    ) -> None:
        self._context = context
        self._knowledge = knowledge
        self._name = name
        self._others_live = others_live
        self._stopping: Stopping | None = None
        self._closed = False
        self._underway = Underway()

    @property
    def in_progress(self) -> int:
        """How many requests are not yet answered to their end."""
        return len(self._underway)

    @property
    def came_at_by_id(self) -> dict[str, float]:
        """When each request in progress came, monotonic."""
        return self._underway.came_at_by_id

    def stop(self, stopping: Stopping) -> None:
        """Take only what this planned stop leaves time for, and end the rest in time.

        Each answer from now on closes its connection.
        """
        self._stopping = stopping
        self._context.watchdog.end_by(stopping.answers_end_at)

    def close(self) -> None:
        """Take nothing more; what was counted in before is still answered."""
        self._closed = True

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        exchange = Exchange(environ, start_response)
        if self._stopping is not None:
            exchange.close_after()
        received = exchange.received(self._name, self._body_limit())
        received = received._replace(id=self._underway.enter(received))
        try:
            body = self._answer(exchange, received)
        except BaseException:
            self._underway.leave(received.id)
            raise
        return self._until_sent(body, received.id)

    def _body_limit(self) -> int:
        configuration = self._knowledge().configuration
        limits = RequestLimits() if configuration is None else configuration.limits
        return limits.body_bytes

    def _refusal_of_stop(self, request: ForwardRequest) -> Refusal | None:
        """Return the refusal of what can't end before this process does."""
        stopping = self._stopping
        if stopping is None:
            return None
        now = monotonic()
        over_at = request.times.over_at
        if not self._closed and stopping.takes(
            now,
            over_at=over_at,
            longest_s=self._underway.longest_s(request, now),
            streamed=request.route.streamed,
        ):
            return None
        retry_s = _ELSEWHERE_RETRY_S if self._others_live() else _RESTART_RETRY_S
        return LEAVING._replace(retry_after_s=spread(retry_s, request.id))

    def _may_run(self, request: ForwardRequest) -> bool:
        """Return whether a request that no server has may still be sent to one."""
        stopping = self._stopping
        if stopping is None:
            return True
        now = monotonic()
        over_at = request.times.over_at
        return stopping.may_run(
            now, over_at=over_at, longest_s=self._underway.longest_s(request, now)
        )

    def _until_sent(self, body: Iterable[bytes], request_id: str) -> Iterator[bytes]:
        try:
            yield from body
        finally:
            self._underway.leave(request_id)

    def _answer(self, exchange: Exchange, received: Received) -> Iterable[bytes]:
        request = admit(received, self._knowledge())
        if not isinstance(request, Refusal):
            request = self._refusal_of_stop(request) or request
        if isinstance(request, Refusal):
            self._log_refused(received, request)
            return exchange.pass_on(RefusedAnswer(request), received.id)
        watched = Watched(
            exchange.socket, request.times.over_at, partial(self._may_run, request)
        )
        self._context.watchdog.watch(watched)
        try:
            answer = ForwardRun(self._context, request, watched).answer()
        except BaseException:
            self._context.watchdog.forget(watched)
            raise
        body = exchange.pass_on(answer, received.id)
        refused = isinstance(answer, RefusedAnswer)
        return self._watched_until_sent(body, watched, None if refused else request)

    def _watched_until_sent(
        self, body: Iterable[bytes], watched: Watched, answered: ForwardRequest | None
    ) -> Iterator[bytes]:
        """Yield ``body``; how long ``answered`` took tells of what comes later."""
        try:
            yield from body
        finally:
            self._context.watchdog.forget(watched)
            if answered is not None:
                self._underway.answered(answered, monotonic())

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
