"""The headers of requests and answers on the users' platform, read and written."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from kingcupwheel.forwarding.heads import AnswerHead
from kingcupwheel.forwarding.heads import CallerHead
from kingcupwheel.forwarding.heads import ReportedLoad
from kingcupwheel.forwarding.heads import ServerNotice
from kingcupwheel.utils.http_headers import HOP_BY_HOP
from kingcupwheel.utils.http_headers import OF_ONE_REQUEST
from kingcupwheel.utils.numbers import whole_number


if TYPE_CHECKING:
    from collections.abc import Mapping

    from urllib3 import HTTPHeaderDict

    from kingcupwheel.forwarding.heads import ServerCall

# Names one send of a caller: a caller that sends again takes a new one.
_ATTEMPT_ID = "x-attempt-id"
_DEADLINE_MS = "x-deadline-ms"
_EXPECT_INSTANCE = "x-expect-instance"
_TENANT = "x-tenant"
_REQUEST_PRIORITY = "x-request-priority"
_LAST_EVENT_ID = "last-event-id"
_TOKEN_USAGE = "x-token-usage"
_LENGTH_HINT = "x-length-hint"
_NOT_EXECUTED = "x-not-executed"
_RESPONSE_SIGNATURE = "x-response-signature"
_SERVER_LOAD = "x-server-load"
_AT_SERVER = "at-server"
_SERVER_LEAVING = "server-leaving"
_RETRY_AFTER = "retry-after"
_DECIMAL_PATTERN = re.compile(r"[0-9]+(\.[0-9]+)?", re.ASCII)

# What the system sets itself, whatever the caller sent, or keeps to itself.
_CONTROLLED_HEADERS = frozenset(
    {
        "authorization",
        _DEADLINE_MS,
        _EXPECT_INSTANCE,
        _TENANT,
        _REQUEST_PRIORITY,
        "x-expect-version",
    }
)
_REMOVED_FROM_REQUESTS = _CONTROLLED_HEADERS | HOP_BY_HOP | OF_ONE_REQUEST
_REMOVED_FROM_RESPONSES = HOP_BY_HOP | {"content-length", "date", "server"}
_MS = 1000.0
_MAX_PRIORITY = 9


def read_request_headers(headers: Mapping[str, str]) -> CallerHead:
    """Return what a request's headers (by lower-case name) say."""
    key = headers.get("authorization", "")
    prompt, answer = _parse_token_usage(headers.get(_TOKEN_USAGE, ""))
    hint = whole_number(headers.get(_LENGTH_HINT, ""))
    if hint is not None:
        answer = min(answer, hint) if answer else hint
    return CallerHead(
        attempt=headers.get(_ATTEMPT_ID, ""),
        wait_s=_parse_deadline_s(headers.get(_DEADLINE_MS, "")),
        key=key[7:] if key[:7].lower() == "bearer " else "",
        last_event=headers.get(_LAST_EVENT_ID, ""),
        prompt_tokens=prompt,
        answer_tokens=answer,
    )


def read_attempt_id(headers: Mapping[str, str]) -> str:
    """Return the caller's name for this send, empty if it gives none."""
    return headers.get(_ATTEMPT_ID, "")


def build_server_headers(
    headers: Mapping[str, str], call: ServerCall
) -> dict[str, str]:
    """Return the headers to send to a server for the caller's ``headers``."""
    sent = {
        name: value
        for name, value in headers.items()
        if name not in _REMOVED_FROM_REQUESTS
    }
    sent["host"] = headers.get("host", "")
    sent[_DEADLINE_MS] = str(max(1, int(call.left_s * _MS)))
    sent[_EXPECT_INSTANCE] = call.instance
    if call.organisation:
        sent[_TENANT] = call.organisation
    if call.priority is not None:
        sent[_REQUEST_PRIORITY] = str(max(0, min(_MAX_PRIORITY, call.priority)))
    if call.last_event:
        sent[_LAST_EVENT_ID] = call.last_event
    return sent


def read_response_headers(status: int, headers: HTTPHeaderDict) -> AnswerHead:
    """Return what a server's answer says of itself."""
    passed = tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in _REMOVED_FROM_RESPONSES
    )
    length = headers.get("content-length", "")
    not_run = _NOT_EXECUTED in headers or status == 421
    return AnswerHead(
        status=status,
        attempt=headers.get(_ATTEMPT_ID, ""),
        signed=_RESPONSE_SIGNATURE in headers,
        not_run=not_run,
        other_instance=status == 421,
        faulty=headers.get(_AT_SERVER, ""),
        length=whole_number(length),
        framed=length != "" or "transfer-encoding" in headers,
        closes="close" in headers.get("connection", "").lower(),
        idle_s=_parse_keep_alive_s(headers.get("keep-alive", "")),
        load=_parse_server_load(headers.get(_SERVER_LOAD, "")),
        notice=_read_notice(headers, is_refused=not_run and status == 503),
        passed=passed,
    )


def _read_notice(headers: HTTPHeaderDict, *, is_refused: bool) -> ServerNotice:
    leaving = _header_values(headers, _SERVER_LEAVING)
    rest = _header_values(headers, _RETRY_AFTER) if is_refused else []
    rest_s = _parse_retry_after_s(rest)
    unreadable = []
    if leaving not in ([], ["0"], ["1"]):
        unreadable.append(_SERVER_LEAVING)
    if rest and rest_s is None:
        unreadable.append(_RETRY_AFTER)
    return ServerNotice(leaving == ["1"], rest_s, tuple(unreadable))


def _header_values(headers: HTTPHeaderDict, name: str) -> list[str]:
    return [value.strip() for value in headers.getlist(name)]


def _parse_retry_after_s(values: list[str]) -> float | None:
    """Return seconds, which may have a fraction; a header that comes twice has none."""
    if len(values) != 1 or _DECIMAL_PATTERN.fullmatch(values[0]) is None:
        return None
    seconds = float(values[0])
    return seconds if math.isfinite(seconds) else None


def _parse_deadline_s(text: str) -> float | None:
    try:
        found = float(text) / _MS
    except ValueError:
        return None
    return found if math.isfinite(found) else None


def _parse_token_usage(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    numbers = (whole_number(first), whole_number(second))
    return (numbers[0] or 0, numbers[1] or 0) if None not in numbers else (0, 0)


def _parse_keep_alive_s(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        seconds = whole_number(value)
        if name.lower() == "timeout" and seconds is not None:
            return float(seconds)
    return None


def _parse_server_load(text: str) -> ReportedLoad | None:
    numbers = [whole_number(part.strip()) for part in text.split(",", 3)]
    if len(numbers) != 3 or None in numbers:
        return None
    return ReportedLoad(*(number or 0 for number in numbers))
