"""Prompt parts that crash servers are stopped; requests with the others are served."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from threading import Thread
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest

from kingcupwheel.decisions.crash_causes import PART_QUARANTINES_S
from kingcupwheel.forwarding.requests import compute_part_keys
from tests.forwarding.crashes import CrashingService
from tests.forwarding.crashes import RestartTimes
from tests.forwarding.fleet import wait_until
from tests.forwarding.test_crashing_requests import quarantine
from tests.standins.backend import Behaviour


if TYPE_CHECKING:
    from tests.forwarding.fleet import CallerResponse
    from tests.forwarding.fleet import Fleet

# The users' rules: at most so many sends later than so long after the fifth end, and
# sound requests begin as often as before from twice that time on.
MAX_LATE_ARRIVALS = 3
CRASHES = 5
STABLE_WINDOW_S = 3.0
ENTRIES = 3
SERVERS = 12
SLOTS = 4
REQUESTS = 26
REQUEST_INTERVAL_S = 0.6
SOUND_INTERVAL_S = 0.2
FAST = RestartTimes(removal_s=0.2, restart_s=1.0)
SLOW = RestartTimes(removal_s=3.6, restart_s=5.0)
BAD, FIRST, MIDDLE = "bad0", "f125", "a1dd"


class SoundAnswer(NamedTuple):
    """Answer to a sound request that was sent at ``sent_at`` (monotonic seconds)."""

    sent_at: float
    response: CallerResponse


def send_prompt(
    fleet: Fleet, number: int, *parts: str, name: str = "r"
) -> CallerResponse:
    """Send a stream request unlike any other, with these shared parts."""
    prompt = ",".join(f"{part}:100" for part in (*parts, f"{number:06x}"))
    return fleet.send(
        f"/stream/{name}-{number}",
        entry=number % ENTRIES,
        X_Attempt_Id=f"{name}-{number}",
        X_Prompt_Prefix=prompt,
        X_Deadline_Ms="8000",
    )


class SoundCallers:
    """Sends sound requests with the other parts at a constant rate until stopped."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._is_over = False
        self.answers: list[SoundAnswer] = []
        self._pool = ThreadPoolExecutor(24)
        self._thread = Thread(target=self._run)

    def __enter__(self) -> SoundCallers:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_over = True
        self._thread.join()
        self._pool.shutdown()

    def _run(self) -> None:
        number = 1000
        while not self._is_over:
            self._pool.submit(self._send, number)
            number += 1
            time.sleep(SOUND_INTERVAL_S)

    def _send(self, number: int) -> None:
        sent_at = time.monotonic()
        response = send_prompt(self._fleet, number, FIRST, MIDDLE, name="sound")
        self.answers.append(SoundAnswer(sent_at, response))


def send_bad_requests(
    fleet: Fleet, parts: tuple[str, ...], first: int = 0
) -> list[CallerResponse]:
    """Send requests that share a part, one after the other at the entries in turn."""
    with ThreadPoolExecutor(REQUESTS) as pool:
        pending = []
        for number in range(first, first + REQUESTS):
            pending.append(pool.submit(send_prompt, fleet, number, *parts, name="bad"))
            time.sleep(REQUEST_INTERVAL_S)
        return [one.result() for one in pending]


