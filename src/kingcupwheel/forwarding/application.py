"""The WSGI applications of an entry on the users' platform."""

from __future__ import annotations

from functools import partial
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from kingcupwheel.decisions.durations import LongestOfLate
from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.entry.answers import StreamedAnswer
from kingcupwheel.entry.answers import WholeAnswer
from kingcupwheel.entry.exchange import headers_of
from kingcupwheel.entry.exchange import status_line
from kingcupwheel.entry.gateway import CLOSE_KEY
from kingcupwheel.entry.gateway import SOCKET_KEY
from kingcupwheel.entry.refusals import LEAVING
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.entry.refusals import body_of
from kingcupwheel.forwarding.admitting import Received
from kingcupwheel.forwarding.admitting import admit
from kingcupwheel.forwarding.configuration import RequestLimits
from kingcupwheel.forwarding.guards import spread
from kingcupwheel.forwarding.runs import ForwardRun
from kingcupwheel.forwarding.watchdog import Watched
from kingcupwheel.platform import pages
from kingcupwheel.platform.headers import attempt_of
from kingcupwheel.telemetry.lines import lines_of
from kingcupwheel.utils.request_ids import new_request_id


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from kingcupwheel.decisions.stopping import Stopping
    from kingcupwheel.entry.answers import Answer
    from kingcupwheel.forwarding.admitting import Knowledge
    from kingcupwheel.forwarding.context import ForwardContext
    from kingcupwheel.forwarding.requests import ForwardRequest

log = lines_of("requests")

Environ = dict[str, Any]

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
        self._durations_by_route: dict[str, LongestOfLate] = {}
        self._came_at_by_id: dict[str, float] = {}
        self._lock = Lock()

    @property
    def in_progress(self) -> int:
        """How many requests are not yet answered to their end."""
        return len(self._came_at_by_id)

    @property
    def came_at_by_id(self) -> dict[str, float]:
        """When each request in progress came, monotonic."""
        with self._lock:
            return dict(self._came_at_by_id)

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
        exchange = _Exchange(environ, start_response)
        if self._stopping is not None:
            exchange.close_after()
        received = exchange.received(self._name, self._body_limit())
        received = received._replace(id=self._enter(received))
        try:
            body = self._answer(exchange, received)
        except BaseException:
            self._leave(received.id)
            raise
        return self._until_sent(body, received.id)

    def _body_limit(self) -> int:
        configuration = self._knowledge().configuration
        limits = RequestLimits() if configuration is None else configuration.limits
        return limits.body_bytes

    def _enter(self, received: Received) -> str:
        """Count a request in; return its id, made different from those under way."""
        with self._lock:
            found = received.id
            number = 2
            while found in self._came_at_by_id:
                found = f"{received.id}~{number}"
                number += 1
            self._came_at_by_id[found] = received.at
        return found

    def _leave(self, request_id: str) -> None:
        with self._lock:
            self._came_at_by_id.pop(request_id, None)

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
            longest_s=self._longest_s(request, now),
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
            now, over_at=over_at, longest_s=self._longest_s(request, now)
        )

    def _longest_s(self, request: ForwardRequest, now: float) -> float | None:
        """Return how long the longest answer of late took, or has taken so far.

        None if its route had no answer of late: a lookup tells nothing of a stream.
        """
        with self._lock:
            durations = self._durations_by_route.get(request.route.name)
            longest_s = None if durations is None else durations.longest_s(now)
            if longest_s is None:
                return None
            first_came_at = min(self._came_at_by_id.values(), default=now)
            return max(longest_s, now - first_came_at)

    def _note_duration(self, request: ForwardRequest) -> None:
        now = monotonic()
        with self._lock:
            durations = self._durations_by_route.setdefault(
                request.route.name, LongestOfLate()
            )
            durations.saw(now - request.received_at, now)

    def _until_sent(self, body: Iterable[bytes], request_id: str) -> Iterator[bytes]:
        try:
            yield from body
        finally:
            self._leave(request_id)

    def _answer(self, exchange: _Exchange, received: Received) -> Iterable[bytes]:
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
                self._note_duration(answered)

    def _log_refused(self, received: Received, refusal: Refusal) -> None:
        knowledge = self._knowledge()
        version = 0
        if knowledge.configuration is not None:
            version = knowledge.configuration.version
        took_s = monotonic() - received.at
        self._context.metrics.finished("", refusal.status, refusal.limit, took_s)
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


class _Exchange:
    """Reads a request and writes its answer; belongs to one thread."""

    def __init__(self, environ: Environ, start_response: Callable[..., Any]) -> None:
        self._environ = environ
        self._start_response = start_response
        self._at = monotonic()

    @property
    def socket(self) -> Any:
        """The caller's connection, None outside the HTTP server."""
        return self._environ.get(SOCKET_KEY)

    def close_after(self) -> None:
        """Close the connection after this answer."""
        close = self._environ.get(CLOSE_KEY)
        if close is not None:
            close()

    def received(self, entry: str, body_limit: int) -> Received:
        """Read the request; of a body over the limit no more than shows that it is.

        Its connection is closed then: what is left of it would look like a request.
        """
        headers = headers_of(self._environ)
        target = self._environ.get("REQUEST_URI") or self._environ["PATH_INFO"]
        if isinstance(target, bytes):
            target = target.decode("latin-1")
        body = self._environ["wsgi.input"].read(body_limit + 1)
        if len(body) > body_limit:
            self.close_after()
        own = str(new_request_id(entry, now=self._at))
        return Received(
            id=attempt_of(headers) or own,
            method=str(self._environ["REQUEST_METHOD"]),
            target=target,
            headers=headers,
            body=body,
            at=self._at,
        )

    def pass_on(self, answer: Answer, request_id: str) -> Iterable[bytes]:
        """Send what a request came to."""
        match answer:
            case RefusedAnswer(refusal):
                return self._refuse(refusal, request_id)
            case WholeAnswer(status, headers, body):
                length = ("Content-Length", str(len(body)))
                self._start_response(status_line(status), [*headers, length])
                return (body,)
            case StreamedAnswer(status, headers, stream):
                self._start_response(status_line(status), list(headers))
                return stream

    def _refuse(self, refusal: Refusal, request_id: str) -> Iterable[bytes]:
        body = msgspec.json.encode({"error": body_of(refusal, request_id)})
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if refusal.retry_after_s > 0:
            headers.append(("Retry-After", f"{refusal.retry_after_s:.2f}"))
        self._start_response(status_line(refusal.status), headers)
        return (body,)


class ReadyPage:
    """Tells the platform whether this entry can answer callers."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one question."""
        status = 404
        if environ["PATH_INFO"] == pages.READY_PATH:
            status = 200 if self._is_ready() else 503
        start_response(status_line(status), [("Content-Length", "0")])
        return (b"",)


class AddressesPage:
    """Tells callers which entries to connect to.

    ``addresses`` returns those for a caller in the data centre it is given.
    """

    def __init__(
        self, addresses: Callable[[str], tuple[str, ...]], keep_s: float
    ) -> None:
        self._addresses = addresses
        self._keep_s = keep_s

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one question."""
        if environ["PATH_INFO"] != pages.ADDRESSES_PATH:
            start_response(status_line(404), [("Content-Length", "0")])
            return (b"",)
        asked = pages.asked_data_centre(str(environ.get("QUERY_STRING", "")))
        found = self._addresses(asked)
        if not found:
            start_response(status_line(503), [("Content-Length", "0")])
            return (b"",)
        body = pages.addresses_body(found, self._keep_s)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(status_line(200), headers)
        return (body,)
