"""The events that make up the story of a request.

Times are Unix seconds of the process that records. Each event is one typed record;
``trace.story`` turns them into sentences.
"""

from __future__ import annotations

from typing import Any

import msgspec


class Event(msgspec.Struct, frozen=True, tag=True, tag_field="event"):
    """Base of all events."""


class RequestReceived(Event, frozen=True, tag="Received"):
    """The entry read the request."""

    method: str
    path: str
    body_bytes: int
    organisation: str
    route: str
    group: str
    manifest_version: int
    repeatable: bool
    idempotency: str = ""


class ResendJoined(Event, frozen=True, tag="Joined"):
    """A resend was joined to an earlier request with the same idempotency key."""

    earlier_request_id: str = msgspec.field(name="earlier")


class ClaimRecorded(Event, frozen=True, tag="Claimed"):
    """A claim was made, found or moved on the platform; ``detail`` says which."""

    claim_id: str
    fence: int
    detail: str


class RequestAdmitted(Event, frozen=True, tag="Admitted"):
    """Within the allowance; ``work`` is predicted work in tokens."""

    work: float
    detail: str = ""


class RequestRefused(Event, frozen=True, tag="Refused"):
    """Given up before it ran; ``limit`` names the bound that was reached."""

    limit: str
    detail: str
    retry_after_s: float = 0.0


class RequestQueued(Event, frozen=True, tag="Queued"):
    """Waits for a place; ``ahead`` requests are before it."""

    requests_ahead: int = msgspec.field(name="ahead")


class ConsideredServer(msgspec.Struct, frozen=True):
    """A server that was weighed: its name and its load between 0 and 1."""

    server: str
    load: float


class RequestPlaced(Event, frozen=True, tag="Placed"):
    """Given to ``server``; ``why`` is a short reason."""

    server: str
    attempt: int
    waited_s: float
    reason: str = msgspec.field(name="why")
    considered_servers: tuple[ConsideredServer, ...] = msgspec.field(
        default=(), name="alternatives"
    )


class AttemptDispatched(Event, frozen=True, tag="Dispatched"):
    """Sent to the agent of ``server``."""

    server: str
    attempt: int


class AttemptForwarded(Event, frozen=True, tag="Started"):
    """The agent handed it to its server."""

    server: str
    attempt: int


class FirstByteRelayed(Event, frozen=True, tag="FirstByte"):
    """The first byte of the answer's body passed the recording process."""

    server: str
    attempt: int


class AttemptResumed(Event, frozen=True, tag="Resumed"):
    """Taken up again from ``offset`` over a new link; ``why`` is a short reason."""

    server: str
    attempt: int
    offset: int
    reason: str = msgspec.field(name="why")


class AttemptRetried(Event, frozen=True, tag="Retried"):
    """The attempt ended without a run, or may be repeated; another follows."""

    attempt: int
    reason: str = msgspec.field(name="why")


class ServerDied(Event, frozen=True):
    """The backend server died while the request ran on it."""

    server: str
    fingerprint: str
    deaths: int


class ManifestChanged(Event, frozen=True):
    """A new manifest came into force while the request was under way."""

    version: int


class CallerLeft(Event, frozen=True):
    """The caller closed its connection; the work was cancelled."""

    offset: int


class RequestFinished(Event, frozen=True, tag="Finished"):
    """The final outcome as told to the caller."""

    outcome: str
    status: int
    length: int
    reason: str


class NoteAdded(Event, frozen=True, tag="Noted"):
    """Anything else worth telling, as one sentence."""

    sentence: str


AnyEvent = (
    RequestReceived
    | ResendJoined
    | ClaimRecorded
    | RequestAdmitted
    | RequestRefused
    | RequestQueued
    | RequestPlaced
    | AttemptDispatched
    | AttemptForwarded
    | FirstByteRelayed
    | AttemptResumed
    | AttemptRetried
    | ServerDied
    | ManifestChanged
    | CallerLeft
    | RequestFinished
    | NoteAdded
)


class TraceEvent(msgspec.Struct, frozen=True):
    """One event with its request, time and the process that recorded it."""

    request_id: str
    recorded_at: float = msgspec.field(name="at")
    process: str
    event: AnyEvent


EVENTS_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
    tuple[TraceEvent, ...]
)
EVENT_DECODER: msgspec.msgpack.Decoder[TraceEvent] = msgspec.msgpack.Decoder(TraceEvent)
