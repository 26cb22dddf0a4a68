"""Decoder of the operators' configuration, an object in the users' store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.forwarding.configuration import Configuration
from kingcupwheel.forwarding.configuration import EngineShape
from kingcupwheel.forwarding.configuration import ForwardRoute
from kingcupwheel.forwarding.configuration import KeyHolder
from kingcupwheel.forwarding.configuration import RequestLimits
from kingcupwheel.forwarding.configuration import Service
from kingcupwheel.forwarding.configuration import ServiceShare
from kingcupwheel.forwarding.configuration import group_routes_by_host
from kingcupwheel.forwarding.configuration import key_digest
from kingcupwheel.platform.decoding import decode_json


if TYPE_CHECKING:
    from expression import Result


CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

_MS_PER_S = 1000.0
_BITS_PER_MBIT = 1e6
_BITS_PER_MBYTE = 8e6
# Avoids a division by zero for a configured link speed of 0.
_MIN_LINK_MBPS = 1e-3


class _TrafficSplit(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    host: str
    path_prefix: str
    name: str = ""
    kind: str = "non_idempotent"
    # Exclusive: either all requests go to one service, or they are split.
    service: str = ""
    traffic_split: list[_TrafficSplit] = []
    timeout_ms: float = 8000.0
    target_latency_ms: float = 500.0
    gap_target_ms: float = 0.0
    priority: int = 5
    # Counts the servers that may run a request, not the sends.
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct):
    # Sets of layers with a placement each; expert maps call them layers.
    layers: int = msgspec.field(default=0, name="Sets")
    experts: int = msgspec.field(default=0, name="Experts")
    places: int = msgspec.field(default=0, name="Placements")
    spare: int = msgspec.field(default=0, name="Spare")
    expert_mb: float = msgspec.field(default=0.0, name="ExpertMb")
    # Speed of the link that weights are copied over, not of a machine's link.
    link_mbps: float = msgspec.field(default=1.0, name="LinkMbps")


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def decode_configuration(raw: bytes) -> Result[Configuration, str]:
    """Return the configuration encoded in ``raw``, or why it is invalid."""
    return decode_json(raw, _Configuration).map(
        lambda decoded: _build_configuration(decoded, raw)
    )


def _build_configuration(decoded: _Configuration, raw: bytes) -> Configuration:
    services = (
        Service(item.name, _build_engine_shape(item.engine))
        for item in decoded.services
    )
    limits = decoded.limits
    return Configuration(
        version=decoded.version,
        routes_by_host=group_routes_by_host(tuple(map(_build_route, decoded.routes))),
        services_by_name={service.name: service for service in services},
        key_holders_by_digest=_index_holders(decoded.tenants or []),
        has_organisations=decoded.tenants is not None,
        limits=RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.idle_timeout_ms / _MS_PER_S,
        ),
        raw=raw,
    )


def _build_route(route: _Route) -> ForwardRoute:
    shares = tuple(
        ServiceShare(item.service, item.weight) for item in route.traffic_split
    )
    return ForwardRoute(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        traffic_split=shares or (ServiceShare(route.service, 1.0),),
        is_idempotent=route.kind == "idempotent" or route.resumable,
        is_streamed=route.kind == "streaming",
        is_resumable=route.resumable,
        timeout_s=route.timeout_ms / _MS_PER_S,
        target_latency_s=route.target_latency_ms / _MS_PER_S,
        max_event_gap_s=route.gap_target_ms / _MS_PER_S,
        priority=route.priority,
        max_servers=route.max_attempts,
        allows_anonymous=route.anonymous,
    )


def _build_engine_shape(engine: _Engine | None) -> EngineShape | None:
    if engine is None or not engine.layers:
        return None
    link_mbps = max(engine.link_mbps, _MIN_LINK_MBPS)
    copy_s = engine.expert_mb * _BITS_PER_MBYTE / (link_mbps * _BITS_PER_MBIT)
    return EngineShape(
        engine.layers, engine.experts, engine.places, engine.spare, copy_s
    )


def _index_holders(tenants: list[_Tenant]) -> dict[bytes, KeyHolder]:
    return {
        key_digest(key): KeyHolder(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }
