"""Requests that crash their servers are stopped; those that ran beside them are not."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from kingcupwheel.decisions.crash_suspects import QUARANTINES_S
from kingcupwheel.decisions.crash_suspects import TRIAL_SPREAD_S
from kingcupwheel.decisions.crashed_runs import CrashedRun
from kingcupwheel.decisions.suspicion_status import Quarantined
from kingcupwheel.forwarding.requests import request_fingerprint
from kingcupwheel.forwarding.suspect_admission import RETURN_SPREAD_S
from tests.forwarding.crashes import CrashingService
from tests.forwarding.crashes import RestartTimes
from tests.forwarding.fleet import wait_until
from tests.standins.backend import Behaviour


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.forwarding.daemon import ForwardingDaemon
    from tests.forwarding.fleet import CallerResponse
    from tests.forwarding.fleet import Fleet

# The users' rule: at most so many sends later than so long after the third end.
MAX_LATE_ARRIVALS = 3
STABLE_WINDOW_S = 3.0
# Two by the first send of a repeatable request, one by the next, and one in between.
MAX_ENDED_SERVERS = 4
ENTRIES = 3
RESENDS = 16
RESEND_INTERVAL_S = 0.6
TIMES = [
    RestartTimes(removal_s=0.2, restart_s=1.0),
    RestartTimes(removal_s=3.6, restart_s=5.0),
]


def resend(fleet: Fleet, target: str) -> list[CallerResponse]:
    """Send the same request at the entries in turn, each time with a new id."""
    responses = []
    for number in range(RESENDS):
        responses.append(
            fleet.send(
                target, entry=number % ENTRIES, X_Attempt_Id=f"{target}-{number}"
            )
        )
        time.sleep(RESEND_INTERVAL_S)
    return responses


@pytest.mark.parametrize("times", TIMES, ids=lambda one: f"{one.removal_s}-s")
@pytest.mark.parametrize("target", ["/plain/bad", "/once/bad", "/stream/bad"])
def test_a_request_that_crashes_its_servers_is_stopped(
    fleet: Fleet, target: str, times: RestartTimes
) -> None:
    """A request without a body is not recognised and crashes server after server.

    Its caller sends it again and again, at all entries in turn. The others' requests of
    the same service are answered meanwhile.
    """
    service = CrashingService(fleet, Behaviour(crashed_by=target), times)
    for number in range(ENTRIES):
        fleet.add_entry(f"entry-{number}")

    responses = resend(fleet, target)
    service.stop()

    assert len(service.ended_at) >= 2, "the request crashed servers"
    assert len(service.ended_at) <= MAX_ENDED_SERVERS
    assert len(service.late_arrivals(target, STABLE_WINDOW_S)) <= MAX_LATE_ARRIVALS
    assert responses[-1].status == 503
    assert float(responses[-1].headers["retry-after"]) > 0
    assert fleet.send("/plain/other").status == 200


ROUND_S = 1.0
CALLERS = 9


def call_in_rounds(
    fleet: Fleet, target: str, rounds: int, on_round: Callable[[int], None]
) -> list[list[CallerResponse]]:
    """Send one request by all callers at once each second; return answers by round."""
    answers = []
    with ThreadPoolExecutor(CALLERS) as pool:
        for number in range(rounds):
            ends_at = time.monotonic() + ROUND_S
            sent = [
                pool.submit(
                    fleet.send,
                    target,
                    entry=caller % ENTRIES,
                    X_Attempt_Id=f"{target}-{number}-{caller}",
                )
                for caller in range(CALLERS)
            ]
            on_round(number)
            answers.append([one.result() for one in sent])
            time.sleep(max(0.0, ends_at - time.monotonic()))
    return answers


@pytest.mark.parametrize("removal_s", [0.7, 3.7])
@pytest.mark.parametrize("target", ["/plain/popular", "/stream/popular"])
def test_a_popular_request_is_served_after_servers_lost_power_together(
    fleet: Fleet, target: str, removal_s: float
) -> None:
    """A request that many callers repeat is blamed for a power loss and never runs.

    It runs on all six servers as three of them end at the same moment. Once refused, it
    can't show its innocence by an answer.
    """
    behaviour = Behaviour(delay_s=0.25, event_count=3)
    times = RestartTimes(removal_s, restart_s=60.0)
    service = CrashingService(fleet, behaviour, times)
    for number in range(ENTRIES):
        fleet.add_entry(f"entry-{number}")
    loses_power_in = 1

    def lose_power(number: int) -> None:
        if number == loses_power_in:
            time.sleep(0.1)
            for server in service.servers[:3]:
                server.crash()

    rounds = call_in_rounds(fleet, target, 8, lose_power)
    service.stop()

    assert len(service.ended_at) == 3
    afterwards = [one for answers in rounds[loses_power_in + 1 :] for one in answers]
    refused = [one for one in afterwards if b"died while" in one.body]
    served = [one for one in afterwards if one.status == 200 and one.is_complete]
    assert not refused
    assert len(served) >= 0.95 * len(afterwards)


def quarantine(entry: ForwardingDaemon, fingerprint: str, ago_s: float) -> None:
    """Let an entry know of two separate crashes, the last one ``ago_s`` ago."""
    ended_at = time.monotonic() - ago_s
    for number, end in enumerate((ended_at - 1.0, ended_at)):
        run = CrashedRun(number, end - 0.05, end)
        entry._context.crash_evidence._suspects.record_crash(fingerprint, run, end)


def test_a_started_entry_learns_of_crashes_long_past(fleet: Fleet) -> None:
    """An entry restarts, knows nothing, and lets the request crash its servers again.

    The others reported the crashes when they happened and report only what is new.
    """
    server = fleet.add_server("i-1")
    first = fleet.add_entry("entry-1")
    fingerprint = request_fingerprint("org", "host.example", "GET", "/plain/bad", b"")
    quarantine(first, fingerprint, ago_s=20.0)

    second = fleet.add_entry("entry-2")
    wait_until(
        lambda: isinstance(
            second._context.crash_evidence.get_status([fingerprint]), Quarantined
        )
    )

    answer = fleet.send("/plain/bad", entry=1)
    assert answer.status == 503
    assert b"died while" in answer.body
    retry_after_s = float(answer.headers["retry-after"])
    longest_s = QUARANTINES_S[0] - 20.0 + TRIAL_SPREAD_S + RETURN_SPREAD_S
    assert QUARANTINES_S[0] - 21.0 < retry_after_s <= longest_s
    assert not server.received_requests


@pytest.mark.parametrize(
    "changes",
    [{"organisation": "other"}, {"host": "b.example"}, {"method": "POST"}],
    ids=lambda one: next(iter(one)),
)
def test_requests_without_a_body_are_told_apart(changes: dict[str, str]) -> None:
    """An innocent request is refused since another one of the same path crashes."""
    found = {"organisation": "org", "host": "a.example", "method": "GET"}

    fingerprints = {
        request_fingerprint(**one, target="/status", body=b"")
        for one in (found, {**found, **changes})
    }

    assert len(fingerprints) == 2
    assert "" not in fingerprints


def test_refused_connections_use_up_no_budget(fleet: Fleet) -> None:
    """Callers are refused for want of budget while a new server is idle.

    Servers that a request has crashed stay listed for seconds and refuse connections.
    """
    for number in range(3):
        fleet.add_server(f"i-{number}")
    fleet.add_entry(retry_floor=0.0)
    for server in fleet.servers:
        server.crash()
    fleet.add_server("i-new")
    wait_until(lambda: len(fleet.entries[0]._context.server_registry.backends) == 4)

    answers = [fleet.send(f"/once/{number}") for number in range(12)]

    assert [answer.status for answer in answers] == [200] * 12


REPEATED_S = 7.0
# From the power loss on, until the last of the dead servers has left the list.
SETTLED_AFTER_S = 2.0


@pytest.mark.parametrize("target", ["/plain/popular", "/stream/popular"])
def test_a_request_repeated_without_a_pause_is_served_after_a_power_loss(
    fleet: Fleet, target: str
) -> None:
    """A request that callers repeat at once is held for good after a power loss.

    Its runs on the dead servers are known late, after runs that have completed since,
    and each makes it a suspect again.
    """
    behaviour = Behaviour(delay_s=0.25, event_count=3)
    service = CrashingService(fleet, behaviour, RestartTimes(0.3, 60.0))
    for number in range(ENTRIES):
        fleet.add_entry(f"entry-{number}")
    ends_at = time.monotonic() + REPEATED_S

    def repeat(caller: int) -> list[tuple[float, CallerResponse]]:
        answers = []
        while time.monotonic() < ends_at:
            sent_at = time.monotonic()
            name = f"{caller}-{sent_at}"
            answer = fleet.send(
                target, entry=caller % ENTRIES, X_Attempt_Id=name, X_Deadline_Ms="8000"
            )
            answers.append((sent_at, answer))
        return answers

    with ThreadPoolExecutor(CALLERS) as pool:
        pending = [pool.submit(repeat, caller) for caller in range(CALLERS)]
        time.sleep(1.1)
        for server in service.servers[:3]:
            server.crash()
        settled_at = time.monotonic() + SETTLED_AFTER_S
        answers = [one for caller in pending for one in caller.result()]
    service.stop()

    afterwards = [answer for sent_at, answer in answers if sent_at > settled_at]
    served = [one for one in afterwards if one.status == 200 and one.is_complete]
    assert len(afterwards) >= CALLERS
    assert len(served) >= 0.95 * len(afterwards)
