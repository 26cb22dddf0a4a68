"""Finds the route of a request among a manifest's routes."""

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
    """The request belongs to ``group`` under the rules of ``route``."""

    route: Route
    group: ServerGroup


class NoRoute(NamedTuple):
    """No route has this host and path."""


class MethodNotAllowed(NamedTuple):
    """The path has a route, for the methods ``allowed`` only."""

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
        longest_first = sorted(self._by_prefix.items(), key=lambda each: -len(each[0]))
        self._by_prefix = dict(longest_first)

    def find(self, path: str) -> _RoutesByMethod | None:
        exact = self._exact_by_path.get(path)
        if exact is not None:
            return exact
        for prefix, by_method in self._by_prefix.items():
            if path.startswith(prefix):
                return by_method
        return None


class RouteTable:
    """Routes by host and path; the most specific one decides.

    A named host goes before ``*``, an exact path before a prefix, a longer prefix
    before a shorter one. A path that is known for other methods only is no match for a
    less specific route, so that adding a broad route opens nothing that was closed.
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
        """Return the match; ``host`` may have a port and ``path`` a query."""
        plain_path = path.partition("?")[0]
        for name in (_host_name(host), _ANY_HOST):
            host_routes = self._by_host.get(name)
            by_method = host_routes.find(plain_path) if host_routes else None
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