@pytest.mark.parametrize("times", [FAST, SLOW], ids=["fast", "slow"])
@pytest.mark.parametrize(
    ("events", "omits_framing"),
    [(0, False), (1, False), (1, True)],
    ids=["head", "event", "event-unframed"],
)
@pytest.mark.parametrize(
    "parts", [(BAD, FIRST, MIDDLE), (FIRST, BAD)], ids=["first", "middle"]
)
def test_a_prompt_part_that_crashes_servers_is_stopped(
    fleet: Fleet,
    parts: tuple[str, ...],
    events: int,
    omits_framing: bool,  # noqa: FBT001
    times: RestartTimes,
) -> None:
    """No two requests are alike, so each crashes servers as if it were the first.

    A server that gets the part writes the head of its answer, or an event too, and
    crashes. Sound requests with the same key and the other parts go on meanwhile.
    """
    behaviour = Behaviour(
        event_count=4,
        event_interval_s=0.05,
        crashed_by_part=BAD,
        events_before_crash=events,
        omits_framing=omits_framing,
    )
    service = CrashingService(fleet, behaviour, times, size=SERVERS)
    for number in range(ENTRIES):
        fleet.add_entry(f"entry-{number}")

    with SoundCallers(fleet) as sound:
        time.sleep(2.0)
        bad_from = time.monotonic()
        answers = send_bad_requests(fleet, parts)
    service.stop()

    ended_at = sorted(service.ended_at)
    assert len(ended_at) >= 2, "the part crashed servers"
    reference = ended_at[min(CRASHES, len(ended_at)) - 1]
    late = [
        one
        for one in service.arrivals_with_part(BAD)
        if one.arrived_at > reference + STABLE_WINDOW_S
    ]
    assert len(late) <= MAX_LATE_ARRIVALS
    assert answers[-1].status == 503
    assert float(answers[-1].headers["retry-after"]) > 0
    begun = [one for one in sound.answers if one.response.status == 200]
    before = [one for one in begun if one.sent_at < bad_from]
    assert len(before) >= 5
    later = [
        one for one in sound.answers if one.sent_at > reference + 2 * STABLE_WINDOW_S
    ]
    later_begun = [one for one in later if one.response.status == 200]
    assert len(later_begun) >= 0.5 * len(later)


def test_a_request_that_waits_is_refused_once_its_part_is_known(fleet: Fleet) -> None:
    """Requests wait in the queue while a group is down, and crash it when it is back.

    They were admitted before anything was known of their part.
    """
    server = fleet.add_server("i-1")
    server.behaviour = Behaviour(delay_s=2.0, event_count=1)
    entry = fleet.add_entry()
    (key,) = compute_part_keys("app", "", (BAD,))
    with ThreadPoolExecutor(10) as pool:
        running = [pool.submit(fleet.send, f"/stream/{n}") for n in range(SLOTS + 2)]
        wait_until(lambda: len(server.received_requests) >= SLOTS)
        time.sleep(0.2)
        waiting = pool.submit(send_prompt, fleet, 0, BAD)
        time.sleep(0.3)
        assert not waiting.done(), "no place is free"
        known_at = time.monotonic()
        quarantine(entry, key, ago_s=0.0)
        answer = waiting.result()
        refused_after_s = time.monotonic() - known_at
        for one in running:
            one.result()

    assert answer.status == 503
    assert b'"quarantined"' in answer.body
    assert float(answer.headers["retry-after"]) > 0
    assert refused_after_s < 0.5
    assert not [
        one for one in server.received_requests if "x-prompt-prefix" in one.headers
    ]


def test_a_stream_is_not_resumed_before_its_servers_end_is_known(fleet: Fleet) -> None:
    """A request crashes a second server two milliseconds after the first.

    Its stream had begun, and was resumed at once where the connection was cut.
    """
    for number in range(4):
        server = fleet.add_server(f"i-{number}")
        server.behaviour = Behaviour(
            event_count=4, crashed_by_part=BAD, events_before_crash=1
        )
    entry = fleet.add_entry()
    ended: list[float] = []
    record = entry._context.crash_evidence.record_server_end

    def record_end(incarnation: str, *, cause: str) -> None:
        ended.append(time.monotonic())
        record(incarnation, cause=cause)

    entry._crash_prober._on_refused = lambda incarnation: record_end(
        incarnation, cause="refused"
    )

    send_prompt(fleet, 0, BAD)

    arrived = sorted(
        one.arrived_at for server in fleet.servers for one in server.received_requests
    )
    assert len(arrived) <= 2
    assert ended
    assert all(at > ended[0] for at in arrived[1:])


def test_a_quarantined_part_is_shown_as_a_metric(fleet: Fleet) -> None:
    """Nobody can tell which part is refused, and for how long."""
    fleet.add_server("i-1")
    entry = fleet.add_entry()
    (key,) = compute_part_keys("app", "", (BAD,))
    quarantine(entry, key, ago_s=5.0)

    entry._refresh_metrics()

    registry = entry._metrics.registry
    shown = registry.get_sample_value("kingcupwheel_quarantine_seconds", {"key": key})
    assert shown is not None
    assert 0 < shown < PART_QUARANTINES_S[0]
    assert key.startswith(f"part-{BAD}")
