"""Reads a request and finds its route, organisation and times, or refuses it.

Pure but for the choice of a service where a route has several.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.entry.refusals import BAD_KEY
from kingcupwheel.entry.refusals import BODY_TOO_LARGE
from kingcupwheel.entry.refusals import HEADERS_TOO_LARGE
from kingcupwheel.entry.refusals import NO_MANIFEST
from kingcupwheel.entry.refusals import NO_ROUTE
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.deadlines import deadlines_for
from kingcupwheel.forwarding.requests import ForwardRequest
from kingcupwheel.forwarding.requests import request_fingerprint
from kingcupwheel.platform.headers import read_request_headers


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.forwarding.configuration import Configuration
    from kingcupwheel.forwarding.configuration import ForwardRoute
    from kingcupwheel.forwarding.configuration import KeyHolder

# When a caller is asked back by an entry that knows too little, in seconds: the store
# is asked again within that.
_STALE_RETRY_AFTER_S = 0.3
_HEADER_OVERHEAD_BYTES = 4


class ConfigurationSnapshot(NamedTuple):
    """The configuration to use and how old the knowledge of it is.

    ``trusted_s`` is how old it may be for a request with a key, ``denying_s`` for
    telling a caller that its route or key does not exist.
    """

    configuration: Configuration | None
    age_s: float
    max_age_with_key_s: float
    max_age_to_deny_s: float


class ReceivedRequest(NamedTuple):
    """A request as it was read; header names are in lower case."""

    id: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    received_at: float


def admit_request(
    received: ReceivedRequest, snapshot: ConfigurationSnapshot
) -> ForwardRequest | Refusal:
    """Return what is to be forwarded, or the refusal that is final."""
    configuration = snapshot.configuration
    if configuration is None:
        return NO_MANIFEST._replace(retry_after_s=_STALE_RETRY_AFTER_S)
    limits = configuration.limits
    if _header_bytes(received) > limits.max_header_bytes:
        return HEADERS_TOO_LARGE
    if len(received.body) > limits.max_body_bytes:
        return BODY_TOO_LARGE
    host = received.headers.get("host", "").rsplit(":", 1)[0].lower()
    path = received.target.partition("?")[0]
    route = configuration.find_route(host, path)
    if route is None:
        return _denial_if_fresh(NO_ROUTE, snapshot)
    head = read_request_headers(received.headers)
    organisation_key: KeyHolder | None = None
    if configuration.has_organisations and not route.allows_anonymous:
        if snapshot.age_s > snapshot.max_age_with_key_s:
            return _refusal_of_stale_key(snapshot)
        organisation_key = configuration.find_key_holder(head.api_key)
        if organisation_key is None:
            return _denial_if_fresh(BAD_KEY, snapshot)
    organisation = "" if organisation_key is None else organisation_key.organisation
    priority = route.priority
    if organisation_key is not None and organisation_key.priority is not None:
        priority = organisation_key.priority
    return ForwardRequest(
        id=received.id,
        route=route,
        service=_choose_service(route),
        organisation=organisation,
        priority=priority,
        method=received.method,
        target=received.target,
        headers=received.headers,
        head=head,
        body=received.body,
        fingerprint=request_fingerprint(organisation, received.target, received.body),
        received_at=received.received_at,
        deadlines=deadlines_for(route, received.received_at, head.timeout_s),
        version=configuration.version,
        version_age_s=snapshot.age_s,
    )


def _refusal_of_stale_key(snapshot: ConfigurationSnapshot) -> Refusal:
    """Refuse a request with a key that may have been taken away meanwhile.

    Failure: an entry that is cut off from the store does not hear that a key is gone.
    Symptom: the key works on. What is older than the time within which a key must stop
    working proves nothing, wherever it came from.
    """
    message = (
        f"The configuration was last known to be the newest {snapshot.age_s:.1f} s "
        "ago, and the key may have been taken away since."
    )
    return Refusal(503, "configuration-too-old", message, _STALE_RETRY_AFTER_S)


def _denial_if_fresh(refusal: Refusal, snapshot: ConfigurationSnapshot) -> Refusal:
    """Deny only what the newest configuration denies.

    Failure: a route or key was added that this entry has not heard of. Symptom: a
    caller is told that it does not exist, and does not ask again.
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
