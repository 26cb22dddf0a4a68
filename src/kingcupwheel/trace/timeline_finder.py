"""Gathering the parts of one request's story, without an index.

The id names the entry and the time; the entry's events name the agents. Each is asked
over its own socket first, and its batches are read if it is gone or does not hold all.
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

# Agents asked when the entry left nothing that names them. It covers every agent of
# today's deployments; of a larger fleet the rest is named as not asked.
MAX_FALLBACK_AGENTS = 128
# Processes whose batches are read in that case, each with some four calls to the
# platform.
MAX_FALLBACK_WRITERS = 32


class _ProcessDirectory(NamedTuple):
    address_by_process: dict[str, str]
    agents: tuple[str, ...]
    problem: str


class TraceQueryClient(Protocol):
    """Asks live processes; ``link.query_client.QueryClient`` does."""

    def ask(
        self,
        address_by_process: Mapping[str, str],
        question: Message,
        answer: type[TraceReply],
    ) -> dict[str, TraceReply]:
        """Return the answers by process, without those that did not come in time."""


class TimelineFinder:
    """Finds stories; belongs to one thread.

    ``address_by_process`` holds addresses given by hand, for when the platform's list
    can't be read; they go before the list's. ``agents`` names agents to ask in any
    case, such as the one that a claim names.
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
        """Return what can be said of the request, with what is missing."""
        parsed = parse_request_id(request_id)
        if parsed is None:
            return Error(InvalidRequestId(request_id))
        directory = self._read_directory()
        entry = self._collect_traces((parsed.entry,), request_id, parsed, directory)[0]
        servers = dict.fromkeys((*list_servers(entry.events), *self._given_agents))
        told_at = _get_finish_time(entry.events)
        agents = self._collect_traces(
            tuple(servers), request_id, parsed, directory, told_at
        )
        # An entry that answers for that time and holds nothing never gave out the id.
        found = entry.events or any(part.events for part in agents)
        if not found and entry.gaps:
            agents = (*agents, *self._search_all_agents(request_id, parsed, directory))
        parts = (entry, *agents)
        if directory.problem and any(part.gaps for part in parts):
            gaps = (directory.problem, *entry.gaps)
            parts = (msgspec.structs.replace(entry, gaps=gaps), *agents)
        return Ok(build_timeline(request_id, parts))

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
        found_by_process = self._query_processes(processes, request_id, directory)
        return tuple(
            self._collect_trace(
                process, found_by_process.get(process), request_id, parsed, finished_at
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
        """Look at large: the entry is gone and left nothing that names an agent."""
        asked = directory.agents[:MAX_FALLBACK_AGENTS]
        found_by_process = self._query_processes(asked, request_id, directory)
        parts = tuple(
            ProcessTrace(process, TraceSource.LIVE, events)
            for process, found in found_by_process.items()
            if (events := _decode_events(found))
        )
        if parts:
            return parts
        whole = {name for name, found in found_by_process.items() if found.complete}
        writers = self._batch_reader.list_writers()
        left = [name for name in writers if name not in whole | {parsed.entry}]
        parts = self._search_batches(left[:MAX_FALLBACK_WRITERS], request_id, parsed)
        unasked = max(0, len(directory.agents) - len(asked))
        unread = max(0, len(left) - MAX_FALLBACK_WRITERS)
        if parts or not (unasked or unread):
            return parts
        gap = (
            f"{unasked} agents were not asked and {unread} processes' batches not read."
        )
        return (ProcessTrace("agents", TraceSource.NOT_FOUND, (), (gap,)),)

    def _search_batches(
        self, writers: list[str], request_id: str, parsed: RequestId
    ) -> tuple[ProcessTrace, ...]:
        parts = (
            self._collect_trace(name, None, request_id, parsed, None)
            for name in writers
        )
        return tuple(part for part in parts if part.events)


def _decode_events(reply: TraceReply | None) -> tuple[TraceEvent, ...]:
    if reply is None:
        return ()
    try:
        events: tuple[TraceEvent, ...] = EVENTS_DECODER.decode(reply.events)
    except msgspec.MsgspecError:
        return ()
    return events


def _combine_events(
    live: tuple[TraceEvent, ...], stored: tuple[TraceEvent, ...]
) -> tuple[TraceEvent, ...]:
    held = set(stored)
    return stored + tuple(event for event in live if event not in held)


def _describe_gaps(
    process: str,
    entry: str,
    reply: TraceReply | None,
    events: tuple[TraceEvent, ...],
    stored: BatchEvents,
    finished_at: float | None,
) -> tuple[str, ...]:
    # An agent's batches that reach past the end of the request, without a loss, hold
    # all that it recorded, even if that is nothing: a dispatch may never have come.
    if (
        finished_at
        and stored.covered_until > finished_at
        and not (stored.losses or stored.problem)
    ):
        return ()
    if _has_end(events, requires_start=process == entry):
        return ()
    if reply is None:
        why = f"{process} does not answer"
    else:
        why = f"{process} does not hold all of it (restarted, or it is too long ago)"
    if stored.problem:
        batches = stored.problem
    elif stored.covered_until:
        batches = f"its batches reach to Unix second {stored.covered_until}"
    else:
        batches = "it left no batches of that time"
    lost = tuple(
        f"{process} says that it lost {loss.event_count} events between Unix seconds "
        f"{loss.since:.0f} and {loss.until:.0f}: {loss.reason}."
        for loss in stored.losses
    )
    return (f"Part of {process}'s account may be missing: {why}, and {batches}.", *lost)


def _get_finish_time(events: tuple[TraceEvent, ...]) -> float | None:
    ends = [
        event.recorded_at
        for event in events
        if isinstance(event.event, RequestFinished)
    ]
    return ends[-1] if ends else None


def _has_end(events: tuple[TraceEvent, ...], *, requires_start: bool) -> bool:
    """Tell whether the events run to the end of the request at that process."""
    ended = any(
        isinstance(event.event, RequestFinished | RequestRefused) for event in events
    )
    if not requires_start:
        return ended
    begun = any(isinstance(event.event, RequestReceived) for event in events)
    return begun and any(isinstance(event.event, RequestFinished) for event in events)
