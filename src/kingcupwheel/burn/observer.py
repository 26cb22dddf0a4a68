"""Counts an entry's final outcomes: service-level burn and metrics."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from kingcupwheel.burn.goals import route_name
from kingcupwheel.burn.observed import Observed
from kingcupwheel.metrics.names import Count
from kingcupwheel.metrics.names import Duration


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.burn.counter import BurnCounter
    from kingcupwheel.entry.refusals import Refusal
    from kingcupwheel.entry.requests import CallerRequest
    from kingcupwheel.messages.runs import Outcome
    from kingcupwheel.metrics.client import Metrics

# The limit of a request whose caller closed its connection, as ``entry.refusals`` has
# it: nobody waited for a result, so that no goal was missed.
_CALLER_LEFT = "caller-left"


class OutcomeObserver:
    """An ``entry.observing.Observer``; safe from any thread, never blocks."""

    def __init__(self, counter: BurnCounter, metrics: Metrics) -> None:
        self._counter = counter
        self._metrics = metrics

    def refused(self, request: CallerRequest, refusal: Refusal) -> None:
        """Count a request that got no answer of a backend server."""
        self._metrics.count(Count.REFUSALS, by=refusal.limit)
        self._observe(
            Observed(
                organisation=request.organisation.name,
                route=route_name(request.route),
                group=request.group.name,
                server="",
                outcome=refusal.outcome,
                status=refusal.status,
                reason=refusal.limit,
                caller_left=refusal.limit == _CALLER_LEFT,
            )
        )

    def answered(
        self,
        request: CallerRequest,
        *,
        server: str,
        outcome: Outcome,
        status: int,
        first_byte_s: float | None,
        gaps_s: Sequence[float],
        reason: str = "",
        caller_left: bool = False,
    ) -> None:
        """Count an answer; ``gaps_s`` are the times between chunks in seconds.

        ``reason`` says in a few words why an answer is not whole.
        """
        if first_byte_s is not None:
            self._metrics.duration(Duration.FIRST_BYTE, first_byte_s)
        if gaps_s:
            self._metrics.duration(Duration.TOKEN_GAP, max(gaps_s))
        self._observe(
            Observed(
                organisation=request.organisation.name,
                route=route_name(request.route),
                group=request.group.name,
                server=server,
                outcome=outcome,
                status=status,
                reason=reason or outcome.value,
                first_byte_s=first_byte_s,
                gaps_s=gaps_s,
                caller_left=caller_left,
            )
        )

    def _observe(self, observed: Observed) -> None:
        self._metrics.count(Count.REQUESTS, by=observed.outcome.value)
        judged = self._counter.observe(observed, now=time.time())
        for indicator, count in judged.items():
            if count.bad:
                by = indicator.value
                self._metrics.count(Count.GOAL_MISSES, by=by, number=count.bad)
