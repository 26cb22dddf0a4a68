"""Streams at a server that falls silent, beside streams at the other servers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from tests.forwarding.callers import BackgroundRequest
from tests.forwarding.fleet import wait_until
from tests.standins.backend import Behaviour


if TYPE_CHECKING:
    from kingcupwheel.forwarding.daemon import ForwardingDaemon
    from tests.forwarding.fleet import Fleet
    from tests.standins.backend import ReceivedRequest

# A sound server may pause for this long and go on; longer than the silence after which
# another server is tried, shorter than the patience of a stream's caller.
PAUSE_S = 1.45
# The silence of a stream after which another server is tried.
SILENCE_TIMEOUT_S = 1.1
# Longer than any request in these tests.
FOR_GOOD_S = 30.0
EVENT_COUNT = 40
EVENT_INTERVAL_S = 0.05
# Enough for any test although a server that has just started gets few requests.
MANY_SLOTS = 40
REJECTING = Behaviour(rejects_requests=True)
# The other servers send data for longer than any silence in these tests takes.
_BUSY_STREAM = Behaviour(event_count=100, event_interval_s=EVENT_INTERVAL_S)


def stream_behaviour(**changes: Any) -> Behaviour:
    """Return the behaviour of a server of streams that name their request."""
    found = Behaviour(
        event_count=EVENT_COUNT, event_interval_s=EVENT_INTERVAL_S, echoes_id=True
    )
    return found._replace(**changes)


def stream_body(request_id: str, event_count: int = EVENT_COUNT) -> bytes:
    """Return the complete answer that ``stream_behaviour`` gives to a request."""
    return b"".join(
        f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
        for number in range(1, event_count + 1)
    )


class SilenceScenario:
    """Streams at one server, ``silent``, while others send data to other callers.

    The silent server turns new work away once the streams have begun, and so do the
    others until their behaviour is set.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        stream_count: int = 1,
        other_count: int = 2,
        other_slots: int = MANY_SLOTS,
        behaviour: Behaviour | None = None,
        grace_s: float = 8.0,
        retry_floor: float = 1000.0,
    ) -> None:
        self.silent = fleet.add_server("i-silent", Slots=MANY_SLOTS)
        self.silent.behaviour = behaviour or stream_behaviour()
        self.entry: ForwardingDaemon = fleet.add_entry(
            grace_s=grace_s, retry_floor=retry_floor
        )
        self.targets = [f"/stream/{number}" for number in range(stream_count)]
        self.began_at = time.monotonic()
        self._streams = [BackgroundRequest(fleet, target) for target in self.targets]
        wait_until(lambda: self.silent.run_count == stream_count)
        self.silent.behaviour = REJECTING
        # No room for the other streams.
        full = self.silent.build_store_entry("app", Slots=stream_count)
        fleet.store.put("servers", "i-silent", full)
        self.others = [
            fleet.add_server(f"i-{number}", Slots=other_slots)
            for number in range(other_count)
        ]
        self.set_others(_BUSY_STREAM)
        registry = self.entry._context.server_registry
        wait_until(lambda: len(registry.backends) == other_count + 1)
        for number in range(other_count):
            BackgroundRequest(fleet, f"/stream/busy-{number}")
        wait_until(
            lambda: sum(server.run_count for server in self.others) == other_count
        )
        self.set_others(REJECTING)
        self.silent_since = 0.0

    def fall_silent(self, seconds: float = PAUSE_S) -> None:
        """Let the silent server send nothing from now on for ``seconds``."""
        self.silent_since = time.monotonic()
        self.silent.fall_silent(seconds)

    def wait_for_end_of_silence(self) -> None:
        """Wait until the silent server goes on."""
        time.sleep(max(0.0, self.silent.silent_until - time.monotonic()))

    def set_others(self, behaviour: Behaviour) -> None:
        """Set how the other servers answer new requests."""
        for server in self.others:
            server.behaviour = behaviour

    def received_by_others(self, *targets: str) -> list[ReceivedRequest]:
        """Return the sends of these requests that other servers executed."""
        return [
            one
            for server in self.others
            for one in server.received_requests
            if one.ran and one.target in targets
        ]

    def resumed(self) -> list[ReceivedRequest]:
        """Return the sends of the streams that other servers executed."""
        return self.received_by_others(*self.targets)

    def disconnected_count(self) -> int:
        """Return how many callers left the other servers while these were waiting."""
        return sum(server.disconnected_callers for server in self.others)

    def check_whole(self) -> None:
        """Wait for the streams' answers; each has every event once and in order."""
        answers = [stream.join() for stream in self._streams]
        faulty = [
            f"{target}: {answer.status}, {answer.body.count(b'id: ')} of {EVENT_COUNT}"
            f" events, {'ended' if answer.is_complete else 'cut'}"
            for target, answer in zip(self.targets, answers, strict=True)
            if not answer.is_complete or answer.body != stream_body(target)
        ]
        assert not faulty, faulty
