"""What the headers of requests and answers say, whatever they are called."""

from __future__ import annotations

from typing import NamedTuple


class CallerMetadata(NamedTuple):
    """What a caller says beside its request.

    ``attempt`` names this one send. ``wait_s`` is how long the caller waits from when
    it sent, None if it does not say. ``prompt_tokens`` and ``answer_tokens`` are 0
    where the caller gives none; the latter is an estimate or an upper bound.
    """

    attempt_id: str
    timeout_s: float | None
    api_key: str
    last_event_id: str
    prompt_tokens: int
    answer_tokens: int


class ServerRequestMetadata(NamedTuple):
    """What the system says to a server beside the caller's request.

    ``instance`` is the only life of a server that may run it; ``left_s`` the time left.
    ``priority`` 0 is the most urgent. ``last_event`` is where a stream goes on.
    """

    instance: str
    time_left_s: float
    organisation: str
    priority: int | None
    last_event_id: str


class ReportedLoad(NamedTuple):
    """A server's load as it answered: requests that run and wait, and its places."""

    running: int
    waiting: int
    places: int


class ServerNotice(NamedTuple):
    """What a server's answer says of what the server wants of this process.

    With ``leaving`` it takes nothing new any more. ``rest_s`` is for how long it wants
    no request, None if it asks for no rest. ``unreadable`` names the headers whose
    values say nothing that can be understood.
    """

    is_leaving: bool = False
    rest_s: float | None = None
    unreadable_headers: tuple[str, ...] = ()


NO_NOTICE = ServerNotice()


class AnswerHead(NamedTuple):
    """The head of a server's answer.

    ``not_run`` is the server's word that it has not run the request and never will.
    ``signed`` tells that the server made this answer. Without ``framed`` the body ends
    with its connection. ``idle_s`` is how long the server keeps an idle connection.
    ``passed`` are the headers that the caller gets.
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
