"""How an agent talks to its backend server, whatever the server's protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Iterator

    from expression import Result

    from kingcupwheel.agent.adapters.cancellation import Cancellation
    from kingcupwheel.messages.attempts import Dispatch


class ServerUnreachable(NamedTuple):
    """No connection could be made: the server never saw the call.

    ``refused`` tells that its host answered and nothing listens there.
    """

    detail: str
    is_connection_refused: bool


class AnswerLost(NamedTuple):
    """The call went out and its answer did not come whole.

    ``died`` tells that the server process ended or restarted meanwhile.
    """

    detail: str
    has_server_died: bool


AdapterError = ServerUnreachable | AnswerLost


class ServerAnswer(Protocol):
    """An answer being read; closing it early cancels the work on the server."""

    @property
    def status(self) -> int:
        """The HTTP status."""

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers that a caller may see."""

    def chunks(self) -> Iterator[Result[bytes, AdapterError]]:
        """Yield the body; an ``Error`` is the last item of an answer cut short."""

    def close(self) -> None:
        """Release the connection, cancelling what still runs."""


class ServerState(NamedTuple):
    """The server's own report: its life, load and tokens per second.

    ``life`` changes when the server process restarts; empty if the server tells none.
    """

    is_up: bool
    incarnation: str
    running_count: int
    tokens_per_s: float


class ServerAdapter(Protocol):
    """A plug-in for one kind of backend server; safe from any thread."""

    def start(
        self, dispatch: Dispatch, cancellation: Cancellation
    ) -> Result[ServerAnswer, AdapterError]:
        """Send the request once; return when the answer's head is there.

        Setting ``cancellation`` ends the wait, here and in ``chunks``, with an error.
        """

    def state(self) -> ServerState:
        """Ask the server for its state."""
