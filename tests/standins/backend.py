"""Stand-in of a backend server on the users' platform, with injectable faults."""

from __future__ import annotations

import json
import socket
import struct
import time
from threading import Lock
from typing import Any
from typing import NamedTuple

from tests.standins.http_server import Handler
from tests.standins.http_server import HttpStandIn


class Behaviour(NamedTuple):
    """How a server answers requests.

    A ``status`` other than 200 is an error of the server itself. With
    ``rejects_requests`` it answers 503 without execution, and sends a Retry-After
    header if ``retry_after`` is not empty. ``is_leaving`` adds a leaving notice to
    every response, ``rate_limit`` a rate limit if it is not empty.
    ``closes_connection`` closes the connection once the request is read;
    ``resets_connection`` resets it. The response starts after ``delay_s``.

    Paths under ``/stream`` get ``event_count`` events. The connection is closed after
    ``truncate_after_events`` of them and half of the next one; a negative value turns
    this off.

    ``sends_wrong_id`` answers with another request's id, ``omits_signature`` and
    ``omits_length`` leave out the signature and the length of the response,
    ``sends_extra_response`` sends a second response, ``truncates_body`` sends half of
    the body. With ``head_ends_before`` the connection is closed inside the response's
    head, before the header of that name. ``echoes_id`` puts the request's id into the
    body. The server crashes ``crash_delay_s`` after it has begun to run a request whose
    target begins with ``crashed_by``. If the prompt of a request has the part
    ``crashed_by_part``, it crashes once it has written the head and
    ``events_before_crash`` events of the answer; with ``omits_framing`` streams have
    neither length nor chunks.
    """

    status: int = 200
    rejects_requests: bool = False
    retry_after: str = ""
    is_leaving: bool = False
    rate_limit: str = ""
    closes_connection: bool = False
    resets_connection: bool = False
    delay_s: float = 0.0
    event_count: int = 0
    event_interval_s: float = 0.0
    truncate_after_events: int = -1
    sends_wrong_id: bool = False
    omits_signature: bool = False
    sends_extra_response: bool = False
    omits_length: bool = False
    truncates_body: bool = False
    head_ends_before: str = ""
    echoes_id: bool = False
    crashed_by: str = ""
    crash_delay_s: float = 0.05
    crashed_by_part: str = ""
    events_before_crash: int = 0
    omits_framing: bool = False


