"""Messages between an entry and an agent about one attempt to run a request.

``request_id`` and ``attempt`` identify an attempt. Offsets are in bytes from the start
of the response body.
"""

from __future__ import annotations

from enum import StrEnum

from kingcupwheel.messages.base import Message


class Outcome(StrEnum):
    """Outcome of an attempt, as reported to the caller.

    ``RAN``: the backend server ran it and sent a response (of any status).
    ``NOT_RUN``: it is certain that it never started on a backend server.
    ``UNKNOWN``: it may have run, wholly or in part.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ClaimRef(Message, frozen=True):
    """Reference to the claim that covers a dispatch of a non-repeatable request.

    ``claim_id`` is the claim's digest, ``fence`` its fencing token at dispatch.
    """

    claim_id: str
    fence: int


class Dispatch(Message, frozen=True):
    """Entry to agent: run this request.

    ``incarnation`` is the agent incarnation that may run it; ``token`` is the clock
    token of its last heartbeat (see ``AgentHeartbeat``). ``deadline_s`` is the time
    left when this was sent. ``work`` is the predicted work in tokens. ``credit`` is how
    many body bytes the agent may send before an ``Ack``. ``part_keys`` identify the
    parts that the prompt may share with others.
    """

    request_id: str
    attempt: int
    incarnation: str
    token: int
    claim: ClaimRef | None
    organisation: str
    fingerprint: str
    priority: int
    streamed: bool
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    work: float
    deadline_s: float | None
    credit: int
    manifest_version: int
    repeatable: bool
    suspect: bool
    part_keys: tuple[str, ...] = ()


class ResumeRequest(Message, frozen=True, tag="Resume"):
    """Entry to agent: send the attempt's response from ``offset`` on.

    The agent replies with ``ResponseHead`` (once known) and the following frames, or
    with ``AttemptUnknown``. ``claim_id`` lets an entry that did not send the dispatch
    find the attempt by its claim.
    """

    request_id: str
    attempt: int
    offset: int
    credit: int
    claim_id: str | None


class Ack(Message, frozen=True):
    """Entry to agent: the bytes before ``offset`` have reached the caller."""

    request_id: str
    attempt: int
    offset: int


class CancelRequest(Message, frozen=True, tag="Cancel"):
    """Entry to agent: the caller left; stop the work and discard the response."""

    request_id: str
    attempt: int


class TombstoneRequest(Message, frozen=True, tag="Entomb"):
    """Entry to agent: from now on refuse this claim's dispatches below ``fence``."""

    claim_id: str
    fence: int
    incarnation: str


class TombstoneReply(Message, frozen=True, tag="Entombed"):
    """Reply to ``TombstoneRequest``.

    ``ran`` is True if a dispatch of the claim was accepted before; ``request_id`` and
    ``attempt`` then identify it. ``accepted`` is False if the request was for another
    incarnation: the tombstone is not kept.
    """

    claim_id: str
    fence: int
    incarnation: str
    accepted: bool
    ran: bool
    request_id: str
    attempt: int


class AttemptAccepted(Message, frozen=True, tag="Accepted"):
    """Agent to entry: the agent has accepted the attempt, which is queued or runs."""

    request_id: str
    attempt: int
    running: bool


class DispatchRefusal(StrEnum):
    """Why an agent refused a dispatch."""

    WRONG_INCARNATION = "wrong-incarnation"
    STALE_TOKEN = "stale-token"
    LOW_FENCE = "low-fence"
    LEAVING = "leaving"
    FULL = "full"
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    ENTOMBED = "entombed"
    SERVER_UNREACHABLE = "server-unreachable"
    SUSPECT_BUSY = "suspect-busy"
    BAD_REQUEST = "bad-request"


class AttemptRefused(Message, frozen=True, tag="NotRun"):
    """Agent to entry: the attempt never started on the server and never will."""

    request_id: str
    attempt: int
    reason: DispatchRefusal


class ResponseHead(Message, frozen=True, tag="Head"):
    """Agent to entry: status and headers of the server's response."""

    request_id: str
    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]


class ResponseData(Message, frozen=True, tag="Data"):
    """Agent to entry: bytes of the response body at ``offset``."""

    request_id: str
    attempt: int
    offset: int
    data: bytes


class AttemptEnd(Message, frozen=True, tag="End"):
    """Agent to entry: the attempt has ended.

    ``length`` is the length of the whole body in bytes. ``outcome`` is RAN for a
    complete response and UNKNOWN for a truncated one; ``detail`` gives the reason.
    """

    request_id: str
    attempt: int
    length: int
    outcome: Outcome
    detail: str


class RunningAttempts(Message, frozen=True, tag="Running"):
    """Heartbeat of running attempts from an agent to an entry, about every second.

    It distinguishes a slow response from a dead link.
    """

    attempts: tuple[tuple[str, int], ...]


class AttemptUnknown(Message, frozen=True, tag="Unseen"):
    """Reply to ``ResumeRequest``: this agent incarnation never received the attempt.

    ``cancelled`` is True if a ``CancelRequest`` was recorded, so that a later dispatch
    is refused.
    """

    request_id: str
    attempt: int
    incarnation: str
    cancelled: bool
