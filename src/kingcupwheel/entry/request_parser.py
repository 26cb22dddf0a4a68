"""Parses an HTTP request into a ``CallerRequest`` or a refusal."""

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
from kingcupwheel.entry.caller_requests import compute_prompt_part_keys
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
from kingcupwheel.utils.http_headers import HOP_BY_HOP_HEADERS
from kingcupwheel.utils.http_headers import PER_REQUEST_HEADERS


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.manifest.compiled_manifest import CompiledManifest
    from kingcupwheel.manifest.schema import Organisation

_BEARER_PREFIX = "bearer "
_IDEMPOTENCY_KEY_HEADER = "idempotency-key"
_MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
# Leading characters of a prompt that make up its prefix: the start of a system prompt,
# which callers of one application share.
_MAX_PREFIX_CHARACTERS = 256
# Headers that apply to one connection or to the entry only.
_UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | PER_REQUEST_HEADERS | {"authorization"}


class HttpRequest(NamedTuple):
    """An HTTP request; the names in ``headers`` are lower-case."""

    method: str
    host: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


class PromptInfo(NamedTuple):
    """Fields of a model request's body that the entry uses."""

    is_streamed: bool
    max_tokens: int | None
    prefix: str
    model: str = ""
    parts: tuple[bytes, ...] = ()


_NO_PROMPT = PromptInfo(False, None, "")


def authenticate_organisation(
    headers: Mapping[str, str], manifest: CompiledManifest
) -> Result[Organisation, Refusal]:
    """Return the organisation of the API key, or a refusal."""
    authorization = headers.get("authorization", "")
    if not authorization.lower().startswith(_BEARER_PREFIX):
        return Error(API_KEY_MISSING)
    key = authorization[len(_BEARER_PREFIX) :].strip()
    organisation = manifest.find_organisation_by_key(key)
    return Error(API_KEY_UNKNOWN) if organisation is None else Ok(organisation)


def check_sizes(
    headers: Mapping[str, str], *, header_bytes: int, body_bytes: int
) -> Refusal | None:
    """Return a refusal if headers or body are too large; called before it is read."""
    size = sum(len(name) + len(value) for name, value in headers.items())
    if size > header_bytes:
        return HEADERS_TOO_LARGE
    length = headers.get("content-length", "0")
    if not length.isdecimal():
        return build_bad_request_refusal("Content-Length is no number.")
    return BODY_TOO_LARGE if int(length) > body_bytes else None


def parse_request(
    http_request: HttpRequest,
    organisation: Organisation,
    manifest: CompiledManifest,
    *,
    request_id: str,
    received_at: float,
) -> Result[CallerRequest, Refusal]:
    """Return the request, checked against the manifest in force, or a refusal.

    ``received_at`` is in seconds of the monotonic clock.
    """
    route_match = _find_route(http_request, manifest)
    if isinstance(route_match, Refusal):
        return Error(route_match)
    route, group = route_match
    deadline = _parse_deadline(http_request.headers.get("kingcupwheel-deadline", ""))
    if isinstance(deadline, Refusal):
        return Error(deadline)
    prompt = (
        _parse_prompt(http_request.body)
        if group.kind is GroupKind.ENGINE
        else _NO_PROMPT
    )
    if isinstance(prompt, Refusal):
        return Error(prompt)
    path = (
        f"{http_request.path}?{http_request.query}"
        if http_request.query
        else http_request.path
    )
    digest = hashlib.sha256(http_request.body).hexdigest()
    return Ok(
        CallerRequest(
            request_id=request_id,
            organisation=organisation,
            route=route,
            group=group,
            method=http_request.method,
            path=path,
            headers=_build_forwarded_headers(http_request.headers),
            body=http_request.body,
            body_digest=digest,
            fingerprint=compute_fingerprint(
                organisation.name, http_request.host, http_request.method, path, digest
            ),
            prefix_key=_compute_prefix_key(organisation.name, prompt.prefix),
            idempotency_key=http_request.headers.get(_IDEMPOTENCY_KEY_HEADER, ""),
            is_streamed=prompt.is_streamed,
            max_tokens=prompt.max_tokens,
            received_at=received_at,
            deadline_s=route.deadline_s if deadline is None else deadline,
            has_own_deadline=deadline is not None,
            manifest_version=manifest.version,
            part_keys=compute_prompt_part_keys(group.name, prompt.model, prompt.parts),
        )
    )


def _find_route(
    http_request: HttpRequest, manifest: CompiledManifest
) -> MatchedRoute | Refusal:
    match manifest.find_route(
        http_request.host, http_request.path, http_request.method
    ):
        case NoRoute():
            return NO_ROUTE
        case MethodNotAllowed():
            return BAD_METHOD
        case MatchedRoute() as route_match:
            return _check_idempotency_key(http_request, route_match) or route_match


def _check_idempotency_key(
    http_request: HttpRequest, route_match: MatchedRoute
) -> Refusal | None:
    key = http_request.headers.get(_IDEMPOTENCY_KEY_HEADER, "")
    if not key and not route_match.route.repeatable:
        return IDEMPOTENCY_KEY_MISSING
    if len(key) > _MAX_IDEMPOTENCY_KEY_CHARACTERS:
        return build_bad_request_refusal(
            "Idempotency-Key is longer than 255 characters."
        )
    return None


def _parse_deadline(text: str) -> float | None | Refusal:
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


def _parse_prompt(body: bytes) -> PromptInfo | Refusal:
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
    return PromptInfo(
        decoded.get("stream") is True,
        limit,
        _extract_prefix(decoded),
        str(decoded.get("model", "")),
        _extract_parts(decoded),
    )


def _extract_parts(decoded: dict[str, Any]) -> tuple[bytes, ...]:
    """Return the parts of a prompt: its messages, or the items of a list."""
    for name in ("messages", "prompt"):
        parts = decoded.get(name)
        if isinstance(parts, list):
            return tuple(msgspec.json.encode(part, order="sorted") for part in parts)
    return ()


def _extract_prefix(decoded: dict[str, Any]) -> str:
    prompt = decoded.get("prompt")
    if not isinstance(prompt, str):
        messages = decoded.get("messages")
        first = messages[0] if isinstance(messages, list) and messages else ""
        prompt = str(first.get("content", "")) if isinstance(first, dict) else ""
    return prompt[:_MAX_PREFIX_CHARACTERS]


def _compute_prefix_key(organisation: str, prefix: str) -> str:
    if not prefix:
        return ""
    return hashlib.sha256(f"{organisation}\0{prefix}".encode()).hexdigest()[:16]


def _build_forwarded_headers(
    headers: Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in _UNFORWARDED_HEADERS
    )
