"""Simple placement policies that serve as baselines."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from kingcupwheel.decisions.candidates import NoServerAvailable
from kingcupwheel.decisions.candidates import SelectedServer
from kingcupwheel.decisions.eligibility import select_eligible
from kingcupwheel.plugins.registries import placement_policies


if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from kingcupwheel.decisions.candidates import Candidate
    from kingcupwheel.decisions.candidates import PlacementRequest


@placement_policies.register("random")
class RandomPolicy:
    """Chooses uniformly among the eligible servers."""

    def place(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: Random,
    ) -> SelectedServer | NoServerAvailable:
        """Choose a server uniformly at random."""
        eligible = select_eligible(candidates, request)
        if isinstance(eligible, NoServerAvailable):
            return eligible
        return SelectedServer(rng.choice(eligible).name, "random")


@placement_policies.register("round-robin")
class RoundRobinPolicy:
    """Chooses the eligible servers in turn."""

    def __init__(self) -> None:
        self._counter = count()

    def place(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: Random,
    ) -> SelectedServer | NoServerAvailable:
        """Choose the next server."""
        eligible = select_eligible(candidates, request)
        if isinstance(eligible, NoServerAvailable):
            return eligible
        return SelectedServer(
            eligible[next(self._counter) % len(eligible)].name, "next in turn"
        )


@placement_policies.register("least-in-flight")
class LeastInFlightPolicy:
    """Chooses the server with the fewest attempts in flight from this entry."""

    def place(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: Random,
    ) -> SelectedServer | NoServerAvailable:
        """Choose the server with the fewest attempts, ties broken at random."""
        eligible = select_eligible(candidates, request)
        if isinstance(eligible, NoServerAvailable):
            return eligible
        best = min(eligible, key=lambda one: (one.own_in_flight, rng.random()))
        return SelectedServer(best.name, "fewest in flight")
