from __future__ import annotations

import socket
from contextlib import suppress
from threading import Thread

from kingcupwheel.agent.adapters.base import AnswerLost
from kingcupwheel.agent.adapters.base import ServerUnreachable
from kingcupwheel.agent.adapters.cancellation import Cancellation
from kingcupwheel.agent.adapters.handover import AnswerMissing
from kingcupwheel.agent.adapters.handover import Handover
from kingcupwheel.agent.adapters.request_sender import RequestSender
from kingcupwheel.settings.schema import ServerSettings
from tests.agent.builders import build_dispatch


# The bound on time is over by then.
MIN_RESENDS = 4


def send_to_closed_port(handover: Handover) -> object:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    server = ServerSettings(url=f"http://127.0.0.1:{port}")
    sender = RequestSender(server, holds_bodies=True)
    sent = sender.send(
        build_dispatch(),
        "run",
        handover,
        Cancellation(),
        silence_s=1.0,
        on_resend=lambda _: None,
    )
    return sent.error


def test_request_that_was_never_sent_is_refused_if_the_server_is_down() -> None:
    """Guards against an unknown outcome for a request that never left the agent."""
    failure = send_to_closed_port(Handover(is_repeatable=True))

    assert isinstance(failure, ServerUnreachable)


def test_server_that_is_down_at_a_later_send_does_not_make_the_request_not_run() -> (
    None
):
    """Guards against a false not-run after a send that may have run.

    The engine did not have the request and is down when it is sent again. It may have
    died of a copy that it read late.
    """
    handover = Handover(is_repeatable=True)
    handover.handle_failure(AnswerMissing("closed", is_silent=False), is_over=False)

    failure = send_to_closed_port(handover)

    assert isinstance(failure, AnswerLost)
    assert failure.has_server_crashed


def test_server_that_closes_every_connection_is_given_up() -> None:
    """Guards against a request that is sent again for ever."""
    reasons: list[str] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        Thread(target=close_connections, args=(listener,), daemon=True).start()
        port = listener.getsockname()[1]
        server = ServerSettings(url=f"http://127.0.0.1:{port}", connect_s=0.1)
        sent = RequestSender(server, holds_bodies=True).send(
            build_dispatch(),
            "run",
            Handover(is_repeatable=True),
            Cancellation(),
            silence_s=1.0,
            on_resend=reasons.append,
        )

    assert isinstance(sent.error, ServerUnreachable | AnswerMissing)
    assert len(reasons) == MIN_RESENDS


def close_connections(listener: socket.socket) -> None:
    with suppress(OSError):
        while True:
            listener.accept()[0].close()
