"""Turns an HTTP request into a ``CallerRequest``, or says what is wrong with it."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.entry.caller_requests import CallerRequest
from kingcupwheel.entry.caller_requests import compute_fingerprint
from kingcupwheel.entry.refusals import API_KEY_MISSING
from kingcupwheel.entry.refusals import API_KEY_UNKNOWN
from kingcupwheel.entry.refusals import BAD_METHOD
from kingcupwheel.entry.refusals import BODY_TOO_LARGE
from kingcupwheel.entry.refusals import HEADERS_TOO_LARGE
from kingcupwheel.entry.refusals import IDEMPOTENCY_KEY_MISSING
from kingcupwheel.entry.refusals import NO_ROUTE
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.entry.refusals import build_bad_request_refusal
from kingcupwheel.manifest.routing import MatchedRoute
from kingcupwheel.manifest.routing import MethodNotAllowed
from kingcupwheel.manifest.routing import NoRoute
from kingcupwheel.manifest.schema import GroupKind
from kingcupwheel.utils.http_headers import HOP_BY_HOP
from kingcupwheel.utils.http_headers import OF_ONE_REQUEST


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.manifest.compiled_manifest import CompiledManifest
    from kingcupwheel.manifest.schema import Organisation

_BEARER = "bearer "
_KEY_HEADER = "idempotency-key"
_MAX_IDEMPOTENCY_KEY = 255
# Characters of a prompt that name its prefix: the length of a system prompt's start,
# which callers of one application share.
_PREFIX_CHARACTERS = 256
# Headers that belong to one connection, or to the entry alone, and are not passed on.
_NOT_PASSED_ON = HOP_BY_HOP | OF_ONE_REQUEST | {"authorization"}


class HttpRequest(NamedTuple):
    """What the HTTP layer read; ``headers`` have lower-case names."""

    method: str
    host: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


class Prompt(NamedTuple):
    """What of a model request's body the entry looks at."""

    streamed: bool
    max_tokens: int | None
    prefix: str


_NO_PROMPT = Prompt(False, None, "")


def organisation_of(
    headers: Mapping[str, str], in_force: CompiledManifest
) -> Result[Organisation, Refusal]:
    """Return the organisation that the bearer key belongs to."""
    authorization = headers.get("authorization", "")
    if not authorization.lower().startswith(_BEARER):
        return Error(API_KEY_MISSING)
    key = authorization[len(_BEARER) :].strip()
    organisation = in_force.find_organisation_by_key(key)
    return Error(API_KEY_UNKNOWN) if organisation is None else Ok(organisation)


def check_sizes(
    headers: Mapping[str, str], *, header_bytes: int, body_bytes: int
) -> Refusal | None:
    """Return a refusal of what is too large, before any of the body is read."""
    size = sum(len(name) + len(value) for name, value in headers.items())
    if size > header_bytes:
        return HEADERS_TOO_LARGE
    length = headers.get("content-length", "0")
    if not length.isdecimal():
        return build_bad_request_refusal("Content-Length is no number.")
    return BODY_TOO_LARGE if int(length) > body_bytes else None


def parse(
    http: HttpRequest,
    organisation: Organisation,
    in_force: CompiledManifest,
    *,
    request_id: str,
    now: float,
) -> Result[CallerRequest, Refusal]:
    """Return the request, checked against the manifest in force; ``now`` monotonic."""
    found = _route(http, in_force)
    if isinstance(found, Refusal):
        return Error(found)
    route, group = found
    deadline = _deadline(http.headers.get("kingcupwheel-deadline", ""))
    if isinstance(deadline, Refusal):
        return Error(deadline)
    prompt = _prompt(http.body) if group.kind is GroupKind.ENGINE else _NO_PROMPT
    if isinstance(prompt, Refusal):
        return Error(prompt)
    path = f"{http.path}?{http.query}" if http.query else http.path
    digest = hashlib.sha256(http.body).hexdigest()
    return Ok(
        CallerRequest(
            request_id=request_id,
            organisation=organisation,
            route=route,
            group=group,
            method=http.method,
            path=path,
            headers=_passed_on(http.headers),
            body=http.body,
            body_digest=digest,
            fingerprint=compute_fingerprint(organisation.name, http.path, digest),
            prefix_key=_prefix_key(organisation.name, prompt.prefix),
            idempotency_key=http.headers.get(_KEY_HEADER, ""),
            is_streamed=prompt.streamed,
            max_tokens=prompt.max_tokens,
            received_at=now,
            deadline_s=route.deadline_s if deadline is None else deadline,
            has_own_deadline=deadline is not None,
            manifest_version=in_force.version,
        )
    )


def _route(http: HttpRequest, in_force: CompiledManifest) -> MatchedRoute | Refusal:
    match in_force.find_route(http.host, http.path, http.method):
        case NoRoute():
            return NO_ROUTE
        case MethodNotAllowed():
            return BAD_METHOD
        case MatchedRoute() as found:
            return _key_problem(http, found) or found


def _key_problem(http: HttpRequest, found: MatchedRoute) -> Refusal | None:
    key = http.headers.get(_KEY_HEADER, "")
    if not key and not found.route.repeatable:
        return IDEMPOTENCY_KEY_MISSING
    if len(key) > _MAX_IDEMPOTENCY_KEY:
        return build_bad_request_refusal(
            "Idempotency-Key is longer than 255 characters."
        )
    return None


def _deadline(text: str) -> float | None | Refusal:
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        return build_bad_request_refusal(
            "Kingcupwheel-Deadline is no number of seconds."
        )
    if not 0 < seconds < 86_400:
        return build_bad_request_refusal(
            "Kingcupwheel-Deadline is not between 0 and 86400 seconds."
        )
    return seconds


def _prompt(body: bytes) -> Prompt | Refusal:
    if not body:
        return _NO_PROMPT
    try:
        decoded = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return build_bad_request_refusal("The body is no JSON.")
    if not isinstance(decoded, dict):
        return build_bad_request_refusal("The body is no JSON object.")
    max_tokens = decoded.get("max_tokens")
    limit = max_tokens if isinstance(max_tokens, int) and max_tokens > 0 else None
    return Prompt(decoded.get("stream") is True, limit, _prefix_of(decoded))


def _prefix_of(decoded: dict[str, Any]) -> str:
    prompt = decoded.get("prompt")
    if not isinstance(prompt, str):
        messages = decoded.get("messages")
        first = messages[0] if isinstance(messages, list) and messages else ""
        prompt = str(first.get("content", "")) if isinstance(first, dict) else ""
    return prompt[:_PREFIX_CHARACTERS]


def _prefix_key(organisation: str, prefix: str) -> str:
    if not prefix:
        return ""
    return hashlib.sha256(f"{organisation}\0{prefix}".encode()).hexdigest()[:16]


def _passed_on(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value) for name, value in headers.items() if name not in _NOT_PASSED_ON
    )
