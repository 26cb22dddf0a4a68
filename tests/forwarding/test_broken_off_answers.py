from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

import pytest

from kingcupwheel.forwarding.calls import Answered
from kingcupwheel.forwarding.calls import AnswerLost
from kingcupwheel.forwarding.calls import OutgoingRequest
from kingcupwheel.forwarding.calls import ServerClient
from kingcupwheel.forwarding.connection_pool import ConnectionPool
from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.watchdog import WatchedRequest
from tests.forwarding.builders import route
from tests.forwarding.builders import routes
from tests.standins.backend import Behaviour
from tests.standins.cut_answers import CutAnswerServer


if TYPE_CHECKING:
    from tests.forwarding.fleet import Fleet


BODY = b"event-1\n\nevent-2\n\n"
STATUS = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Response-Signature: s.1\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\nX-Interim: 1\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
CHUNKS = b"0009;part=1\r\n" + BODY[:9] + b"\r\n09\r\n" + BODY[9:] + b"\r\n"
HEAD_BY_FRAMING = {
    "length": STATUS + b"Content-Length: 18\r\n\r\n",
    "length-first": b"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n"
    + STATUS[17:]
    + b"\r\n",
    "empty": STATUS + b"Content-Length: 0\r\n\r\n",
    "chunked": STATUS + b"Transfer-Encoding: chunked\r\n\r\n",
    "chunked-with-trailers": STATUS + b"Transfer-Encoding: chunked\r\n\r\n",
    "until-close": STATUS + b"\r\n",
    "bare-line-feeds": STATUS.replace(b"\r", b"") + b"Content-Length: 18\n\n",
    "after-interim": INTERIM + STATUS + b"Content-Length: 18\r\n\r\n",
    "after-hints": HINTS + INTERIM + HINTS + STATUS + b"Content-Length: 18\r\n\r\n",
}
BODY_BY_FRAMING = {
    **dict.fromkeys(HEAD_BY_FRAMING, BODY),
    "empty": b"",
    "chunked": CHUNKS + b"0\r\n\r\n",
    "chunked-with-trailers": CHUNKS + b"000\r\nX-Sum: 1\r\n\r\n",
}


def read_answer(server: CutAnswerServer, raw: bytes) -> bytes | None:
    """Return the body that is taken for whole, None if the answer is lost."""
    server.answer = raw
    connections = ConnectionPool()
    result = ServerClient(connections).send(
        OutgoingRequest("POST", "/x", {}, b"body", "a-1"),
        instance="i-1",
        incarnation="i-1",
        address=server.address,
        watched=WatchedRequest(None, monotonic() + 10.0),
        silence_timeout_s=10.0,
        liveness=None,
        needs_new_connection=True,
        may_abort_silent=lambda: False,
        may_send=lambda: True,
    )
    if not isinstance(result, Answered):
        assert isinstance(result, AnswerLost), raw
        return None
    try:
        return result.answer.read_whole(1000)
    except AnswerLostError:
        return None
    finally:
        result.answer.end("i-1", connections)


@pytest.mark.parametrize("framing", HEAD_BY_FRAMING)
def test_answer_broken_off_at_any_byte_is_never_whole(framing: str) -> None:
    """Guards against a caller who gets a part of an answer as a complete success.

    Without a length or chunks the end of the connection ends the body, so such an
    answer is whole wherever its body ends.
    """
    head, body = HEAD_BY_FRAMING[framing], BODY_BY_FRAMING[framing]
    whole = head + body
    known_broken = len(head) if framing == "until-close" else len(whole)

    with CutAnswerServer() as server:
        taken_for_whole = [
            cut
            for cut in range(known_broken)
            if read_answer(server, whole[:cut]) is not None
        ]

    assert taken_for_whole == []


@pytest.mark.parametrize("framing", HEAD_BY_FRAMING)
def test_sound_answer_is_whole_in_each_framing(framing: str) -> None:
    with CutAnswerServer() as server:
        raw = HEAD_BY_FRAMING[framing] + BODY_BY_FRAMING[framing]
        body = read_answer(server, raw)

    assert body == (b"" if framing == "empty" else BODY)


