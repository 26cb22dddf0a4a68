"""Which service-level goals a request is held to."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.manifest.schema import Goals
    from kingcupwheel.manifest.schema import Manifest
    from kingcupwheel.manifest.schema import Route


class Indicator(StrEnum):
    """What is measured: a share of good events.

    ``AVAILABILITY`` counts requests with a true result, ``FIRST_TOKEN`` answers whose
    first byte came in time, ``TOKEN_GAP`` the gaps between chunks of streams.
    """

    AVAILABILITY = "availability"
    FIRST_TOKEN = "first-token"
    TOKEN_GAP = "token-gap"


INDICATORS = tuple(Indicator)


class ScopeKind(StrEnum):
    """What a set of goals is for."""

    OVERALL = "overall"
    ROUTE = "route"
    ORGANISATION = "organisation"


class Scope(NamedTuple):
    """One set of goals by what it is for; ``name`` is empty for all requests."""

    kind: ScopeKind
    name: str


OVERALL = Scope(ScopeKind.OVERALL, "")


def build_route_name(route: Route) -> str:
    """Return the name that a route is counted under."""
    return f"{route.host}{route.path}"


class ApplicableGoals(NamedTuple):
    """A scope that counts a request, and the goals it is held to there."""

    scope: Scope
    goals: Goals


class BurnGoals(NamedTuple):
    """The goals of a manifest."""

    version: int
    overall: Goals
    by_route: dict[str, Goals]
    by_organisation: dict[str, Goals]

    def list_applicable_goals(
        self, *, route: str, organisation: str
    ) -> tuple[ApplicableGoals, ...]:
        """Return the scopes that count a request.

        Among all requests it is held to its own goals, the organisation's before the
        route's, so that a slow service by design does not burn the overall budget.
        """
        of_route = self.by_route.get(route)
        of_organisation = self.by_organisation.get(organisation)
        held = [ApplicableGoals(OVERALL, of_organisation or of_route or self.overall)]
        if of_route:
            held.append(ApplicableGoals(Scope(ScopeKind.ROUTE, route), of_route))
        if of_organisation:
            scope = Scope(ScopeKind.ORGANISATION, organisation)
            held.append(ApplicableGoals(scope, of_organisation))
        return tuple(held)

    def get_goals(self, scope: Scope) -> Goals:
        """Return the goals whose targets the scope's burn is counted against."""
        match scope.kind:
            case ScopeKind.OVERALL:
                return self.overall
            case ScopeKind.ROUTE:
                return self.by_route.get(scope.name, self.overall)
            case ScopeKind.ORGANISATION:
                return self.by_organisation.get(scope.name, self.overall)


def build_goals(manifest: Manifest, *, version: int) -> BurnGoals:
    """Return the goals that ``manifest`` sets."""
    return BurnGoals(
        version,
        manifest.goals,
        {
            build_route_name(route): route.goals
            for route in manifest.routes
            if route.goals
        },
        {item.name: item.goals for item in manifest.organisations if item.goals},
    )


def get_target(goals: Goals, indicator: Indicator) -> float:
    """Return the share of good events that the goals ask for."""
    if indicator is Indicator.AVAILABILITY:
        return goals.availability
    return goals.within
