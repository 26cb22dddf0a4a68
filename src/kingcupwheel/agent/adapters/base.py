"""Interface between an agent and its backend server, for any server protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from expression import Result

    from kingcupwheel.agent.adapters.cancellation import Cancellation
    from kingcupwheel.messages.attempts import Dispatch


class ServerUnreachable(NamedTuple):
    """The connection failed: the server never received the whole request.

    ``is_connection_refused`` is True if the host replied that nothing listens there.
    """

    detail: str
    is_connection_refused: bool


class AnswerLost(NamedTuple):
    """The request was sent and its answer is missing or truncated.

    ``has_server_crashed`` is True if the server process has exited or restarted since.
    """

    detail: str
    has_server_crashed: bool


AdapterError = ServerUnreachable | AnswerLost


class ServerAnswer(Protocol):
    """Answer that is being read; closing it early cancels the work on the server."""

    @property
    def status(self) -> int:
        """The HTTP status."""

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers that are passed on to the caller."""

    def chunks(self) -> Iterator[Result[bytes, AdapterError]]:
        """Yield the body; an ``Error`` is the last item of a truncated answer."""

    def close(self) -> None:
        """Release the connection, and cancel the request if it still runs."""


class ServerState(NamedTuple):
    """State reported by the server: incarnation, load and tokens per second.

    ``incarnation`` changes when the server process restarts; it is empty if the server
    reports none.
    """

    is_up: bool
    incarnation: str
    running_count: int
    tokens_per_s: float


class ServerAdapter(Protocol):
    """Plug-in for one kind of backend server; safe from any thread."""

    def start(
        self,
        dispatch: Dispatch,
        cancellation: Cancellation,
        on_resend: Callable[[str], None],
    ) -> Result[ServerAnswer, AdapterError]:
        """Send the request; return when the answer's head has arrived.

        A request that must not be repeated is sent again only while it can't have run.
        ``on_resend`` is called with the reason before each further send. Setting
        ``cancellation`` ends the wait, here and in ``chunks``, with an error.
        """

    def state(self) -> ServerState:
        """Query the server's state."""
