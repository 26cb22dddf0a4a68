"""Admits a request with its route, organisation and deadlines, or refuses it.

Deterministic except for the choice of a service if the route has several.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.entry.refusals import API_KEY_UNKNOWN
from kingcupwheel.entry.refusals import BODY_TOO_LARGE
from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.entry.refusals import HEADERS_TOO_LARGE
from kingcupwheel.entry.refusals import NO_MANIFEST
from kingcupwheel.entry.refusals import NO_ROUTE
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.deadlines import deadlines_for
from kingcupwheel.forwarding.requests import ForwardRequest
from kingcupwheel.forwarding.requests import compute_part_keys
from kingcupwheel.forwarding.requests import request_fingerprint
from kingcupwheel.forwarding.retry_guards import with_jitter
from kingcupwheel.platform.headers import read_request_headers
from kingcupwheel.utils.http_headers import is_body_truncated


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.entry.body_memory import RequestBody
    from kingcupwheel.forwarding.configuration import Configuration
    from kingcupwheel.forwarding.configuration import ForwardRoute
    from kingcupwheel.forwarding.configuration import KeyHolder
    from kingcupwheel.forwarding.configuration import RequestLimits

# Retry delay for callers of an entry whose configuration is missing or outdated. The
# entry reads the store again within that time.
_STALE_RETRY_AFTER_S = 0.3
# The colon, the space and the line end of one header.
_HEADER_OVERHEAD_BYTES = 4


class ConfigurationSnapshot(NamedTuple):
    """The current configuration and the time since it was known to be the newest.

    ``max_age_with_key_s`` is the greatest age at which a request with a key is
    admitted, ``max_age_to_deny_s`` that at which an unknown route or key is denied.
    """

    configuration: Configuration | None
    age_s: float
    max_age_with_key_s: float
    max_age_to_deny_s: float


class ReceivedRequest(NamedTuple):
    """A request as read from the caller; header names are in lower case.

    ``body_refusal`` is why its body was not read, None if it was.
    """

    id: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: RequestBody
    received_at: float
    body_refusal: Refusal | None = None


def admit_request(
    received: ReceivedRequest, snapshot: ConfigurationSnapshot
) -> ForwardRequest | Refusal:
    """Return the request to forward, or the final refusal."""
    configuration = snapshot.configuration
    if configuration is None:
        return NO_MANIFEST._replace(retry_after_s=_STALE_RETRY_AFTER_S)
    limits = configuration.limits
    if _header_bytes(received) > limits.max_header_bytes:
        return HEADERS_TOO_LARGE
    data = received.body.data or b""
    body_refusal = _find_body_refusal(received, limits)
    if body_refusal in (BODY_TOO_LARGE, CALLER_LEFT):
        return body_refusal
    host = received.headers.get("host", "").rsplit(":", 1)[0].lower()
    path = received.target.partition("?")[0]
    route = configuration.find_route(host, path)
    if route is None:
        return _denial_if_fresh(NO_ROUTE, snapshot)
    head = read_request_headers(received.headers)
    key_holder: KeyHolder | None = None
    if configuration.has_organisations and not route.allows_anonymous:
        if snapshot.age_s > snapshot.max_age_with_key_s:
            return _refusal_of_stale_key(snapshot)
        key_holder = configuration.find_key_holder(head.api_key)
        if key_holder is None:
            return _denial_if_fresh(API_KEY_UNKNOWN, snapshot)
    if body_refusal is not None:
        return _with_jitter(body_refusal, received.id)
    organisation = "" if key_holder is None else key_holder.organisation
    priority = route.priority
    if key_holder is not None and key_holder.priority is not None:
        priority = key_holder.priority
    service = _choose_service(route)
    return ForwardRequest(
        id=received.id,
        route=route,
        service=service,
        organisation=organisation,
        priority=priority,
        method=received.method,
        target=received.target,
        headers=received.headers,
        head=head,
        body=received.body,
        fingerprint=request_fingerprint(
            organisation, host, received.method, received.target, data
        ),
        part_keys=compute_part_keys(service, head.model, head.prompt_parts),
        received_at=received.received_at,
        deadlines=deadlines_for(route, received.received_at, head.timeout_s),
        version=configuration.version,
        version_age_s=snapshot.age_s,
    )


def _find_body_refusal(
    received: ReceivedRequest, limits: RequestLimits
) -> Refusal | None:
    data = received.body.data or b""
    if received.body_refusal is not None:
        return received.body_refusal
    if len(data) > limits.max_body_bytes:
        return BODY_TOO_LARGE
    return CALLER_LEFT if is_body_truncated(received.headers, data) else None


def _with_jitter(refusal: Refusal, request_id: str) -> Refusal:
    retry_s = with_jitter(refusal.retry_after_s, request_id)
    return refusal._replace(retry_after_s=retry_s)


def _refusal_of_stale_key(snapshot: ConfigurationSnapshot) -> Refusal:
    """Return the refusal of a request whose key may have been revoked meanwhile.

    An entry that is cut off from the store does not learn that a key was revoked, and
    would go on accepting it. A configuration older than the time within which a revoked
    key must stop working proves nothing, whatever its source.
    """
    message = (
        f"The configuration was last known to be the newest {snapshot.age_s:.1f} s "
        "ago, and the key may have been taken away since."
    )
    return Refusal(503, "configuration-too-old", message, _STALE_RETRY_AFTER_S)


def _denial_if_fresh(refusal: Refusal, snapshot: ConfigurationSnapshot) -> Refusal:
    """Return the denial if the configuration is recent, else a retryable refusal.

    An entry with an outdated configuration may not know a new route or key. A caller
    that is denied does not retry.
    """
    if snapshot.age_s <= snapshot.max_age_to_deny_s:
        return refusal
    message = f"The configuration known here is {snapshot.age_s:.1f} s old."
    return Refusal(503, "configuration-too-old", message, _STALE_RETRY_AFTER_S)


def _choose_service(route: ForwardRoute) -> str:
    if len(route.traffic_split) == 1:
        return route.traffic_split[0].service
    weights = [share.weight for share in route.traffic_split]
    return random.choices(route.traffic_split, weights)[0].service


def _header_bytes(received: ReceivedRequest) -> int:
    return sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in received.headers.items()
    )
