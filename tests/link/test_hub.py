from __future__ import annotations

import queue
from typing import TYPE_CHECKING

import pytest

from kingcupwheel.link.exceptions import CannotListenError
from kingcupwheel.link.hub import MessageHub
from kingcupwheel.link.links import Link
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.base import Message
from kingcupwheel.messages.traces import TraceReply
from kingcupwheel.messages.traces import TraceRequest


if TYPE_CHECKING:
    from collections.abc import Iterator


Received = queue.Queue[tuple[Link, Message]]
WAIT_S = 10


def start_hub() -> tuple[MessageHub, Received]:
    received: Received = queue.Queue()
    hub = MessageHub(
        listen="127.0.0.1:0",
        on_message=lambda link, message: received.put((link, message)),
        on_tick=lambda _: None,
    )
    hub.start()
    return hub, received


@pytest.fixture
def pair() -> Iterator[tuple[tuple[MessageHub, Received], tuple[MessageHub, Received]]]:
    first, second = start_hub(), start_hub()
    yield first, second
    first[0].stop()
    second[0].stop()


def test_a_reply_returns_on_the_link_of_the_request(
    pair: tuple[tuple[MessageHub, Received], tuple[MessageHub, Received]],
) -> None:
    (client, replies), (server, requests) = pair
    address = f"127.0.0.1:{server.port}"

    client.send(OutgoingLink(address, 0), TraceRequest("request"))
    link, request = requests.get(timeout=WAIT_S)
    server.send(link, TraceReply("request", "server", b"", True))

    assert request == TraceRequest("request")
    assert replies.get(timeout=WAIT_S)[1] == TraceReply("request", "server", b"", True)


def test_a_reconnected_link_has_a_new_generation(
    pair: tuple[tuple[MessageHub, Received], tuple[MessageHub, Received]],
) -> None:
    (client, replies), (server, requests) = pair
    address = f"127.0.0.1:{server.port}"
    client.send(OutgoingLink(address, 0), TraceRequest("first"))
    first_link = requests.get(timeout=WAIT_S)[0]

    client.reconnect(address)
    client.send(OutgoingLink(address, 0), TraceRequest("second"))
    second_link, _ = requests.get(timeout=WAIT_S)
    server.send(second_link, TraceReply("second", "server", b"", True))

    assert second_link != first_link
    assert replies.get(timeout=WAIT_S)[0] == OutgoingLink(address, 2)


def test_the_error_for_an_address_in_use_names_the_address() -> None:
    hub, _ = start_hub()
    try:
        with pytest.raises(CannotListenError, match=str(hub.port)):
            MessageHub(
                listen=f"127.0.0.1:{hub.port}",
                on_message=lambda *_: None,
                on_tick=lambda _: None,
            )
    finally:
        hub.stop()