class ReceivedRequest(NamedTuple):
    """A request as the server received it at ``arrived_at`` (monotonic seconds).

    ``ran`` tells whether it was executed.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool
    arrived_at: float = 0.0


def _notice_headers(behaviour: Behaviour) -> dict[str, str]:
    headers = {}
    if behaviour.retry_after:
        headers["Retry-After"] = behaviour.retry_after
    if behaviour.is_leaving:
        headers["Server-Leaving"] = "1"
    if behaviour.rate_limit:
        headers["Server-Limit"] = behaviour.rate_limit
    if behaviour.sends_wrong_id:
        headers["X-Attempt-Id"] = "another"
    return headers


class _Handler(Handler):
    stand_in: BackendStandIn
    _headers_buffer: list[bytes]

    def do_GET(self) -> None:  # noqa: N802
        self._handle_request(b"")

    def do_POST(self) -> None:  # noqa: N802
        self._handle_request(self.read_body())

    def _handle_request(self, body: bytes) -> None:
        server = self.stand_in
        behaviour = server.behaviour
        headers = {name.lower(): value for name, value in self.headers.items()}
        expected = headers.get("x-expect-instance", server.instance)
        ran = expected == server.instance and not behaviour.rejects_requests
        server.record_request(
            ReceivedRequest(
                self.command, self.path, headers, body, ran, time.monotonic()
            )
        )
        if expected != server.instance:
            misdirected = {
                "X-Instance-Id": server.instance,
                **_notice_headers(behaviour),
            }
            self.reply(421, b"", misdirected)
            return
        if behaviour.rejects_requests:
            self.reply(503, b"", {"X-Not-Executed": "1", **_notice_headers(behaviour)})
            return
        if behaviour.crashed_by and self.path.startswith(behaviour.crashed_by):
            time.sleep(behaviour.crash_delay_s)
            server.crash()
            return
        if behaviour.resets_connection:
            linger = struct.pack("ii", 1, 0)
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if behaviour.closes_connection or behaviour.resets_connection:
            self._close()
            return
        if behaviour.delay_s and self._wait_for_disconnect(behaviour.delay_s):
            return
        if self._wait_while_silent():
            return
        if behaviour.event_count and self.path.startswith("/stream"):
            prompt = headers.get("x-prompt-prefix", "")
            parts = {part.partition(":")[0] for part in prompt.split(",")}
            is_crashing = bool(parts & {behaviour.crashed_by_part} - {""})
            self._send_stream(behaviour, headers, is_crashing=is_crashing)
        else:
            self._send_response(behaviour, headers)

    def flush_headers(self) -> None:
        name = self.stand_in.behaviour.head_ends_before
        if name:
            head = b"".join(self._headers_buffer)
            self.wfile.write(head[: head.index(name.encode())])
            self._close()
            raise ConnectionError("closed inside the head")
        super().flush_headers()

    def _wait_for_disconnect(self, seconds: float) -> bool:
        """Return at once if the caller disconnects, with True."""
        deadline = time.monotonic() + seconds
        self.connection.settimeout(0.02)
        while time.monotonic() < deadline:
            try:
                is_closed = not self.connection.recv(1, socket.MSG_PEEK)
            except TimeoutError:
                continue
            except ConnectionResetError:
                is_closed = True
            if is_closed:
                self.stand_in.record_disconnected_caller()
                self._close()
                return True
        self.connection.settimeout(None)
        return False

    def _wait_while_silent(self) -> bool:
        """Wait for the end of a silence; return whether the caller disconnected."""
        while (left_s := self.stand_in.silent_until - time.monotonic()) > 0:
            if self._wait_for_disconnect(left_s):
                return True
        return False

    def _response_headers(
        self, behaviour: Behaviour, headers: dict[str, str]
    ) -> dict[str, str]:
        attempt = (
            "another" if behaviour.sends_wrong_id else headers.get("x-attempt-id", "")
        )
        head = {"X-Attempt-Id": attempt, "X-Server-Load": "1,0,4"}
        head.update(_notice_headers(behaviour))
        if not behaviour.omits_signature:
            head["X-Response-Signature"] = f"signed-by-{self.stand_in.instance}"
        return head

    def _send_response(self, behaviour: Behaviour, headers: dict[str, str]) -> None:
        head = self._response_headers(behaviour, headers)
        content = {"by": self.stand_in.instance}
        if behaviour.echoes_id:
            content["id"] = headers.get("x-attempt-id", "")
        body = json.dumps(content).encode()
        if behaviour.omits_length:
            self.close_connection = True
            self.send_response(behaviour.status)
            for name, value in head.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(body)
            return
        if behaviour.truncates_body:
            head["Content-Length"] = str(len(body))
            self.send_response(behaviour.status)
            for name, value in head.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(body[: len(body) // 2])
            self._close()
            return
        self.reply(behaviour.status, body, head)
        if behaviour.sends_extra_response:
            self.reply(behaviour.status, b"extra", head)

    def _send_stream(
        self,
        behaviour: Behaviour,
        headers: dict[str, str],
        *,
        is_crashing: bool = False,
    ) -> None:
        first = int(headers.get("last-event-id") or 0) + 1
        head = self._response_headers(behaviour, headers)
        self._start_stream(behaviour, {**head, "Content-Type": "text/event-stream"})
        for sent, number in enumerate(range(first, behaviour.event_count + 1)):
            piece = f"piece {number}"
            if behaviour.echoes_id:
                piece = f"{piece} of {headers.get('x-attempt-id', '')}"
            event = f"id: {number}\ndata: {piece}\n\n".encode()
            if self._wait_while_silent():
                return
            if is_crashing and sent == behaviour.events_before_crash:
                time.sleep(behaviour.crash_delay_s)
                self.stand_in.crash()
                return
            if sent == behaviour.truncate_after_events:
                self._send_piece(behaviour, event[: len(event) // 2])
                self._close()
                return
            self._send_piece(behaviour, event)
            time.sleep(behaviour.event_interval_s)
        self._send_piece(behaviour, b"")

    def _start_stream(self, behaviour: Behaviour, headers: dict[str, str]) -> None:
        if not behaviour.omits_framing:
            self.start_chunked_response(headers)
            return
        self.close_connection = True
        self.send_response(behaviour.status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()

    def _send_piece(self, behaviour: Behaviour, piece: bytes) -> None:
        if behaviour.omits_framing:
            self.wfile.write(piece)
            self.wfile.flush()
        else:
            self.send_chunk(piece)

    def _close(self) -> None:
        self.close_connection = True
        self.wfile.flush()
        self.connection.close()


class BackendStandIn(HttpStandIn):
    """One incarnation of a server, identified by ``instance``.

    ``disconnected_callers`` counts the callers that left while it sent nothing.
    """

    def __init__(self, instance: str, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(_Handler, host, port)
        self.instance = instance
        self.behaviour = Behaviour()
        self.disconnected_callers = 0
        self.silent_until = 0.0
        self.keeps_bodies = True
        self._received_requests: list[ReceivedRequest] = []
        self._lock = Lock()

    def fall_silent(self, seconds: float) -> None:
        """Pause all answers, those in progress too, then go on with them.

        Requests that it rejects are rejected at once all the same.
        """
        self.silent_until = time.monotonic() + seconds

    def record_disconnected_caller(self) -> None:
        with self._lock:
            self.disconnected_callers += 1

    def record_request(self, request: ReceivedRequest) -> None:
        if not self.keeps_bodies:
            request = request._replace(body=b"")
        with self._lock:
            self._received_requests.append(request)

    @property
    def received_requests(self) -> list[ReceivedRequest]:
        with self._lock:
            return list(self._received_requests)

    @property
    def run_count(self) -> int:
        return sum(request.ran for request in self.received_requests)

    def build_store_entry(self, service: str, **changes: Any) -> dict[str, Any]:
        """Return this server's entry in the object store."""
        entry = {
            "Service": service,
            "Address": self.address,
            "Zone": "dc-1",
            "Version": "v1",
            "Slots": 4,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Seq": 1,
        }
        return {**entry, **changes}
