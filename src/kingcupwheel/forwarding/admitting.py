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
from kingcupwheel.forwarding.requests import ForwardRequest
from kingcupwheel.forwarding.requests import fingerprint
from kingcupwheel.forwarding.times import times_of
from kingcupwheel.platform.headers import read_request_headers


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.forwarding.configuration import Configuration
    from kingcupwheel.forwarding.configuration import ForwardRoute
    from kingcupwheel.forwarding.configuration import KeyHolder

# When a caller is asked back by an entry that knows too little, in seconds: the store
# is asked again within that.
_UNKNOWING_RETRY_S = 0.3
_HEADER_OVERHEAD = 4


class Knowledge(NamedTuple):
    """The configuration to use and how old the knowledge of it is.

    ``trusted_s`` is how old it may be for a request with a key, ``denying_s`` for
    telling a caller that its route or key does not exist.
    """

    configuration: Configuration | None
    age_s: float
    trusted_s: float
    denying_s: float


class Received(NamedTuple):
    """A request as it was read; header names are in lower case."""

    id: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    at: float


def admit(received: Received, knowledge: Knowledge) -> ForwardRequest | Refusal:
    """Return what is to be forwarded, or the refusal that is final."""
    configuration = knowledge.configuration
    if configuration is None:
        return NO_MANIFEST._replace(retry_after_s=_UNKNOWING_RETRY_S)
    limits = configuration.limits
    if _header_bytes(received) > limits.max_header_bytes:
        return HEADERS_TOO_LARGE
    if len(received.body) > limits.max_body_bytes:
        return BODY_TOO_LARGE
    host = received.headers.get("host", "").rsplit(":", 1)[0].lower()
    path = received.target.partition("?")[0]
    route = configuration.find_route(host, path)
    if route is None:
        return _denied(NO_ROUTE, knowledge)
    head = read_request_headers(received.headers)
    holder: KeyHolder | None = None
    if configuration.has_organisations and not route.allows_anonymous:
        if knowledge.age_s > knowledge.trusted_s:
            return _too_old(knowledge)
        holder = configuration.find_key_holder(head.key)
        if holder is None:
            return _denied(BAD_KEY, knowledge)
    organisation = "" if holder is None else holder.organisation
    priority = route.priority
    if holder is not None and holder.priority is not None:
        priority = holder.priority
    return ForwardRequest(
        id=received.id,
        route=route,
        service=_service(route),
        organisation=organisation,
        priority=priority,
        method=received.method,
        target=received.target,
        headers=received.headers,
        head=head,
        body=received.body,
        fingerprint=fingerprint(organisation, received.target, received.body),
        received_at=received.at,
        times=times_of(route, received.at, head.wait_s),
        version=configuration.version,
        version_age_s=knowledge.age_s,
    )


def _too_old(knowledge: Knowledge) -> Refusal:
    """Refuse a request with a key that may have been taken away meanwhile.

    Failure: an entry that is cut off from the store does not hear that a key is gone.
    Symptom: the key works on. What is older than the time within which a key must stop
    working proves nothing, wherever it came from.
    """
    message = (
        f"The configuration was last known to be the newest {knowledge.age_s:.1f} s "
        "ago, and the key may have been taken away since."
    )
    return Refusal(503, "configuration-too-old", message, _UNKNOWING_RETRY_S)


def _denied(refusal: Refusal, knowledge: Knowledge) -> Refusal:
    """Deny only what the newest configuration denies.

    Failure: a route or key was added that this entry has not heard of. Symptom: a
    caller is told that it does not exist, and does not ask again.
    """
    if knowledge.age_s <= knowledge.denying_s:
        return refusal
    message = f"The configuration known here is {knowledge.age_s:.1f} s old."
    return Refusal(503, "configuration-too-old", message, _UNKNOWING_RETRY_S)


def _service(route: ForwardRoute) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0].service


def _header_bytes(received: Received) -> int:
    return sum(
        len(name) + len(value) + _HEADER_OVERHEAD
        for name, value in received.headers.items()
    )
