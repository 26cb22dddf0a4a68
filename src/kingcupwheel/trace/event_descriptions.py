"""Descriptions of trace events, one sentence each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.trace.events import AttemptDispatched
from kingcupwheel.trace.events import AttemptForwarded
from kingcupwheel.trace.events import AttemptResumed
from kingcupwheel.trace.events import AttemptRetried
from kingcupwheel.trace.events import CallerLeft
from kingcupwheel.trace.events import ClaimRecorded
from kingcupwheel.trace.events import FirstByteRelayed
from kingcupwheel.trace.events import ManifestChanged
from kingcupwheel.trace.events import NoteAdded
from kingcupwheel.trace.events import RequestAdmitted
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import RequestPlaced
from kingcupwheel.trace.events import RequestQueued
from kingcupwheel.trace.events import RequestReceived
from kingcupwheel.trace.events import RequestRefused
from kingcupwheel.trace.events import ResendJoined
from kingcupwheel.trace.events import ServerDied


if TYPE_CHECKING:
    from kingcupwheel.trace.events import ConsideredServer
    from kingcupwheel.trace.events import TraceEvent


def describe_event(event: TraceEvent, *, entry: str, arrived_at: float | None) -> str:
    """Return a sentence that describes ``event``.

    ``entry`` is the process that received the request, ``arrived_at`` the time at which
    it did, if known.
    """
    description = (
        _describe_arrival(event)
        or _describe_placement(event)
        or _describe_answer(event, arrived=arrived_at)
        or _describe_end(event, is_final=event.process == entry)
    )
    return description or f"Recorded {type(event.event).__struct_config__.tag}."


def _describe_arrival(event: TraceEvent) -> str | None:
    match event.event:
        case RequestReceived() as received:
            return _describe_received(received)
        case ResendJoined(earlier):
            return f"Joined to request {earlier}, sent earlier with the same key."
        case ClaimRecorded(claim_id, fence, detail):
            return f"Claim {claim_id[:12]}: {detail} (fence {fence})."
        case RequestAdmitted(work, detail):
            return (
                f"Admitted; predicted work {work:,.0f} tokens{_format_detail(detail)}."
            )
        case RequestRefused() as refused:
            return _describe_refused(refused)
        case ManifestChanged(version):
            return f"Manifest version {version} came into force meanwhile."
    return None


def _describe_received(received: RequestReceived) -> str:
    repeatable = "may be repeated" if received.repeatable else "runs at most once"
    return (
        f"{received.method} {received.path} arrived with {received.body_bytes:,} bytes "
        f"from {received.organisation or 'nobody known'}, route "
        f"{received.route or 'none'}, group {received.group or 'none'}; it "
        f"{repeatable}. Manifest version {received.manifest_version} was in force."
    )


def _describe_refused(refused: RequestRefused) -> str:
    hint = ""
    if refused.retry_after_s:
        hint = f" The caller may come back after {refused.retry_after_s:.1f} s."
    return (
        f"Refused by the limit {refused.limit}{_format_detail(refused.detail)}.{hint}"
    )


def _describe_placement(event: TraceEvent) -> str | None:
    match event.event:
        case RequestQueued(ahead):
            return f"Queued behind {ahead} others."
        case RequestPlaced() as placed:
            return _describe_placed(placed)
        case AttemptDispatched(server, attempt):
            return f"Sent to {server} as attempt {attempt}."
        case AttemptRetried(attempt, reason):
            return f"Attempt {attempt} came to nothing: {reason}. Another follows."
    return None


def _describe_placed(placed: RequestPlaced) -> str:
    considered = ", ".join(map(_format_load, placed.considered_servers))
    return (
        f"Placed on {placed.server} for attempt {placed.attempt} after "
        f"{placed.waited_s:.3f} s in the queue: {placed.reason or 'no reason kept'}."
        + (f" Weighed: {considered}." if considered else "")
    )


def _format_load(alternative: ConsideredServer) -> str:
    return f"{alternative.server} at {alternative.load:.0%}"


def _describe_answer(event: TraceEvent, *, arrived: float | None) -> str | None:
    match event.event:
        case AttemptForwarded(server, attempt):
            return f"Handed to {server} to run (attempt {attempt})."
        case FirstByteRelayed(server, attempt):
            since = (
                f", {event.recorded_at - arrived:.3f} s after arrival"
                if arrived
                else ""
            )
            return f"First byte of {server}'s answer (attempt {attempt}){since}."
        case AttemptResumed(server, attempt, offset, reason):
            return (
                f"Took attempt {attempt} on {server} up again at byte {offset:,}: "
                f"{reason}."
            )
        case ServerDied(server, fingerprint, deaths):
            return (
                f"{server} died while this ran on it; fingerprint {fingerprint[:12]} "
                f"has now been there at {deaths} deaths."
            )
        case CallerLeft(offset):
            return f"The caller left at byte {offset:,}; the work was cancelled."
    return None


def _describe_end(event: TraceEvent, *, is_final: bool) -> str | None:
    match event.event:
        case RequestFinished(outcome, status, length, reason):
            subject = "Final outcome" if is_final else "This attempt ended as"
            status_text = f", status {status}" if status else ""
            return (
                f"{subject}: {outcome}{status_text}, {length:,} "
                f"bytes{_format_detail(reason)}."
            )
        case NoteAdded(text):
            return text if text.endswith(".") else f"{text}."
    return None


def _format_detail(detail: str) -> str:
    return f": {detail.rstrip('.')}" if detail else ""
