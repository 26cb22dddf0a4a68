"""Parser and builder of HTTP headers on the users' platform."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from kingcupwheel.forwarding.http_metadata import AnswerHead
from kingcupwheel.forwarding.http_metadata import CallerMetadata
from kingcupwheel.forwarding.http_metadata import ReportedLoad
from kingcupwheel.forwarding.http_metadata import ServerNotice
from kingcupwheel.utils.http_headers import HOP_BY_HOP_HEADERS
from kingcupwheel.utils.http_headers import PER_REQUEST_HEADERS
from kingcupwheel.utils.integer_parsing import parse_non_negative_int


if TYPE_CHECKING:
    from collections.abc import Mapping

    from urllib3 import HTTPHeaderDict

    from kingcupwheel.forwarding.http_metadata import ServerRequestMetadata

# Identifies one send of a caller; a retry by the caller has a new id.
_ATTEMPT_ID = "x-attempt-id"
_DEADLINE_MS = "x-deadline-ms"
_EXPECT_INSTANCE = "x-expect-instance"
_TENANT = "x-tenant"
_REQUEST_PRIORITY = "x-request-priority"
_LAST_EVENT_ID = "last-event-id"
_TOKEN_USAGE = "x-token-usage"
_LENGTH_HINT = "x-length-hint"
_PROMPT_PREFIX = "x-prompt-prefix"
_MODEL = "x-model"
_NOT_EXECUTED = "x-not-executed"
_RESPONSE_SIGNATURE = "x-response-signature"
_SERVER_LOAD = "x-server-load"
_AT_SERVER = "at-server"
_SERVER_LEAVING = "server-leaving"
_RETRY_AFTER = "retry-after"
_SERVER_LIMIT = "server-limit"
_PART_ID_PATTERN = re.compile(r"[0-9a-f]{1,64}", re.ASCII)
# Parts of one prompt that are read. More of them would let one caller fill the tables
# that are kept of them.
_MAX_PROMPT_PARTS = 16
_DECIMAL_PATTERN = re.compile(r"[0-9]+(\.[0-9]+)?", re.ASCII)

# Set by the system, or not passed on: the caller's own values are always removed.
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
_REMOVED_FROM_REQUESTS = _CONTROLLED_HEADERS | HOP_BY_HOP_HEADERS | PER_REQUEST_HEADERS
_REMOVED_FROM_RESPONSES = HOP_BY_HOP_HEADERS | {"content-length", "date", "server"}
_MS_PER_S = 1000.0
_MAX_PRIORITY = 9
# A larger rate is no limit that a server can mean.
_MAX_RATE_LIMIT = 1_000_000.0


def read_request_headers(headers: Mapping[str, str]) -> CallerMetadata:
    """Return the parsed headers of a request; names are in lower case."""
    key = headers.get("authorization", "")
    prompt_tokens, answer_tokens = _parse_token_usage(headers.get(_TOKEN_USAGE, ""))
    hint = parse_non_negative_int(headers.get(_LENGTH_HINT, ""))
    if hint is not None:
        answer_tokens = min(answer_tokens, hint) if answer_tokens else hint
    return CallerMetadata(
        attempt_id=headers.get(_ATTEMPT_ID, ""),
        timeout_s=_parse_deadline_s(headers.get(_DEADLINE_MS, "")),
        api_key=key[7:] if key[:7].lower() == "bearer " else "",
        last_event_id=headers.get(_LAST_EVENT_ID, ""),
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        prompt_parts=_parse_prompt_parts(headers.get(_PROMPT_PREFIX, "")),
        model=headers.get(_MODEL, ""),
    )


def read_attempt_id(headers: Mapping[str, str]) -> str:
    """Return the caller's id of this send, empty if it has none."""
    return headers.get(_ATTEMPT_ID, "")


def build_server_headers(
    headers: Mapping[str, str], call: ServerRequestMetadata
) -> dict[str, str]:
    """Return the headers of the request to a server, from the caller's ``headers``."""
    sent = {
        name: value
        for name, value in headers.items()
        if name not in _REMOVED_FROM_REQUESTS
    }
    sent["host"] = headers.get("host", "")
    sent[_DEADLINE_MS] = str(max(1, int(call.time_left_s * _MS_PER_S)))
    sent[_EXPECT_INSTANCE] = call.instance
    if call.organisation:
        sent[_TENANT] = call.organisation
    if call.priority is not None:
        sent[_REQUEST_PRIORITY] = str(max(0, min(_MAX_PRIORITY, call.priority)))
    if call.last_event_id:
        sent[_LAST_EVENT_ID] = call.last_event_id
    return sent


