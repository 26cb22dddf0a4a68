from __future__ import annotations

import socket
import time
from threading import Thread
from typing import TYPE_CHECKING

import pytest
from freezegun import freeze_time

from kingcupwheel.agent.adapters.expectations import ContinueSupport
from kingcupwheel.agent.adapters.expectations import ContinueTracker
from kingcupwheel.agent.adapters.expectations import HeldBody
from kingcupwheel.agent.adapters.expectations import HoldTimeouts


if TYPE_CHECKING:
    from collections.abc import Iterator

BODY = b"body"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
FINAL = b"HTTP/1.1 503 Service Unavailable\r\n\r\n"


class HeldBodyHarness:
    def __init__(self) -> None:
        self.near, self.server = socket.socketpair()
        self.tracker = ContinueTracker()

    def hold(self) -> HeldBody:
        timeouts = HoldTimeouts(unasked_s=0.1, silence_s=0.5)
        return HeldBody(BODY, self.near, self.tracker, timeouts)

    def reply_later(self, *parts: bytes) -> None:
        def reply() -> None:
            for part in parts:
                time.sleep(0.03)
                self.server.sendall(part)

        Thread(target=reply, daemon=True).start()


@pytest.fixture
def harness() -> Iterator[HeldBodyHarness]:
    harness = HeldBodyHarness()
    yield harness
    harness.near.close()
    harness.server.close()


def test_body_is_sent_once_the_server_asks_for_it(harness: HeldBodyHarness) -> None:
    """Guards against a reply that is taken from the HTTP client, or read in part."""
    held = harness.hold()
    harness.reply_later(CONTINUE[:5], CONTINUE[5:])

    assert list(held) == [BODY]
    assert held.is_sent
    assert harness.tracker.support is ContinueSupport.HONOURED
    assert harness.near.recv(100) == CONTINUE


@pytest.mark.parametrize("is_honoured", [False, True])
def test_body_is_not_sent_on_a_connection_that_was_closed(
    harness: HeldBodyHarness, is_honoured: bool
) -> None:
    """Guards against a request that may run though its connection has failed."""
    if is_honoured:
        harness.tracker.record_continue()
    held = harness.hold()
    harness.server.close()

    with pytest.raises(ConnectionError):
        list(held)

    assert not held.is_sent
    assert held.is_known_incomplete is is_honoured


def test_body_is_not_sent_after_a_final_answer(harness: HeldBodyHarness) -> None:
    """Guards against a body that the server takes for the next request.

    A server that answers may have run the request by its headers.
    """
    harness.tracker.record_continue()
    held = harness.hold()
    harness.reply_later(FINAL)

    assert list(held) == []
    assert not held.is_sent
    assert not held.is_known_incomplete
    assert harness.near.recv(100) == FINAL


def test_answer_that_is_cut_in_its_first_line_is_no_proof(
    harness: HeldBodyHarness,
) -> None:
    """Guards against not-run after a cut answer, and against a wait for its rest."""
    harness.tracker.record_continue()
    held = harness.hold()
    harness.server.sendall(FINAL[:5])
    harness.server.close()

    with pytest.raises(ConnectionError):
        list(held)

    assert not held.is_known_incomplete


def test_body_is_sent_after_another_interim_reply(harness: HeldBodyHarness) -> None:
    """Guards against an interim reply that is taken for the answer."""
    held = harness.hold()
    harness.reply_later(b"HTTP/1.1 103 Early Hints\r\n\r\n")

    assert list(held) == [BODY]
    assert harness.tracker.support is ContinueSupport.UNKNOWN


def test_server_that_ignored_the_expectation_is_tried_again() -> None:
    """Guards against one slow reply that ends the holding of bodies for good."""
    with freeze_time() as clock:
        tracker = ContinueTracker()
        tracker.record_early_answer()
        at_first = tracker.support
        clock.tick(61.0)

        assert at_first is ContinueSupport.IGNORED
        assert tracker.support is ContinueSupport.UNKNOWN


def test_refused_expectation_outweighs_an_honoured_one() -> None:
    """Guards against refusing all requests of a server that was replaced."""
    tracker = ContinueTracker()
    tracker.record_continue()
    tracker.record_refused()

    assert tracker.support is ContinueSupport.IGNORED


@pytest.mark.parametrize(
    ("reply", "support"),
    [(CONTINUE, ContinueSupport.HONOURED), (FINAL, ContinueSupport.IGNORED)],
)
def test_server_of_unknown_support_gets_the_body_after_the_timeout(
    harness: HeldBodyHarness, reply: bytes, support: ContinueSupport
) -> None:
    """Guards against waiting forever for a server that ignores the expectation."""
    body = iter(harness.hold())

    assert next(body) == BODY
    harness.server.sendall(reply)

    assert list(body) == []
    assert harness.tracker.support is support


def test_body_is_held_from_a_silent_server_that_honoured_the_expectation(
    harness: HeldBodyHarness,
) -> None:
    """Guards against a lost proof, and against a server that no longer replies.

    The body is kept back on the silent connection, and the next one is sent after the
    timeout.
    """
    harness.tracker.record_continue()
    held = harness.hold()

    with pytest.raises(TimeoutError):
        list(held)

    assert not held.is_sent
    assert harness.tracker.support is ContinueSupport.UNKNOWN


def test_busy_server_that_is_known_to_wait_has_the_silence_timeout(
    harness: HeldBodyHarness,
) -> None:
    """Guards against a request that loses its place in a server's queue."""
    harness.tracker.record_continue()
    held = harness.hold()
    harness.reply_later(b"", b"", b"", b"", b"", CONTINUE)

    assert list(held) == [BODY]


def test_one_early_answer_does_not_outweigh_an_honoured_expectation() -> None:
    """Guards against bodies that are no longer held after a single rejection."""
    tracker = ContinueTracker()
    tracker.record_continue()
    tracker.record_early_answer()

    assert tracker.support is ContinueSupport.HONOURED
