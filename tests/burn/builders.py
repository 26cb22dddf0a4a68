"""Builders of requests and counters, and a manifest, for tests of burn."""

from __future__ import annotations

from typing import Any

from kingcupwheel.burn.burn_counter import BurnCounter
from kingcupwheel.burn.finished_request import FinishedRequest
from kingcupwheel.burn.goals import build_goals
from kingcupwheel.entry.caller_requests import CallerRequest
from kingcupwheel.manifest.schema import Goals
from kingcupwheel.manifest.schema import Manifest
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.manifest.schema import Route
from kingcupwheel.manifest.schema import ServerGroup
from kingcupwheel.messages.attempts import Outcome


NOW = 1_800_000_000.0
COMPLETIONS = "*/v1/completions"
PICKUPS = "*/v1/pickups"

MANIFEST = Manifest(
    organisations=(
        Organisation(name="retazo", key_digests=()),
        Organisation(
            name="sulina", key_digests=(), goals=Goals(first_token_s=0.5, within=0.9)
        ),
    ),
    groups=(ServerGroup(name="bundles"), ServerGroup(name="banks")),
    routes=(
        Route(path="/v1/completions", group="bundles"),
        Route(path="/v1/pickups", group="banks", goals=Goals(first_token_s=5.0)),
    ),
)


def build_counter(process: str = "entry-1", *, now: float = NOW) -> BurnCounter:
    return BurnCounter(process, build_goals(MANIFEST, version=3), now=now)


def build_finished_request(**changes: Any) -> FinishedRequest:
    default = FinishedRequest(
        organisation="retazo",
        route=COMPLETIONS,
        group="bundles",
        server="agent-1",
        outcome=Outcome.RAN,
        status=200,
        reason="whole",
        first_byte_s=0.2,
        gaps_s=(0.02, 0.03, 0.04),
    )
    return default._replace(**changes)


def build_caller_request() -> CallerRequest:
    return CallerRequest(
        request_id="entry-1.1.aa",
        organisation=MANIFEST.organisations[0],
        route=MANIFEST.routes[0],
        group=MANIFEST.groups[0],
        method="POST",
        path="/v1/completions",
        headers=(),
        body=b"",
        body_digest="",
        fingerprint="",
        prefix_key="",
        idempotency_key="",
        is_streamed=True,
        max_tokens=None,
        received_at=0.0,
        deadline_s=30.0,
        has_own_deadline=False,
        manifest_version=3,
    )


def build_unknown_request(**changes: Any) -> FinishedRequest:
    unknown_request = build_finished_request(
        outcome=Outcome.UNKNOWN,
        status=502,
        reason="agent-gone",
        first_byte_s=None,
        gaps_s=(),
    )
    return unknown_request._replace(**changes)