def read_response_headers(status: int, headers: HTTPHeaderDict) -> AnswerHead:
    """Return the parsed status and headers of a server's response."""
    passed = tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in _REMOVED_FROM_RESPONSES
    )
    length = headers.get("content-length", "")
    is_not_run = _NOT_EXECUTED in headers or status == 421
    return AnswerHead(
        status=status,
        attempt_id=headers.get(_ATTEMPT_ID, ""),
        is_signed=_RESPONSE_SIGNATURE in headers,
        is_rejection=is_not_run,
        is_other_instance=status == 421,
        faulty_server=headers.get(_AT_SERVER, ""),
        length=parse_non_negative_int(length),
        is_framed=length != "" or "transfer-encoding" in headers,
        closes_connection="close" in headers.get("connection", "").lower(),
        idle_timeout_s=_parse_keep_alive_s(headers.get("keep-alive", "")),
        load=_parse_server_load(headers.get(_SERVER_LOAD, "")),
        notice=_read_notice(headers, is_refused=is_not_run and status == 503),
        caller_headers=passed,
    )


def _read_notice(headers: HTTPHeaderDict, *, is_refused: bool) -> ServerNotice:
    leaving = _header_values(headers, _SERVER_LEAVING)
    retry_after = _header_values(headers, _RETRY_AFTER) if is_refused else []
    retry_after_s = _parse_retry_after_s(retry_after)
    limit = _header_values(headers, _SERVER_LIMIT)
    rate_limit = _parse_rate_limit(limit)
    unreadable = []
    if leaving not in ([], ["0"], ["1"]):
        unreadable.append(_SERVER_LEAVING)
    if retry_after and retry_after_s is None:
        unreadable.append(_RETRY_AFTER)
    is_limit_known = not limit or rate_limit is not None
    if not is_limit_known:
        unreadable.append(_SERVER_LIMIT)
    return ServerNotice(
        leaving == ["1"],
        retry_after_s,
        rate_limit,
        is_limit_known,
        tuple(unreadable),
    )


def _header_values(headers: HTTPHeaderDict, name: str) -> list[str]:
    return [value.strip() for value in headers.getlist(name)]


def _parse_retry_after_s(values: list[str]) -> float | None:
    """Return decimal seconds, or None if they are invalid or the header is repeated."""
    return _parse_single_decimal(values)


def _parse_rate_limit(values: list[str]) -> float | None:
    """Return requests per second, or None if the value is invalid or repeated."""
    rate = _parse_single_decimal(values)
    return None if rate is None or rate > _MAX_RATE_LIMIT else rate


def _parse_single_decimal(values: list[str]) -> float | None:
    if len(values) != 1 or _DECIMAL_PATTERN.fullmatch(values[0]) is None:
        return None
    number = float(values[0])
    return number if math.isfinite(number) else None


def _parse_deadline_s(text: str) -> float | None:
    try:
        seconds = float(text) / _MS_PER_S
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None


def _parse_token_usage(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    numbers = (parse_non_negative_int(first), parse_non_negative_int(second))
    return (numbers[0] or 0, numbers[1] or 0) if None not in numbers else (0, 0)


def _parse_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts but the last, which no other request shares.

    Ids that are not hexadecimal are left out, and so are repeated ones.
    """
    shared = text.split(",", _MAX_PROMPT_PARTS + 1)[:-1][:_MAX_PROMPT_PARTS]
    ids = (part.partition(":")[0].strip().lower() for part in shared)
    return tuple(dict.fromkeys(one for one in ids if _PART_ID_PATTERN.fullmatch(one)))


def _parse_keep_alive_s(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        seconds = parse_non_negative_int(value)
        if name.lower() == "timeout" and seconds is not None:
            return float(seconds)
    return None


def _parse_server_load(text: str) -> ReportedLoad | None:
    numbers = [parse_non_negative_int(part.strip()) for part in text.split(",", 3)]
    if len(numbers) != 3 or None in numbers:
        return None
    return ReportedLoad(*(number or 0 for number in numbers))
