"""Trace events of requests.

Times are Unix seconds of the recording process. ``trace.event_descriptions`` describes
each event in a sentence.
"""

from __future__ import annotations

from typing import Any

import msgspec


class Event(msgspec.Struct, frozen=True, tag=True, tag_field="event"):
    """Base class of all events."""


class RequestReceived(Event, frozen=True, tag="Received"):
    """The entry received the request."""

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
    """A claim was created, found or updated on the platform; ``detail`` says which."""

    claim_id: str
    fence: int
    detail: str


class RequestAdmitted(Event, frozen=True, tag="Admitted"):
    """The request was within the allowance; ``work`` is predicted work in tokens."""

    work: float
    detail: str = ""


class RequestRefused(Event, frozen=True, tag="Refused"):
    """The request was refused before it ran; ``limit`` names the limit reached."""

    limit: str
    detail: str
    retry_after_s: float = 0.0


class RequestQueued(Event, frozen=True, tag="Queued"):
    """The request was queued behind ``requests_ahead`` others."""

    requests_ahead: int = msgspec.field(name="ahead")


class ConsideredServer(msgspec.Struct, frozen=True):
    """A server considered for placement, with its load between 0 and 1."""

    server: str
    load: float


class RequestPlaced(Event, frozen=True, tag="Placed"):
    """The request was placed on ``server`` for a short ``reason``."""

    server: str
    attempt: int
    waited_s: float
    reason: str = msgspec.field(name="why")
    considered_servers: tuple[ConsideredServer, ...] = msgspec.field(
        default=(), name="alternatives"
    )


class AttemptDispatched(Event, frozen=True, tag="Dispatched"):
    """The attempt was sent to the agent of ``server``."""

    server: str
    attempt: int


class AttemptForwarded(Event, frozen=True, tag="Started"):
    """The agent forwarded the attempt to its server."""

    server: str
    attempt: int


class FirstByteRelayed(Event, frozen=True, tag="FirstByte"):
    """The recording process relayed the first byte of the answer's body."""

    server: str
    attempt: int


class AttemptResumed(Event, frozen=True, tag="Resumed"):
    """The attempt was resumed from byte ``offset`` over a new link."""

    server: str
    attempt: int
    offset: int
    reason: str = msgspec.field(name="why")


class AttemptRetried(Event, frozen=True, tag="Retried"):
    """The attempt did not run or may be repeated; another attempt follows."""

    attempt: int
    reason: str = msgspec.field(name="why")


class ServerDied(Event, frozen=True):
    """The backend server died while the request ran on it."""

    server: str
    fingerprint: str
    deaths: int


class ManifestChanged(Event, frozen=True):
    """A new manifest version took effect while the request was in progress."""

    version: int


class CallerLeft(Event, frozen=True):
    """The caller closed its connection at byte ``offset``; the work was cancelled."""

    offset: int


class RequestFinished(Event, frozen=True, tag="Finished"):
    """The final outcome at the recording process; an entry sends it to the caller."""

    outcome: str
    status: int
    length: int
    reason: str


class NoteAdded(Event, frozen=True, tag="Noted"):
    """Any other event, described in one sentence."""

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
    """An event with its request, time and recording process."""

    request_id: str
    recorded_at: float = msgspec.field(name="at")
    process: str
    event: AnyEvent


EVENTS_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
    tuple[TraceEvent, ...]
)
EVENT_DECODER: msgspec.msgpack.Decoder[TraceEvent] = msgspec.msgpack.Decoder(TraceEvent)
