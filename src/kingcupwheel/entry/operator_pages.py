"""JSON pages for operators, on an address that is not published to callers."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypedDict

import msgspec


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from kingcupwheel.entry.context import EntryContext
    from kingcupwheel.entry.server_table import Server
    from kingcupwheel.manifest.synchronizer import ManifestSynchronizer

OPERATOR_THREADS = 4
_HEALTH_PATH = "/health"
_STATUS_PATH = "/status"
_TRACE_PATH_PREFIX = "/trace/"


class ServerRow(TypedDict):
    """State of one backend server as known to this entry."""

    server: str
    group: str
    in_service: bool
    in_flight: int
    heard_s_ago: float


class StatusBody(TypedDict):
    """State of the entry; ``manifest_version`` is 0 before the first manifest."""

    name: str
    manifest_version: int
    leaving: bool
    in_progress: int
    waiting_by_group: dict[str, int]
    servers: list[ServerRow]


class _Page(NamedTuple):
    status: str
    body: Any


class OperatorPages:
    """Read-only WSGI application: ``/health``, ``/status`` and ``/trace/ID``."""

    def __init__(
        self,
        context: EntryContext,
        manifest_synchronizer: ManifestSynchronizer,
        count_in_progress: Callable[[], int],
    ) -> None:
        self._context = context
        self._manifest_synchronizer = manifest_synchronizer
        self._count_in_progress = count_in_progress

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request with JSON."""
        page = self._build_page(str(environ.get("PATH_INFO", "")))
        body = msgspec.json.encode(page.body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(page.status, headers)
        return (body,)

    def _build_page(self, path: str) -> _Page:
        if path == _HEALTH_PATH:
            return self._build_health_page()
        if path == _STATUS_PATH:
            return _Page("200 OK", self._build_status_body())
        if path.startswith(_TRACE_PATH_PREFIX):
            events = self._context.recorder.get_events(path[len(_TRACE_PATH_PREFIX) :])
            if events:
                return _Page("200 OK", events)
        return _Page("404 Not Found", {"error": "no such page or request"})

    def _build_health_page(self) -> _Page:
        """Return the health page: 503 if callers should not use this entry."""
        reason = ""
        if self._context.leaving.is_set():
            reason = "leaving"
        elif self._manifest_synchronizer.current is None:
            reason = "no manifest in force"
        status = "503 Service Unavailable" if reason else "200 OK"
        return _Page(status, {"healthy": not reason, "why": reason})

    def _build_status_body(self) -> StatusBody:
        now = monotonic()
        servers = self._context.servers.servers
        return StatusBody(
            name=self._context.settings.name,
            manifest_version=self._manifest_synchronizer.version,
            leaving=self._context.leaving.is_set(),
            in_progress=self._count_in_progress(),
            waiting_by_group=self._context.dispatchers.waiting_count_by_group,
            servers=[_build_server_row(server, now) for server in servers],
        )


def _build_server_row(server: Server, now: float) -> ServerRow:
    return ServerRow(
        server=server.name,
        group=server.instance.group,
        in_service=server.is_in_service,
        in_flight=server.in_flight,
        heard_s_ago=round(now - server.last_heard_at, 2),
    )
