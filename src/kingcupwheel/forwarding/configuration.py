"""The operators' configuration as entries use it: routes, services, keys, limits.

Times are seconds; tokens are counted as the engines count them.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Mapping


class ServiceShare(NamedTuple):
    """A service and its weight among those that share a route's requests."""

    service: str
    weight: float


class ForwardRoute(NamedTuple):
    """What operators say of the requests under one host and path prefix.

    ``may_rerun`` tells that a request may run more than once, ``resumable`` that its
    stream may be taken up at another server. ``priority`` 0 is the most urgent.
    ``max_servers`` bounds the servers that may run one request. ``answer_s`` is the
    longest that a request is kept, ``aim_s`` when an answer is on time.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    is_idempotent: bool
    is_streamed: bool
    is_resumable: bool
    timeout_s: float
    target_latency_s: float
    max_event_gap_s: float
    priority: int
    max_servers: int
    allows_anonymous: bool


class EngineShape(NamedTuple):
    """An expert-parallel engine of a service, as far as expert maps need it.

    ``spare`` bounds the experts new to a rank in one layer of one change;
    ``copy_s`` is how long a rank copies the weights of one expert. ``gap_s`` is the
    longest good pause between two events of its streams, 0 if no route tells one.
    """

    layer_count: int
    expert_count: int
    places: int
    max_new_experts: int
    expert_copy_s: float
    max_event_gap_s: float = 0.0


class Service(NamedTuple):
    """A set of backend servers; ``engine`` is None for plain services."""

    name: str
    engine: EngineShape | None


class RequestLimits(NamedTuple):
    """What a caller may send, and how long its connection may stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0


class KeyHolder(NamedTuple):
    """The organisation that holds a key; ``priority`` is None if it names none."""

    organisation: str
    priority: int | None


class Configuration(NamedTuple):
    """One version of the configuration; versions only rise.

    ``raw`` is the version as the store holds it, to hand it to peers.
    """

    version: int
    routes_by_host: Mapping[str, tuple[ForwardRoute, ...]]
    services_by_name: Mapping[str, Service]
    key_holders_by_digest: Mapping[bytes, KeyHolder]
    has_organisations: bool
    limits: RequestLimits
    raw: bytes

    def find_route(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_engine(self, service: str) -> EngineShape | None:
        """Return a service's engine, with the shortest pause that a route asks for."""
        found = self.services_by_name.get(service)
        if found is None or found.engine is None:
            return None
        gaps = [
            route.max_event_gap_s
            for routes in self.routes_by_host.values()
            for route in routes
            if route.max_event_gap_s > 0
            and any(one.service == service for one in route.shares)
        ]
        return found.engine._replace(max_event_gap_s=min(gaps, default=0.0))

    def find_key_holder(self, key: str) -> KeyHolder | None:
        """Return who holds the bearer key."""
        return self.key_holders_by_digest.get(key_digest(key))


def key_digest(key: str) -> bytes:
    """Return what a key is looked up by; keys themselves are not kept."""
    return hashlib.sha256(key.encode()).digest()


def group_routes_by_host(
    routes: tuple[ForwardRoute, ...],
) -> dict[str, tuple[ForwardRoute, ...]]:
    """Group routes by host, those with the longest prefix first."""
    by_host: dict[str, list[ForwardRoute]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        by_host.setdefault(route.host, []).append(route)
    return {host: tuple(found) for host, found in by_host.items()}
