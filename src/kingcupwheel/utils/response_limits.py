"""Limits of what is read from another process, and the errors that name them.

A process in trouble may send bytes without end. Each of them is progress for a timeout
that starts anew with every read, so sizes and total times are limited as well.
"""

from __future__ import annotations

from enum import StrEnum
from http.client import HTTPException
from time import monotonic

from urllib3.exceptions import HTTPError


class ResponseLimit(StrEnum):
    """A limit of a response; the values are shown in logs and metrics."""

    NOT_HTTP = "not-http"
    METADATA = "metadata-bytes"
    BODY = "body-bytes"
    EVENT = "event-bytes"
    MEMORY = "answer-memory"
    DURATION = "duration"


class MetadataLimitError(HTTPException):
    """The head, a chunk's size or the trailers of a response are too long."""

    limit = ResponseLimit.METADATA


class NotHttpError(HTTPException):
    """The first bytes of a response can't be those of an HTTP response."""

    limit = ResponseLimit.NOT_HTTP


class BodyLimitError(HTTPError):
    """The body of a response is too long."""

    limit = ResponseLimit.BODY


class DurationLimitError(TimeoutError):
    """A response has not ended within the time for all of it."""

    limit = ResponseLimit.DURATION


def find_exceeded_limit(error: BaseException | None) -> ResponseLimit | None:
    """Return the limit that led to ``error``, None if it has another cause.

    HTTP libraries replace errors and keep the original one as cause or argument.
    """
    while error is not None:
        limit = getattr(error, "limit", None)
        if isinstance(limit, ResponseLimit):
            return limit
        nested = (one for one in error.args if isinstance(one, BaseException))
        error = error.__cause__ or next(nested, None) or error.__context__
    return None


def describe_error(error: Exception) -> str:
    """Return the exceeded limit or else the type of an error."""
    limit = find_exceeded_limit(error)
    return type(error).__name__ if limit is None else f"over the limit {limit.value}"


class ReadControl:
    """Deadline of the reads from a connection, and their bytes.

    ``received_bytes`` and the time of the last of them (monotonic) may be read by any
    thread. ``unused_bytes`` are those that were received together with the last
    response and are no part of it.
    """

    def __init__(self) -> None:
        self.received_bytes = 0
        self.received_at = 0.0
        self.unused_bytes = 0
        self._deadline = float("inf")

    @property
    def left_s(self) -> float:
        """Seconds until the deadline, infinite if there is none."""
        return self._deadline - monotonic()

    def record_received(self, count: int) -> None:
        """Record that bytes have been received."""
        self.received_bytes += count
        self.received_at = monotonic()
        self.unused_bytes += count

    def record_used(self, count: int) -> None:
        """Record that bytes are a part of the response."""
        self.unused_bytes -= count

    def begin_response(self, timeout_s: float | None) -> None:
        """Begin to read a response, all of it within ``timeout_s``."""
        self.unused_bytes = 0
        self.begin(timeout_s)

    def begin(self, timeout_s: float | None) -> None:
        """Set the deadline, or remove it if ``timeout_s`` is None."""
        self._deadline = float("inf") if timeout_s is None else monotonic() + timeout_s

    def extend(self, seconds: float) -> None:
        """Move the deadline."""
        self._deadline += seconds
