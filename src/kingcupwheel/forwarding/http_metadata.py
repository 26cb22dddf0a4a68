"""Metadata of requests and answers, independent of the headers that carry it."""

from __future__ import annotations

from typing import NamedTuple


class CallerMetadata(NamedTuple):
    """Metadata that a caller sends with its request.

    ``attempt_id`` identifies this send. ``timeout_s`` is how long the caller waits from
    the time of the send, None if unknown. ``prompt_tokens`` and ``answer_tokens`` are 0
    if unknown; the latter is an estimate or an upper bound. ``prompt_parts`` are the
    ids of the prompt's parts that other requests may share, each once. ``model`` is
    empty if unknown.
    """

    attempt_id: str
    timeout_s: float | None
    api_key: str
    last_event_id: str
    prompt_tokens: int
    answer_tokens: int
    prompt_parts: tuple[str, ...] = ()
    model: str = ""


class ServerRequestMetadata(NamedTuple):
    """Metadata that is sent to a server with the caller's request.

    ``instance`` is the only server that may run it, ``time_left_s`` the time until its
    deadline. ``priority`` 0 is the most urgent. A stream is resumed after
    ``last_event_id``.
    """

    instance: str
    time_left_s: float
    organisation: str
    priority: int | None
    last_event_id: str


class ReportedLoad(NamedTuple):
    """Load reported in an answer: running and waiting requests, and capacity."""

    running: int
    waiting: int
    capacity: int


class ServerNotice(NamedTuple):
    """Notice in a server's answer about its availability.

    A server that ``is_leaving`` accepts no new requests. ``backoff_s`` is for how
    long it requests a backoff, None if it requests none. ``rate_limit`` is the number
    of requests per second that it accepts from all entries together, None if it names
    no limit. Without ``is_limit_known`` the answer was not read or its limit is
    invalid, which tells nothing about limits. ``unreadable_headers`` are the names of
    headers with invalid values.
    """

    is_leaving: bool = False
    backoff_s: float | None = None
    rate_limit: float | None = None
    is_limit_known: bool = True
    unreadable_headers: tuple[str, ...] = ()

    @property
    def explains_rejection(self) -> bool:
        """Whether the server rejects requests for a reason other than a failure."""
        has_limit = self.rate_limit is not None
        return bool(self.backoff_s) or self.is_leaving or has_limit


NO_NOTICE = ServerNotice(is_limit_known=False)


class AnswerHead(NamedTuple):
    """Status and parsed headers of a server's answer.

    ``is_rejection`` means that the server has not run the request and never will,
    ``is_other_instance`` that the request named another server, ``is_signed`` that the
    answer was made by the server itself. ``faulty_server`` is the server that the
    answer names as the cause, empty if it names none. If the body is not ``is_framed``,
    it ends when the connection is closed. ``idle_timeout_s`` is how long the server
    keeps an idle connection. ``caller_headers`` are sent to the caller.
    """

    status: int
    attempt_id: str
    is_signed: bool
    is_rejection: bool
    is_other_instance: bool
    faulty_server: str
    length: int | None
    is_framed: bool
    closes_connection: bool
    idle_timeout_s: float | None
    load: ReportedLoad | None
    notice: ServerNotice
    caller_headers: tuple[tuple[str, str], ...]
