"""Builders of requests and events, and in-memory clients, for tests of traces."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.messages.traces import TraceReply
from kingcupwheel.messages.traces import TraceRequest
from kingcupwheel.platform.client import Instance
from kingcupwheel.platform.client import VersionedValue
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import PlatformError
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.trace.events import AnyEvent
from kingcupwheel.trace.events import AttemptDispatched
from kingcupwheel.trace.events import AttemptForwarded
from kingcupwheel.trace.events import ConsideredServer
from kingcupwheel.trace.events import FirstByteRelayed
from kingcupwheel.trace.events import RequestAdmitted
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import RequestPlaced
from kingcupwheel.trace.events import RequestReceived
from kingcupwheel.trace.events import TraceEvent
from kingcupwheel.utils.request_ids import generate_request_id


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.messages.base import Message
    from kingcupwheel.trace.recorder import TraceRecorder

T = TypeVar("T")

START = 1_800_000_000.0
ENTRY = "entry-1"
AGENT = "agent-2"


def build_request_id(*, arrived_at: float = START) -> str:
    return str(generate_request_id(ENTRY, now=arrived_at))


def build_received_event(**changes: object) -> RequestReceived:
    event = RequestReceived(
        "POST", "/v1/pickups", 120, "retazo", "/v1/pickups", "banks", 7, False, "k1"
    )
    return msgspec.structs.replace(event, **changes)


ENTRY_EVENTS: tuple[AnyEvent, ...] = (
    build_received_event(),
    RequestAdmitted(300.0),
    RequestPlaced(
        AGENT,
        1,
        0.12,
        "least loaded of two",
        (ConsideredServer(AGENT, 0.25), ConsideredServer("agent-3", 0.75)),
    ),
    AttemptDispatched(AGENT, 1),
    FirstByteRelayed(AGENT, 1),
    RequestFinished("ran", 200, 1234, "whole"),
)
AGENT_EVENTS: tuple[AnyEvent, ...] = (
    AttemptForwarded(AGENT, 1),
    FirstByteRelayed(AGENT, 1),
    RequestFinished("ran", 200, 1234, "whole"),
)


def build_trace_events(
    request_id: str,
    process: str,
    process_events: tuple[AnyEvent, ...],
    *,
    started_at: float = START,
) -> tuple[TraceEvent, ...]:
    """Return trace events ten milliseconds apart."""
    return tuple(
        TraceEvent(request_id, started_at + index / 100, process, event)
        for index, event in enumerate(process_events)
    )


class MemoryPlatform:
    """Platform client in memory; every call fails while ``is_down``.

    ``calls`` lists the calls made. ``loses_next_confirmation`` makes the next write
    take effect and return an error.
    """

    def __init__(self, *names: str) -> None:
        self.objects: dict[str, VersionedValue] = {}
        self.is_down = False
        self.loses_next_confirmation = False
        self.calls: list[str] = []
        self.names = names

    def read(self, key: str) -> Result[VersionedValue | None, PlatformError]:
        return self._answer("read", self.objects.get(key))

    def create(self, key: str, value: bytes) -> Result[int, PlatformError]:
        if not self.is_down and key in self.objects:
            return Error(Conflict(key, self.objects[key].version))
        if not self.is_down:
            self.objects[key] = VersionedValue(key, 1, value)
        if self.loses_next_confirmation:
            self.loses_next_confirmation = False
            return Error(Unavailable("confirmation lost", sent=True))
        return self._answer("create", 1)

    def update(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, PlatformError]:
        return self._answer("update", version + 1)

    def delete(self, key: str, *, version: int) -> Result[None, PlatformError]:
        stored = self.objects.get(key)
        if not self.is_down and (stored is None or stored.version != version):
            return Error(Conflict(key, stored.version if stored else 0))
        if not self.is_down:
            del self.objects[key]
        return self._answer("delete", None)

    def keys(self, prefix: str) -> Result[tuple[str, ...], PlatformError]:
        found = sorted(key for key in self.objects if key.startswith(prefix))
        return self._answer("keys", tuple(found))

    def watch(
        self, key: str, *, after: int, timeout_s: float
    ) -> Result[VersionedValue | None, PlatformError]:
        return self._answer("watch", None)

    def instances(self) -> Result[tuple[Instance, ...], PlatformError]:
        listed = tuple(
            Instance(name, name.split("-")[0], "banks", "heredia", name, "", False)
            for name in self.names
        )
        return self._answer("instances", listed)

    def _answer(self, call: str, value: T) -> Result[T, PlatformError]:
        self.calls.append(call)
        if self.is_down:
            return Error(Unavailable("connection refused", sent=False))
        return Ok(value)


class MemoryQueryClient:
    """Query client that answers for live processes and records those queried."""

    def __init__(self, **recorder_by_process: TraceRecorder) -> None:
        self._recorders = {r.process: r for r in recorder_by_process.values()}
        self.queried_processes: list[str] = []

    def ask(
        self,
        address_by_process: Mapping[str, str],
        question: Message,
        answer: type[TraceReply],
    ) -> dict[str, TraceReply]:
        assert isinstance(question, TraceRequest)
        self.queried_processes.extend(address_by_process)
        return {
            process: self._recorders[process].build_reply(question.request_id)
            for process in address_by_process
            if process in self._recorders
        }
