"""Counts outcomes of requests for service level goals and metrics."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from kingcupwheel.burn.finished_request import FinishedRequest
from kingcupwheel.burn.goals import BurnGoals
from kingcupwheel.burn.goals import build_route_name
from kingcupwheel.metrics.metric_names import CounterName
from kingcupwheel.metrics.metric_names import GaugeName
from kingcupwheel.metrics.metric_names import TimerName


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.burn.burn_counter import BurnCounter
    from kingcupwheel.entry.caller_requests import CallerRequest
    from kingcupwheel.entry.refusals import Refusal
    from kingcupwheel.manifest.compiled_manifest import CompiledManifest
    from kingcupwheel.messages.attempts import Outcome
    from kingcupwheel.metrics.statsd_client import MetricsClient

_CALLER_LEFT = "caller-left"


class OutcomeCounter:
    """Counts final outcomes; called on request threads, never blocks."""

    def __init__(self, burn_counter: BurnCounter, metrics: MetricsClient) -> None:
        self._burn_counter = burn_counter
        self._metrics = metrics

    def set_goals(self, manifest: CompiledManifest) -> None:
        """Apply the goals of this manifest to later requests."""
        self._burn_counter.set_goals(build_burn_goals(manifest))
        self._metrics.increment(CounterName.MANIFESTS_ADOPTED)
        self._metrics.set_gauge(GaugeName.MANIFEST_VERSION, manifest.version)

    def count_refusal(self, request: CallerRequest, refusal: Refusal) -> None:
        """Count a request that the entry refused."""
        self._metrics.increment(CounterName.REFUSALS, label=refusal.reason)
        self._count(
            FinishedRequest(
                organisation=request.organisation.name,
                route=build_route_name(request.route),
                group=request.group.name,
                server="",
                outcome=refusal.outcome,
                status=refusal.status,
                reason=refusal.reason,
                caller_left=refusal.reason == _CALLER_LEFT,
            )
        )

    def count_answer(
        self,
        request: CallerRequest,
        *,
        server: str,
        outcome: Outcome,
        status: int,
        first_byte_s: float | None,
        gaps_s: Sequence[float],
        caller_left: bool,
    ) -> None:
        """Count an answer; ``gaps_s`` are the seconds between its chunks."""
        if first_byte_s is not None:
            self._metrics.record_duration(TimerName.FIRST_BYTE, first_byte_s)
        if gaps_s:
            self._metrics.record_duration(TimerName.TOKEN_GAP, max(gaps_s))
        self._count(
            FinishedRequest(
                organisation=request.organisation.name,
                route=build_route_name(request.route),
                group=request.group.name,
                server=server,
                outcome=outcome,
                status=status,
                reason=outcome.value,
                first_byte_s=first_byte_s,
                gaps_s=gaps_s,
                caller_left=caller_left,
            )
        )

    def _count(self, observed: FinishedRequest) -> None:
        self._metrics.increment(CounterName.REQUESTS, label=observed.outcome.value)
        if observed.caller_left:
            self._metrics.increment(CounterName.CALLERS_LEFT)
        count_by_indicator = self._burn_counter.count_request(observed, now=time.time())
        for indicator, count in count_by_indicator.items():
            if count.bad:
                by = indicator.value
                self._metrics.increment(
                    CounterName.GOAL_MISSES, label=by, amount=count.bad
                )


def build_burn_goals(manifest: CompiledManifest) -> BurnGoals:
    """Return the goals set in the manifest in force."""
    routes = manifest.assembly.core.routes
    organisations = manifest.organisations_by_name.values()
    return BurnGoals(
        manifest.version,
        manifest.goals,
        {build_route_name(route): route.goals for route in routes if route.goals},
        {item.name: item.goals for item in organisations if item.goals},
    )
