"""Messages about one attempt to run a request, between an entry and an agent.

An attempt is named by ``request_id`` and ``attempt``. Offsets count bytes of the
answer's body from its start.
"""

from __future__ import annotations

from enum import StrEnum

from kingcupwheel.messages.base import Message


class Outcome(StrEnum):
    """What became of an attempt, as told to the caller.

    ``RAN``: the backend server ran it to an answer (whatever its status).
    ``NOT_RUN``: it surely never started on a backend server.
    ``UNKNOWN``: it may have run, wholly or in part.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ClaimRef(Message, frozen=True):
    """The claim that a dispatch of a non-repeatable request acts for.

    ``claim_id`` is the claim's digest, ``fence`` its fencing number at dispatch.
    """

    claim_id: str
    fence: int


class Dispatch(Message, frozen=True):
    """Entry to agent: run this request.

    ``incarnation`` is the agent's life that the entry means; ``token`` the rolling
    clock token of the agent's last heartbeat (see ``Beat``). ``deadline_s`` is the time
    that was left when this was sent, in seconds. ``work`` is predicted work in tokens.
    ``credit`` is how many bytes of body the agent may send before an ``Ack``.
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


class ResumeRequest(Message, frozen=True, tag="Resume"):
    """Entry to agent: send what the attempt's answer holds from ``offset`` on.

    The agent answers ``Head`` (when known) and the frames, or ``Unseen``. ``claim_id``
    lets an entry that did not make the dispatch find the attempt by its claim.
    """

    request_id: str
    attempt: int
    offset: int
    credit: int
    claim_id: str | None


class Ack(Message, frozen=True):
    """Entry to agent: bytes before ``offset`` have reached the caller."""

    request_id: str
    attempt: int
    offset: int


class CancelRequest(Message, frozen=True, tag="Cancel"):
    """Entry to agent: the caller left; stop the work and free the answer."""

    request_id: str
    attempt: int


class TombstoneRequest(Message, frozen=True, tag="Entomb"):
    """Entry to agent: refuse dispatches of this claim below ``fence`` from now on."""

    claim_id: str
    fence: int
    incarnation: str


class TombstoneReply(Message, frozen=True, tag="Entombed"):
    """Agent to entry: answers ``Entomb``.

    ``ran`` tells that a dispatch of the claim was accepted before; it is then named.
    ``accepted`` is False for another incarnation: nothing was promised.
    """

    claim_id: str
    fence: int
    incarnation: str
    accepted: bool
    ran: bool
    request_id: str
    attempt: int


class AttemptAccepted(Message, frozen=True, tag="Accepted"):
    """Agent to entry: the attempt is the agent's now; it waits or runs."""

    request_id: str
    attempt: int
    running: bool


class DispatchRefusal(StrEnum):
    """Why an agent did not run a dispatch."""

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
    """Agent to entry: the attempt never started on the server, and never will."""

    request_id: str
    attempt: int
    reason: DispatchRefusal


class ResponseHead(Message, frozen=True, tag="Head"):
    """Agent to entry: status and headers of the server's answer."""

    request_id: str
    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]


class ResponseData(Message, frozen=True, tag="Data"):
    """Agent to entry: bytes of the answer's body at ``offset``."""

    request_id: str
    attempt: int
    offset: int
    data: bytes


class AttemptEnd(Message, frozen=True, tag="End"):
    """Agent to entry: the attempt has ended.

    ``length`` is the whole body's length in bytes; ``outcome`` is RAN for a whole
    answer and UNKNOWN for one cut short; ``detail`` says why in a few words.
    """

    request_id: str
    attempt: int
    length: int
    outcome: Outcome
    detail: str


class RunningAttempts(Message, frozen=True, tag="Running"):
    """Agent to entry, about every second: these attempts are still alive here.

    It tells a slow answer from a link gone silent.
    """

    attempts: tuple[tuple[str, int], ...]


class AttemptUnknown(Message, frozen=True, tag="Unseen"):
    """Agent to entry: answers ``Resume``; this agent's life never saw the attempt.

    ``cancelled`` tells that a ``Cancel`` was noted, so that a dispatch that comes
    later is refused.
    """

    request_id: str
    attempt: int
    incarnation: str
    cancelled: bool
