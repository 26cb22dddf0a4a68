"""Finder of a request's timeline, without an index.

The request id contains the entry and the arrival time; the entry's events name the
agents. Each process is queried over its own socket first; its batches are read if it
does not answer or does not hold all of the request's events.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.messages.traces import TraceReply
from kingcupwheel.messages.traces import TraceRequest
from kingcupwheel.trace.batch_reader import BatchReader
from kingcupwheel.trace.batch_reader import describe_platform_error
from kingcupwheel.trace.events import EVENTS_DECODER
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import RequestReceived
from kingcupwheel.trace.events import RequestRefused
from kingcupwheel.trace.exceptions import InvalidRequestId
from kingcupwheel.trace.timeline import ProcessTrace
from kingcupwheel.trace.timeline import RequestTimeline
from kingcupwheel.trace.timeline import TraceSource
from kingcupwheel.trace.timeline import build_timeline
from kingcupwheel.trace.timeline import list_servers
from kingcupwheel.utils.request_ids import parse_request_id


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.messages.base import Message
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.trace.batch_reader import BatchEvents
    from kingcupwheel.trace.events import TraceEvent
    from kingcupwheel.trace.exceptions import FindError
    from kingcupwheel.utils.request_ids import RequestId

# Agents queried if no event of the entry names one. It covers every agent of current
# deployments; in a larger fleet the number of agents not queried is reported.
MAX_FALLBACK_AGENTS = 128
# Processes whose batches are read in that case; each takes about four platform calls.
MAX_FALLBACK_WRITERS = 32


class _ProcessDirectory(NamedTuple):
    address_by_process: dict[str, str]
    agents: tuple[str, ...]
    problem: str


class TraceQueryClient(Protocol):
    """Client that queries live processes; see ``link.query_client.QueryClient``."""

    def ask(
        self,
        address_by_process: Mapping[str, str],
        question: Message,
        answer: type[TraceReply],
    ) -> dict[str, TraceReply]:
        """Return the answers received before the timeout, by process."""


class TimelineFinder:
    """Finds request timelines; not thread-safe.

    ``address_by_process`` holds addresses configured by the user, which take precedence
    over the platform's list and work without it. ``agents`` names agents to query in
    any case, such as the one named by a claim.
    """

    def __init__(
        self,
        client: PlatformClient,
        query_client: TraceQueryClient,
        *,
        address_by_process: Mapping[str, str] | None = None,
        agents: Iterable[str] = (),
    ) -> None:
        self._client = client
        self._query_client = query_client
        self._given_addresses = dict(address_by_process or {})
        self._given_agents = tuple(agents)
        self._batch_reader = BatchReader(client)

    def find(self, request_id: str) -> Result[RequestTimeline, FindError]:
        """Return the timeline of the request, including its known gaps."""
        parsed = parse_request_id(request_id)
        if parsed is None:
            return Error(InvalidRequestId(request_id))
        directory = self._read_directory()
        entry = self._collect_traces((parsed.entry,), request_id, parsed, directory)[0]
        servers = dict.fromkeys((*list_servers(entry.events), *self._given_agents))
        finished_at = _get_finish_time(entry.events)
        agents = self._collect_traces(
            tuple(servers), request_id, parsed, directory, finished_at
        )
        # An entry without gaps and without events never issued the id.
        has_events = entry.events or any(trace.events for trace in agents)
        if not has_events and entry.gaps:
            agents = (*agents, *self._search_all_agents(request_id, parsed, directory))
        traces = (entry, *agents)
        if directory.problem and any(trace.gaps for trace in traces):
            gaps = (directory.problem, *entry.gaps)
            traces = (msgspec.structs.replace(entry, gaps=gaps), *agents)
        return Ok(build_timeline(request_id, traces))

    def _read_directory(self) -> _ProcessDirectory:
        listed = self._client.instances()
        if listed.is_error():
            problem = (
                "The list of instances is missing: "
                f"{describe_platform_error(listed.error)}."
            )
            return _ProcessDirectory(
                self._given_addresses, tuple(self._given_addresses), problem
            )
        address_by_process = {item.name: item.address for item in listed.ok}
        agents = tuple(item.name for item in listed.ok if item.role == "agent")
        return _ProcessDirectory(address_by_process | self._given_addresses, agents, "")

    def _collect_traces(
        self,
        processes: tuple[str, ...],
        request_id: str,
        parsed: RequestId,
        directory: _ProcessDirectory,
        finished_at: float | None = None,
    ) -> tuple[ProcessTrace, ...]:
        reply_by_process = self._query_processes(processes, request_id, directory)
        return tuple(
            self._collect_trace(
                process, reply_by_process.get(process), request_id, parsed, finished_at
            )
            for process in processes
        )

    def _query_processes(
        self, processes: tuple[str, ...], request_id: str, directory: _ProcessDirectory
    ) -> dict[str, TraceReply]:
        addresses = {
            process: address
            for process in processes
            if (address := directory.address_by_process.get(process))
        }
        return self._query_client.ask(addresses, TraceRequest(request_id), TraceReply)

    def _collect_trace(
        self,
        process: str,
        reply: TraceReply | None,
        request_id: str,
        parsed: RequestId,
        finished_at: float | None,
    ) -> ProcessTrace:
        live = _decode_events(reply)
        if reply is not None and reply.complete:
            return ProcessTrace(process, TraceSource.LIVE, live)
        since = parsed.arrived_at_ms / 1000
        stored = self._batch_reader.read_events(process, request_id, since=since)
        events = _combine_events(live, stored.events)
        source = TraceSource.BATCHES if stored.events else TraceSource.NOT_FOUND
        source = TraceSource.LIVE if live else source
        gaps = _describe_gaps(process, parsed.entry, reply, events, stored, finished_at)
        return ProcessTrace(process, source, events, gaps)

    def _search_all_agents(
        self, request_id: str, parsed: RequestId, directory: _ProcessDirectory
    ) -> tuple[ProcessTrace, ...]:
        """Search all agents, as no event of the entry names one."""
        queried = directory.agents[:MAX_FALLBACK_AGENTS]
        reply_by_process = self._query_processes(queried, request_id, directory)
        traces = tuple(
            ProcessTrace(process, TraceSource.LIVE, events)
            for process, reply in reply_by_process.items()
            if (events := _decode_events(reply))
        )
        if traces:
            return traces
        complete = {name for name, reply in reply_by_process.items() if reply.complete}
        writers = self._batch_reader.list_writers()
        remaining = [name for name in writers if name not in complete | {parsed.entry}]
        traces = self._search_batches(
            remaining[:MAX_FALLBACK_WRITERS], request_id, parsed
        )
        unqueried = max(0, len(directory.agents) - len(queried))
        unread = max(0, len(remaining) - MAX_FALLBACK_WRITERS)
        if traces or not (unqueried or unread):
            return traces
        gap = (
            f"{unqueried} agents were not asked and {unread} processes' "
            "batches not read."
        )
        return (ProcessTrace("agents", TraceSource.NOT_FOUND, (), (gap,)),)

    def _search_batches(
        self, writers: list[str], request_id: str, parsed: RequestId
    ) -> tuple[ProcessTrace, ...]:
        traces = (
            self._collect_trace(name, None, request_id, parsed, None)
            for name in writers
        )
        return tuple(trace for trace in traces if trace.events)


def _decode_events(reply: TraceReply | None) -> tuple[TraceEvent, ...]:
    if reply is None:
        return ()
    try:
        events: tuple[TraceEvent, ...] = EVENTS_DECODER.decode(reply.events)
    except msgspec.MsgspecError:
        return ()
    return events


def _combine_events(
    live_events: tuple[TraceEvent, ...], stored: tuple[TraceEvent, ...]
) -> tuple[TraceEvent, ...]:
    stored_events = set(stored)
    return stored + tuple(event for event in live_events if event not in stored_events)


def _describe_gaps(
    process: str,
    entry: str,
    reply: TraceReply | None,
    events: tuple[TraceEvent, ...],
    stored: BatchEvents,
    finished_at: float | None,
) -> tuple[str, ...]:
    # Batches that extend past the end of the request without a loss hold everything
    # that the agent recorded. That may be nothing, as a dispatch may never arrive.
    if (
        finished_at
        and stored.covered_until > finished_at
        and not (stored.losses or stored.problem)
    ):
        return ()
    if _has_end(events, requires_start=process == entry):
        return ()
    if reply is None:
        explanation = f"{process} does not answer"
    else:
        explanation = (
            f"{process} does not hold all of it (restarted, or it is too long ago)"
        )
    if stored.problem:
        coverage = stored.problem
    elif stored.covered_until:
        coverage = f"its batches reach to Unix second {stored.covered_until}"
    else:
        coverage = "it left no batches of that time"
    loss_reports = tuple(
        f"{process} says that it lost {loss.event_count} events between Unix seconds "
        f"{loss.since:.0f} and {loss.until:.0f}: {loss.reason}."
        for loss in stored.losses
    )
    return (
        f"Part of {process}'s account may be missing: {explanation}, and {coverage}.",
        *loss_reports,
    )


def _get_finish_time(events: tuple[TraceEvent, ...]) -> float | None:
    ends = [
        event.recorded_at
        for event in events
        if isinstance(event.event, RequestFinished)
    ]
    return ends[-1] if ends else None


def _has_end(events: tuple[TraceEvent, ...], *, requires_start: bool) -> bool:
    """Return whether the events include the end of the request at that process."""
    has_end = any(
        isinstance(event.event, RequestFinished | RequestRefused) for event in events
    )
    if not requires_start:
        return has_end
    has_start = any(isinstance(event.event, RequestReceived) for event in events)
    return has_start and any(
        isinstance(event.event, RequestFinished) for event in events
    )
