"""A server of the soak that falls silent sends everything later, and nothing twice."""

from __future__ import annotations

import time
from threading import Timer
from typing import TYPE_CHECKING

import pytest

from tests.forwarding.fleet import free_ports
from tests.forwarding.fleet import send_request
from tests.forwarding.fleet import wait_until
from tests.soak.planned.servers import WORK_DURATION_HEADER
from tests.soak.planned.servers import RecordingServer
from tests.soak.planned.servers import RequestOutcome


if TYPE_CHECKING:
    from collections.abc import Iterator

HOST = "127.0.0.1"
SILENCE_S = 0.6
WORK_S = 0.24


@pytest.fixture
def server() -> Iterator[RecordingServer]:
    server = RecordingServer("i-1", 5, HOST, free_ports(1, HOST)[0])
    server.start()
    yield server
    server.shut_down()


@pytest.mark.parametrize("path", ["/stream/x", "/plain/x"])
def test_a_silent_server_accepts_requests_and_answers_them_after_its_silence(
    server: RecordingServer, path: str
) -> None:
    headers = {
        "X-Attempt-Id": "c1",
        "X-Expect-Instance": "i-1",
        WORK_DURATION_HEADER: f"{WORK_S * 1000:g}",
    }
    sent_at = time.monotonic()
    Timer(WORK_S / 2, server.fall_silent, (SILENCE_S,)).start()

    answer = send_request(server.address, path, "GET", headers, b"")

    (request,) = server.requests
    assert time.monotonic() - sent_at >= WORK_S / 2 + SILENCE_S
    assert answer.is_complete
    wait_until(lambda: request.outcome is RequestOutcome.ANSWERED)
    assert request.arrived_at < server.silent_until - SILENCE_S
    assert request.due_at >= server.silent_until
    if path.startswith("/stream"):
        pieces = [line for line in answer.body.splitlines() if b"piece" in line]
        assert pieces == [b"data: piece %d of c1" % number for number in range(1, 13)]
