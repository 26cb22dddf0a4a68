"""Messages by which the command line queries traces and SLO counts of processes."""

from __future__ import annotations

from kingcupwheel.messages.base import Message


class TraceRequest(Message, frozen=True, tag="TraceWanted"):
    """To an entry or agent: request its trace events of this request."""

    request_id: str


class TraceReply(Message, frozen=True, tag="TraceFound"):
    """Reply to ``TraceRequest``; ``events`` is an encoded list of trace events."""

    request_id: str
    process: str
    events: bytes
    complete: bool


class BurnRequest(Message, frozen=True, tag="BurnWanted"):
    """To an entry: request its counts against service-level objectives."""


class BurnReply(Message, frozen=True, tag="BurnFound"):
    """Reply to ``BurnRequest``; ``part`` is an encoded ``EntryCounts``."""

    process: str
    part: bytes
