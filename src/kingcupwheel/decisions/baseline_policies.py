"""Simple placement policies to measure against."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from kingcupwheel.decisions.candidates import NoServerAvailable
from kingcupwheel.decisions.candidates import SelectedServer
from kingcupwheel.decisions.placement import select_eligible
from kingcupwheel.plugins.kernel import placement_policies


if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from kingcupwheel.decisions.candidates import Candidate
    from kingcupwheel.decisions.candidates import PlacementRequest


@placement_policies.register("random")
class RandomPolicy:
    """Any server that is in service and not known to be full."""

    def place(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: Random,
    ) -> SelectedServer | NoServerAvailable:
        """Draw evenly."""
        able = select_eligible(candidates, request)
        if isinstance(able, NoServerAvailable):
            return able
        return SelectedServer(rng.choice(able).name, "random")


@placement_policies.register("round-robin")
class RoundRobinPolicy:
    """Each server in its turn."""

    def __init__(self) -> None:
        self._counter = count()

    def place(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: Random,
    ) -> SelectedServer | NoServerAvailable:
        """Take the next one."""
        able = select_eligible(candidates, request)
        if isinstance(able, NoServerAvailable):
            return able
        return SelectedServer(
            able[next(self._counter) % len(able)].name, "next in turn"
        )


@placement_policies.register("least-in-flight")
class LeastInFlightPolicy:
    """The server with the fewest attempts of this entry."""

    def place(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: Random,
    ) -> SelectedServer | NoServerAvailable:
        """Take the least, drawn evenly among equals."""
        able = select_eligible(candidates, request)
        if isinstance(able, NoServerAvailable):
            return able
        best = min(able, key=lambda one: (one.own_in_flight, rng.random()))
        return SelectedServer(best.name, "fewest in flight")
