"""Service-level goals that apply to a request."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.manifest.schema import Goals
    from kingcupwheel.manifest.schema import Manifest
    from kingcupwheel.manifest.schema import Route


class Indicator(StrEnum):
    """A service-level indicator: the share of good events.

    ``AVAILABILITY`` counts requests, good if they ran; ``FIRST_TOKEN`` answers, good if
    their first byte was in time; ``TOKEN_GAP`` the gaps between chunks of streams.
    """

    AVAILABILITY = "availability"
    FIRST_TOKEN = "first-token"
    TOKEN_GAP = "token-gap"


INDICATORS = tuple(Indicator)


class ScopeKind(StrEnum):
    """The kind of requests that a set of goals applies to."""

    OVERALL = "overall"
    ROUTE = "route"
    ORGANISATION = "organisation"


class Scope(NamedTuple):
    """The requests that a set of goals applies to; ``name`` is empty for all."""

    kind: ScopeKind
    name: str


OVERALL = Scope(ScopeKind.OVERALL, "")


def build_route_name(route: Route) -> str:
    """Return the name of a route's scope."""
    return f"{route.host}{route.path}"


class ApplicableGoals(NamedTuple):
    """A scope that counts a request, and the goals that apply to it there."""

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

        In the overall scope the request's own goals apply, the organisation's before
        the route's, so that a service that is slow by design does not use up the
        overall budget.
        """
        route_goals = self.by_route.get(route)
        organisation_goals = self.by_organisation.get(organisation)
        applicable = [
            ApplicableGoals(OVERALL, organisation_goals or route_goals or self.overall)
        ]
        if route_goals:
            applicable.append(
                ApplicableGoals(Scope(ScopeKind.ROUTE, route), route_goals)
            )
        if organisation_goals:
            scope = Scope(ScopeKind.ORGANISATION, organisation)
            applicable.append(ApplicableGoals(scope, organisation_goals))
        return tuple(applicable)

    def get_goals(self, scope: Scope) -> Goals:
        """Return the goals whose targets apply to the scope's burn rate."""
        match scope.kind:
            case ScopeKind.OVERALL:
                return self.overall
            case ScopeKind.ROUTE:
                return self.by_route.get(scope.name, self.overall)
            case ScopeKind.ORGANISATION:
                return self.by_organisation.get(scope.name, self.overall)


def build_goals(manifest: Manifest, *, version: int) -> BurnGoals:
    """Return the goals of ``manifest``."""
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
    """Return the required share of good events."""
    if indicator is Indicator.AVAILABILITY:
        return goals.availability
    return goals.within
