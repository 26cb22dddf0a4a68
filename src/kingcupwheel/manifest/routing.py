"""Route table: maps host, path and method of a request to a manifest's route."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.manifest.schema import Route
from kingcupwheel.manifest.schema import ServerGroup


if TYPE_CHECKING:
    from collections.abc import Mapping

_ANY_HOST = "*"
_PREFIX_WILDCARD = "*"


class MatchedRoute(NamedTuple):
    """The ``route`` that matches a request, and its server group."""

    route: Route
    group: ServerGroup


class NoRoute(NamedTuple):
    """No route matches the host and path."""


class MethodNotAllowed(NamedTuple):
    """A route matches the path, but not the method."""

    allowed_methods: tuple[str, ...]


RouteMatch = MatchedRoute | NoRoute | MethodNotAllowed

_RoutesByMethod = dict[str, Route]


class _HostRoutes:
    """The routes of one host: exact paths, and prefixes with the longest first."""

    def __init__(self) -> None:
        self._exact_by_path: dict[str, _RoutesByMethod] = {}
        self._by_prefix: dict[str, _RoutesByMethod] = {}

    def add(self, route: Route) -> None:
        is_prefix = route.path.endswith(_PREFIX_WILDCARD)
        by_path = self._by_prefix if is_prefix else self._exact_by_path
        by_method = by_path.setdefault(route.path.removesuffix(_PREFIX_WILDCARD), {})
        for method in route.methods:
            by_method[method] = route

    def sort_prefixes(self) -> None:
        longest_first = sorted(self._by_prefix.items(), key=lambda item: -len(item[0]))
        self._by_prefix = dict(longest_first)

    def find(self, path: str) -> _RoutesByMethod | None:
        exact_match = self._exact_by_path.get(path)
        if exact_match is not None:
            return exact_match
        for prefix, by_method in self._by_prefix.items():
            if path.startswith(prefix):
                return by_method
        return None


class RouteTable:
    """Routes by host and path; the most specific route applies.

    A named host takes precedence over ``*``, an exact path over a prefix and a longer
    prefix over a shorter one. If the most specific path does not allow the method, less
    specific routes are not tried, so that adding a broad route can't expose a method
    that was not allowed.
    """

    def __init__(
        self, routes: tuple[Route, ...], groups_by_name: Mapping[str, ServerGroup]
    ) -> None:
        self._groups_by_name = groups_by_name
        self._by_host: dict[str, _HostRoutes] = {}
        for route in routes:
            self._by_host.setdefault(route.host, _HostRoutes()).add(route)
        for host_routes in self._by_host.values():
            host_routes.sort_prefixes()

    def find(self, host: str, path: str, method: str) -> RouteMatch:
        """Return the match; ``host`` may include a port and ``path`` a query."""
        path_without_query = path.partition("?")[0]
        for name in (_host_name(host), _ANY_HOST):
            host_routes = self._by_host.get(name)
            by_method = host_routes.find(path_without_query) if host_routes else None
            if by_method is not None:
                return self._match(by_method, method)
        return NoRoute()

    def _match(self, by_method: _RoutesByMethod, method: str) -> RouteMatch:
        route = by_method.get(method)
        if route is None:
            return MethodNotAllowed(tuple(sorted(by_method)))
        return MatchedRoute(route, self._groups_by_name[route.group])


def _host_name(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0].removeprefix("[").lower()
    return host.partition(":")[0].rstrip(".").lower()
