from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from tests.forwarding.builders import API_KEY
from tests.forwarding.fleet import WAIT_TIMEOUT_S


if TYPE_CHECKING:
    from tests.forwarding.fleet import Fleet

HEAD = (
    "POST /once/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: a-{number}\r\n"
    f"Authorization: Bearer {API_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
)
BODY = b"04\r\nbody\r\n003\r\nend\r\n0\r\n\r\n"


def send_chunks(fleet: Fleet, number: int, chunks: bytes) -> bytes:
    """Send a request to the first entry and return the start of the answer.

    The caller ends its side of the connection unless all ``chunks`` are sent.
    """
    host, _, port = fleet.settings[0].http.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=WAIT_TIMEOUT_S) as caller:
        caller.sendall(HEAD.format(number=number).encode() + chunks)
        if chunks != BODY:
            caller.shutdown(socket.SHUT_WR)
        return caller.recv(1000)


def test_request_broken_off_in_its_chunks_runs_on_no_server(fleet: Fleet) -> None:
    """Guards against a run of half a request that may run only once."""
    server = fleet.add_server("i-1")
    fleet.add_entry()

    answers = [send_chunks(fleet, cut, BODY[:cut]) for cut in range(len(BODY) + 1)]

    assert [one.body for one in server.received_requests] == [b"bodyend"]
    assert {one.split()[1] for one in answers[:-1]} == {b"499"}
    assert answers[-1].split()[1] == b"200"
