"""Questions about what became of a request, between processes and the command line."""

from __future__ import annotations

from kingcupwheel.messages.base import Message


class TraceRequest(Message, frozen=True, tag="TraceWanted"):
    """To an entry or agent: send the events you hold of this request."""

    request_id: str


class TraceReply(Message, frozen=True, tag="TraceFound"):
    """Answers ``TraceWanted``; ``events`` is an encoded list of trace events."""

    request_id: str
    process: str
    events: bytes
    complete: bool


class BurnRequest(Message, frozen=True, tag="BurnWanted"):
    """To an entry: send your counts against service-level goals."""


class BurnReply(Message, frozen=True, tag="BurnFound"):
    """Answers ``BurnWanted``; ``part`` is an encoded ``burn.records.BurnPart``."""

    process: str
    part: bytes
