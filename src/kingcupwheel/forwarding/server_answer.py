"""The answer of a server to one request, and how it is read."""

from __future__ import annotations

import http.client
from time import monotonic
from typing import TYPE_CHECKING

import urllib3

from kingcupwheel.forwarding.answer_memory import AnswerMemoryError
from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.watchdog import AbortReason
from kingcupwheel.utils.response_limits import ResponseLimit
from kingcupwheel.utils.response_limits import describe_error
from kingcupwheel.utils.response_limits import find_exceeded_limit


if TYPE_CHECKING:
    from collections.abc import Callable

    from urllib3 import BaseHTTPResponse

    from kingcupwheel.forwarding.answer_memory import MemoryShare
    from kingcupwheel.forwarding.answer_memory import RequestMemory
    from kingcupwheel.forwarding.connection_pool import ConnectionPool
    from kingcupwheel.forwarding.http_metadata import AnswerHead
    from kingcupwheel.forwarding.watchdog import WatchedRequest
    from kingcupwheel.utils.server_connection import ServerConnection

# An event of a stream has a few hundred bytes, so one read takes many.
_READ_BYTES = 65_536

CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)


class ServerAnswer:
    """An answer whose head has been read; not thread-safe."""

    def __init__(
        self,
        head: AnswerHead,
        response: BaseHTTPResponse,
        connection: ServerConnection,
        watched: WatchedRequest,
        memory: MemoryShare,
    ) -> None:
        self.head = head
        self._response = response
        self._connection = connection
        self._watched = watched
        self._memory = memory
        memory.on_eviction = self._abort_evicted
        self.is_whole = False
        # Called when a part of the answer is complete.
        self.on_progress: Callable[[], None] = lambda: None
        # Called before a part is used; tells whether this answer is the one to use.
        self.may_use: Callable[[], bool] = lambda: True

    def read(self) -> bytes:
        """Return the next bytes, empty at the end of the complete answer.

        Raises AnswerLostError if the rest can't be read, also if the request was
        aborted: reading from a connection that this process has shut down ends without
        an error, and an answer without a length would seem complete. Data that had
        arrived before is not read either, as it may take seconds in small chunks.
        """
        self._watched.begin_read()
        try:
            data = self._response.read1(_READ_BYTES)
        except CONNECTION_ERRORS as error:
            raise self._build_loss(error) from error
        finally:
            self._watched.end_read()
        if self._watched.abort_reason is not None:
            raise self._build_loss(None)
        self.is_whole = not data
        return data

    def discard(self) -> None:
        """Close the connection of an answer that is not read."""
        self._memory.close()
        self._watched.detach()
        self._response.close()
        self._connection.close()

    def use_part(self) -> None:
        """Record that a part of the answer is complete and will be used.

        Raises AnswerLostError if the answer of another server is used instead.
        """
        if not self.may_use():
            self.is_whole = False
            raise AnswerLostError(AbortReason.SUPERSEDED.value)
        self._watched.record_progress()
        self.on_progress()

    def hold(self, size_bytes: int) -> None:
        """Take memory for the data that is buffered; raises AnswerLostError."""
        try:
            self._memory.resize(size_bytes)
        except AnswerMemoryError as error:
            raise self._build_loss(error) from error

    def watch_with(
        self,
        watched: WatchedRequest,
        silence_timeout_s: float,
        instance: str,
        may_abort_silent: Callable[[], bool],
    ) -> None:
        """Let another watched request abort the reads; the earlier one is detached.

        An answer that ends with its connection no longer has the connection's socket,
        so the socket is taken over from the earlier one.
        """
        earlier, self._watched = self._watched, watched
        is_aborted = earlier.abort_reason is not None
        sock = earlier.detach()
        if (
            sock is None
            or not watched.attach(
                sock,
                silence_timeout_s,
                instance,
                may_abort_silent,
                self._connection.read_control,
            )
            or is_aborted
        ):
            watched.reset_server()
        watched.end_head()

    def read_whole(self, limit: int, kept_by: RequestMemory | None = None) -> bytes:
        """Return the whole body; raises AnswerLostError, also above ``limit`` bytes.

        Its memory is released with the answer, or else by ``kept_by``.
        """
        body = bytearray()
        began_at = monotonic()
        while data := self.read():
            body += data
            if len(body) > limit:
                raise limit_exceeded(ResponseLimit.BODY, limit)
            self.hold(len(body))
            if self._is_on_schedule(len(body), limit, monotonic() - began_at):
                self._watched.record_progress()
        self.use_part()
        if kept_by is not None:
            kept_by.keep(self._memory)
        return bytes(body)

    def _is_on_schedule(self, received: int, limit: int, elapsed_s: float) -> bool:
        """Return whether a body of known length will be complete before the deadline.

        A body without a length may have no end, however fast its bytes come.
        """
        length = self.head.length
        if length is None or length > limit:
            return False
        left_s = self._watched.deadline_at - monotonic()
        return (length - received) * elapsed_s <= received * left_s

    def disregard_received(self) -> None:
        """Take the data read so far neither for progress nor for a part of some."""
        self._watched.disregard_received()

    def _abort_evicted(self) -> None:
        self._watched.abort(AbortReason.MEMORY_LIMIT)

    def _build_loss(self, error: Exception | None) -> AnswerLostError:
        abort_reason = self._watched.abort_reason
        if abort_reason is AbortReason.MEMORY_LIMIT:
            return AnswerLostError(abort_reason.value, ResponseLimit.MEMORY)
        if abort_reason is not None:
            return AnswerLostError(abort_reason.value)
        assert error is not None, "without an error the request was aborted"
        return AnswerLostError(
            f"cut: {describe_error(error)}", find_exceeded_limit(error)
        )

    def end(self, incarnation: str, connections: ConnectionPool) -> None:
        """Return the connection to the pool if the answer was complete, else reset it.

        The reset tells a server that is still generating that the answer is not needed;
        see ``watchdog``.
        """
        if not self._memory.is_complete:
            self._memory.close()
        if self.is_whole:
            self._watched.detach()
        else:
            self._watched.reset_server()
        head = self.head
        is_reusable = self.is_whole and head.is_framed and not head.closes_connection
        if is_reusable and 200 <= head.status < 300:
            connections.release(incarnation, self._connection, head.idle_timeout_s)
            return
        # The server may have answered before it read the whole request. The rest of the
        # request is then still in transit, so the connection can't be reused.
        self._response.close()
        self._connection.close()


def limit_exceeded(limit: ResponseLimit, size: int) -> AnswerLostError:
    """Return the error of an answer that has exceeded a limit of ``size`` bytes."""
    return AnswerLostError(f"over the limit {limit.value} of {size}", limit)
