"""JSON pages for callers: discovery of entries and status of requests."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from kingcupwheel.trace.event_descriptions import describe_event
from kingcupwheel.trace.events import AttemptDispatched
from kingcupwheel.trace.events import RequestAdmitted
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import RequestPlaced
from kingcupwheel.trace.events import RequestReceived


if TYPE_CHECKING:
    from kingcupwheel.entry.membership import Membership
    from kingcupwheel.manifest.schema import Organisation
    from kingcupwheel.trace.events import TraceEvent
    from kingcupwheel.trace.recorder import TraceRecorder

_ENTRIES_PATH = "/kingcupwheel/v1/entries"
_REQUESTS_PATH = "/kingcupwheel/v1/requests/"


class JsonPage(NamedTuple):
    """An HTTP status and a body to be sent as JSON."""

    status: int
    body: Any


class EntriesBody(TypedDict):
    """Addresses of entries; ``keep_s`` is for how many seconds to use them."""

    entries: list[str]
    keep_s: float


class RequestBody(TypedDict):
    """Status of a request; ``outcome`` is None while it is in progress."""

    request_id: str
    outcome: str | None
    status: int | None
    reason: str
    story: list[str]


class CallerPages:
    """Builds the pages for an organisation's callers."""

    def __init__(
        self, recorder: TraceRecorder, membership: Membership, *, address_ttl_s: float
    ) -> None:
        self._recorder = recorder
        self._membership = membership
        self._address_ttl_s = address_ttl_s

    def get_page(self, method: str, path: str, organisation: Organisation) -> JsonPage:
        """Return the page at ``path``, which starts with ``PAGES_PREFIX``."""
        if method != "GET":
            return _build_error_page(405, "bad-method", "These pages are only read.")
        if path == _ENTRIES_PATH:
            return self._build_entries_page(organisation)
        if path.startswith(_REQUESTS_PATH):
            return self._build_request_page(path[len(_REQUESTS_PATH) :], organisation)
        return _build_error_page(404, "no-page", "There is no such page.")

    def _build_entries_page(self, organisation: Organisation) -> JsonPage:
        addresses = self._membership.list_caller_addresses(organisation, monotonic())
        entries = [f"http://{address}" for address in addresses]
        return JsonPage(200, EntriesBody(entries=entries, keep_s=self._address_ttl_s))

    def _build_request_page(
        self, request_id: str, organisation: Organisation
    ) -> JsonPage:
        # The page does not disclose whether an id of another organisation exists.
        events = self._recorder.get_events(request_id)
        if not _is_sent_by(events, organisation):
            return _build_error_page(
                404, "no-request", "This entry knows no such request."
            )
        return JsonPage(200, _build_request_body(request_id, events))


def _is_sent_by(events: tuple[TraceEvent, ...], organisation: Organisation) -> bool:
    return any(
        isinstance(one.event, RequestReceived)
        and one.event.organisation == organisation.name
        for one in events
    )


def _build_request_body(request_id: str, events: tuple[TraceEvent, ...]) -> RequestBody:
    body = RequestBody(
        request_id=request_id,
        outcome=None,
        status=None,
        reason="in progress",
        story=[_describe(one, events) for one in events if _is_visible_to_callers(one)],
    )
    for one in events:
        if isinstance(one.event, RequestFinished):
            body["outcome"] = one.event.outcome
            body["status"] = one.event.status
            body["reason"] = one.event.reason
    return body


def _is_visible_to_callers(one: TraceEvent) -> bool:
    # Placement and the load of servers are shown to operators only.
    return not isinstance(
        one.event, RequestPlaced | AttemptDispatched | RequestAdmitted
    )


def _describe(one: TraceEvent, events: tuple[TraceEvent, ...]) -> str:
    return describe_event(one, entry=one.process, arrived_at=events[0].recorded_at)


def _build_error_page(status: int, reason: str, message: str) -> JsonPage:
    return JsonPage(status, {"error": {"reason": reason, "message": message}})
