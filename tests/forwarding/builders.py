"""Test data for forwarding requests to servers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from kingcupwheel.entry.body_memory import RequestBody
from kingcupwheel.forwarding.admission import ConfigurationSnapshot
from kingcupwheel.forwarding.admission import ReceivedRequest
from kingcupwheel.platform.configuration import decode_configuration


if TYPE_CHECKING:
    from kingcupwheel.forwarding.configuration import Configuration


API_KEY = "key-of-org"


def route(**changes: Any) -> dict[str, Any]:
    """Return a route as written in a configuration."""
    found = {
        "Name": "plain",
        "Host": "host.example",
        "PathPrefix": "/plain/",
        "Kind": "idempotent",
        "TimeoutMs": 800,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "Service": "app",
        "MaxAttempts": 2,
    }
    return {**found, **changes}


def routes() -> list[dict[str, Any]]:
    """Return one route of each kind."""
    once = {"Name": "once", "PathPrefix": "/once/", "Kind": "non_idempotent"}
    stream = {
        "Name": "stream",
        "PathPrefix": "/stream/",
        "Kind": "streaming",
        "Resumable": True,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 500,
        "GapTargetMs": 120,
    }
    return [route(), route(**once, MaxAttempts=1), route(**stream)]


def configuration_spec(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration as stored."""
    found = {
        "Version": version,
        "Routes": routes(),
        "Services": [{"Name": "app", "HealthCheck": "/healthz", "MaxConnections": 99}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "org", "ApiKeys": [API_KEY], "Priority": 1}],
    }
    return {**found, **changes}


def configuration(version: int = 1, **changes: Any) -> Configuration:
    """Return a decoded configuration."""
    raw = json.dumps(configuration_spec(version, **changes)).encode()
    return decode_configuration(raw).ok


def configuration_snapshot(age_s: float = 0.0, **changes: Any) -> ConfigurationSnapshot:
    """Return a snapshot of ``configuration()``, by default with age 0."""
    found = ConfigurationSnapshot(
        configuration(), age_s, max_age_with_key_s=3.7, max_age_to_deny_s=3.6
    )
    return found._replace(**changes)


def received_request(
    target: str = "/plain/x", *, body: bytes = b"", **headers: str
) -> ReceivedRequest:
    """Return a received request with the organisation's API key."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    found = {
        "host": "host.example",
        "authorization": f"Bearer {API_KEY}",
        "x-attempt-id": "attempt-1",
        "x-deadline-ms": "1500",
    }
    headers = {**found, **named}
    return ReceivedRequest(
        "attempt-1", "GET", target, headers, RequestBody(data=body), 100.0
    )
