"""The operators' configuration as entries use it: routes, services, keys, limits.

Times are in seconds. Tokens are counted as the engines count them.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Mapping


class ServiceShare(NamedTuple):
    """A service of a route and its weight in the route's traffic split."""

    service: str
    weight: float


class ForwardRoute(NamedTuple):
    """Settings of the requests under one host and path prefix.

    ``is_idempotent`` means that a request may run more than once, ``is_resumable`` that
    its stream may be resumed at another server. ``priority`` 0 is the most urgent.
    ``max_servers`` bounds the servers that may run one request. ``timeout_s`` bounds
    the time of a request, ``target_latency_s`` is the latency of an answer on time.
    """

    name: str
    host: str
    path_prefix: str
    traffic_split: tuple[ServiceShare, ...]
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

    ``placements_per_rank`` is the number of experts that a rank holds in one layer.
    ``max_new_experts`` bounds the experts new to a rank in one layer of one change;
    ``expert_copy_s`` is the time in which a rank copies the weights of one expert.
    ``max_event_gap_s`` is the longest acceptable pause between two events of its
    streams, 0 if no route sets one.
    """

    layer_count: int
    expert_count: int
    placements_per_rank: int
    max_new_experts: int
    expert_copy_s: float
    max_event_gap_s: float = 0.0


class Service(NamedTuple):
    """A set of backend servers; ``engine`` is None for plain services."""

    name: str
    engine: EngineShape | None


class RequestLimits(NamedTuple):
    """Size limits of requests and the idle timeout of callers' connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0


class KeyHolder(NamedTuple):
    """The organisation that holds a key; ``priority`` is None if none is set."""

    organisation: str
    priority: int | None


class Configuration(NamedTuple):
    """One version of the configuration; versions only increase.

    ``raw`` is the stored encoding, which is sent to peers unchanged.
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
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_engine(self, service: str) -> EngineShape | None:
        """Return a service's engine, with the smallest event gap of its routes."""
        found = self.services_by_name.get(service)
        if found is None or found.engine is None:
            return None
        gaps = [
            route.max_event_gap_s
            for routes in self.routes_by_host.values()
            for route in routes
            if route.max_event_gap_s > 0
            and any(one.service == service for one in route.traffic_split)
        ]
        return found.engine._replace(max_event_gap_s=min(gaps, default=0.0))

    def find_key_holder(self, key: str) -> KeyHolder | None:
        """Return the holder of a bearer key."""
        return self.key_holders_by_digest.get(key_digest(key))


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is looked up; keys are not stored."""
    return hashlib.sha256(key.encode()).digest()


def group_routes_by_host(
    routes: tuple[ForwardRoute, ...],
) -> dict[str, tuple[ForwardRoute, ...]]:
    """Group routes by host, longest prefix first."""
    by_host: dict[str, list[ForwardRoute]] = {}
    for route in sorted(routes, key=lambda route: -len(route.path_prefix)):
        by_host.setdefault(route.host, []).append(route)
    return {host: tuple(found) for host, found in by_host.items()}
