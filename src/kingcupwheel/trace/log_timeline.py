"""Timeline of a request from the structured log lines of entries and agents."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

# State changes of a process from this long before the request's first line count too.
CONTEXT_BEFORE_S = 5.0
_CONTEXT_PARTS = frozenset({"store", "peers", "process", "log", "servers"})
_FINAL_EVENTS = frozenset({"finished", "refused", "cut-by-stop"})


class LogLine(NamedTuple):
    """A decoded log line: Unix time, process, part of the program, event and fields."""

    logged_at: float
    process: str
    part: str
    event: str
    fields: dict[str, Any]


class LogTimeline(NamedTuple):
    """The log lines of one request.

    ``beliefs`` are lines on the state of the same processes (membership, configuration,
    servers) from shortly before the request until its end.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]

    @property
    def gaps(self) -> tuple[str, ...]:
        """What is missing from the timeline, one sentence each."""
        events = {line.event for line in self.lines}
        gaps: list[str] = []
        if not self.lines:
            return ("no line names this request; was its entry's log given?",)
        if not events & _FINAL_EVENTS:
            gaps.append("its end: the process died, or later lines are not here")
        if "finished" in events and "placed" not in events:
            finished = [line for line in self.lines if line.event == "finished"]
            if finished[-1].fields.get("ran"):
                gaps.append("where it was placed")
        if any(line.event == "lines-dropped" for line in self.beliefs):
            gaps.append("lines that were dropped near it, see below")
        return tuple(gaps)


def parse_line(text: str) -> LogLine | None:
    """Return the decoded line, or None if it has another format.

    A prefix before the JSON object, such as a log collector's timestamp, is skipped.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
        at, process = float(fields.pop("t")), str(fields.pop("process"))
        part, event = str(fields.pop("part")), str(fields.pop("event"))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError):
        return None
    return LogLine(at, process, part, event, fields)


def build_log_timeline(request_id: str, texts: Iterable[str]) -> LogTimeline:
    """Return the timeline of ``request_id``."""
    lines = [line for line in map(parse_line, texts) if line is not None]
    request_lines = sorted(_select_request_lines(request_id, lines), key=_get_time)
    if not request_lines:
        return LogTimeline(request_id, (), ())
    processes = {line.process for line in request_lines}
    since, until = (
        request_lines[0].logged_at - CONTEXT_BEFORE_S,
        request_lines[-1].logged_at,
    )
    beliefs = [
        line
        for line in lines
        if line.process in processes
        and line.part in _CONTEXT_PARTS
        and since <= line.logged_at <= until
    ]
    return LogTimeline(
        request_id, tuple(request_lines), tuple(sorted(beliefs, key=_get_time))
    )


def _get_time(line: LogLine) -> float:
    return line.logged_at


def _select_request_lines(
    request_id: str, lines: Iterable[LogLine]
) -> Iterator[LogLine]:
    # An id that a caller reuses while its request is in progress gets a "~n" suffix.
    prefix = f"{request_id}~"
    for line in lines:
        line_id = str(line.fields.get("id", ""))
        if line_id == request_id or line_id.startswith(prefix):
            yield line


def format_log_timeline(timeline: LogTimeline) -> str:
    """Return the timeline as text."""
    blocks = [
        [f"Request {timeline.request_id}"],
        [_format_line(line, _describe_line(line)) for line in timeline.lines],
    ]
    if timeline.beliefs:
        noted = [
            _format_line(line, _describe_fields(line)) for line in timeline.beliefs
        ]
        blocks.append(["Noted there just before and meanwhile:", *noted])
    blocks.append([f"Missing: {gap}" for gap in timeline.gaps])
    return "\n\n".join("\n".join(block) for block in blocks if block)


def _format_line(line: LogLine, sentence: str) -> str:
    at = datetime.fromtimestamp(line.logged_at, tz=UTC)
    stamp = at.strftime("%H:%M:%S.") + f"{at.microsecond // 1000:03d}"
    return f"{stamp}  {line.process}  {sentence}"


def _describe_line(line: LogLine) -> str:
    get = line.fields.get
    match line.event:
        case "placed":
            return (
                f"Placed on {get('server')} as send {get('send')} after "
                f"{get('waited_s')} s in the queue: {get('why')}. "
                f"{_describe_version(line)}"
            )
        case "send-ended":
            return (
                f"The send to {get('server')} came to nothing ({get('came')}): "
                f"{get('why')}. Sends that may have run: {get('ran')}, turned away: "
                f"{get('turned_away')}; {get('left_s')} s left. Next: {get('follows')}."
            )
        case "hedged":
            return (
                f"Looked for another server while {get('server')} is kept: "
                f"{get('why')}."
            )
        case "hedge-ended":
            return f"The second send was {get('result')} after {get('took_s')} s."
        case "resumed":
            return f"The stream went on at {get('server')} after event {get('after')}."
        case "finished":
            why = f" {get('why')}" if get("why") else ""
            return (
                f"Ended with status {get('status')} ({get('how')}), {get('bytes')} "
                f"bytes, {get('took_s')} s after it came.{why}"
            )
        case "cut-by-stop":
            return (
                f"Cut {get('took_s')} s after it came, as the process ended; it came "
                f"{get('came_after_s')} s after the signal to stop."
            )
        case "refused":
            return (
                f"Refused with status {get('status')} ({get('how')}): {get('why')} "
                f"{_describe_version(line)}"
            )
    return _describe_fields(line)


def _describe_version(line: LogLine) -> str:
    version, age_s = line.fields.get("version"), line.fields.get("version_age_s")
    return f"Configuration {version}, known {age_s} s ago to be the newest."


def _describe_fields(line: LogLine) -> str:
    fields = ", ".join(
        f"{name} {value}"
        for name, value in line.fields.items()
        if name not in ("level", "id")
    )
    return f"{line.event}: {fields}" if fields else line.event