@pytest.mark.parametrize(
    "framing",
    [
        b"no header\r\nContent-Length: 18\r\n",
        b"X-Space : 1\r\nContent-Length: 18\r\n",
        b"Content-Length: 1x8\r\n",
        b"Content-Length: -18\r\n",
        b"Content-Length: \r\n",
        b"Content-Length: 18\r\nContent-Length: 9\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    ],
)
def test_answer_whose_framing_is_unreadable_is_never_whole(framing: bytes) -> None:
    """Guards against a part of an answer that ends with the connection."""
    with CutAnswerServer() as server:
        assert read_answer(server, STATUS + framing + b"\r\n" + BODY[:9]) is None


def test_interim_heads_without_end_are_no_answer() -> None:
    """Guards against a thread that reads them for ever."""
    with CutAnswerServer() as server:
        whole = HEAD_BY_FRAMING["length"] + BODY
        assert read_answer(server, 16 * HINTS + whole) == BODY
        assert read_answer(server, 17 * HINTS + whole) is None


@pytest.mark.parametrize("length", [b"", b"Content-Length: 18\r\n"])
def test_rejection_broken_off_in_its_head_proves_nothing(length: bytes) -> None:
    """Guards against a second run of a request that an unfinished head denies."""
    head = b"HTTP/1.1 503 Busy\r\nX-Attempt-Id: a-1\r\nX-Not-Executed: 1\r\n" + length

    with CutAnswerServer() as server:
        assert read_answer(server, head) is None


# The stand-in states the framing last, so that the heads end with the signature.
BROKEN = Behaviour(head_ends_before="Content-Length")
BROKEN_STREAM = Behaviour(event_count=4, head_ends_before="Transfer-Encoding")


def count_lost(fleet: Fleet) -> float:
    """Return how many sends the first entry has recorded as lost."""
    registry = fleet.entries[0]._metrics.registry
    name = "kingcupwheel_sends_ended_total"
    return registry.get_sample_value(name, {"came": "lost"}) or 0.0


@pytest.mark.parametrize(
    ("target", "broken"), [("/plain/x", BROKEN), ("/stream/x", BROKEN_STREAM)]
)
def test_request_that_may_run_again_is_served_after_a_broken_off_head(
    fleet: Fleet, target: str, broken: Behaviour
) -> None:
    """Guards against an empty success where another server has the whole answer.

    The server that broke off gets fewer requests afterwards, as after other lost
    answers.
    """
    bad, good = fleet.add_server("i-bad"), fleet.add_server("i-good")
    bad.behaviour, good.behaviour = broken, Behaviour(event_count=4)
    fleet.add_entry()

    answers = [fleet.send(target, X_Deadline_Ms="8000") for _ in range(20)]

    assert {answer.status for answer in answers} == {200}
    assert {answer.headers["x-response-signature"] for answer in answers} == {
        "signed-by-i-good"
    }
    assert all(answer.is_complete and answer.body for answer in answers)
    assert 0 < bad.run_count < 10 < good.run_count
    assert count_lost(fleet) == bad.run_count


@pytest.mark.parametrize("kind", ["once", "stream-once"])
def test_request_that_may_run_once_is_unknown_after_a_broken_off_head(
    fleet: Fleet, kind: str
) -> None:
    """Guards against an empty receipt, and against a second run."""
    once = route(Name="stream-once", PathPrefix="/stream-once/", Kind="streaming")
    fleet.configure(2, Routes=[*routes(), once])
    bad = fleet.add_server("i-bad")
    bad.behaviour = BROKEN_STREAM if kind.startswith("stream") else BROKEN
    other = fleet.add_server("i-other")
    other.behaviour = bad.behaviour
    fleet.add_entry()

    answer = fleet.send(f"/{kind}/x")

    assert answer.status == 502
    assert bad.run_count + other.run_count == 1
    assert count_lost(fleet) == 1
