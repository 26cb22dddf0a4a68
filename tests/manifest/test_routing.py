from __future__ import annotations

import pytest

from kingcupwheel.manifest.routing import MatchedRoute
from kingcupwheel.manifest.routing import MethodNotAllowed
from kingcupwheel.manifest.routing import NoRoute
from kingcupwheel.manifest.routing import RouteTable
from kingcupwheel.manifest.schema import Route
from kingcupwheel.manifest.schema import ServerGroup


_TABLE = RouteTable(
    (
        Route(path="/v1/*", group="broad"),
        Route(path="/v1/tags/*", group="narrow"),
        Route(path="/v1/tags/status", group="exact", methods=("GET", "HEAD")),
        Route(path="/v1/tags/*", group="named", host="parts.example"),
    ),
    {name: ServerGroup(name=name) for name in ("broad", "narrow", "exact", "named")},
)


@pytest.mark.parametrize(
    ("host", "path", "method", "group"),
    [
        ("any", "/v1/completions", "POST", "broad"),
        ("any", "/v1/tags/7?page=2", "POST", "narrow"),
        ("any", "/v1/tags/status", "HEAD", "exact"),
        ("Parts.Example:8080", "/v1/tags/7", "POST", "named"),
        ("parts.example", "/v1/completions", "POST", "broad"),
        ("[::1]:8080", "/v1/completions", "POST", "broad"),
    ],
)
def test_the_most_specific_route_applies(
    host: str, path: str, method: str, group: str
) -> None:
    match = _TABLE.find(host, path, method)

    assert isinstance(match, MatchedRoute)
    assert match.group.name == group


def test_unknown_paths_and_methods_are_distinguished() -> None:
    assert _TABLE.find("any", "/v2/completions", "POST") == NoRoute()
    assert _TABLE.find("any", "/v1/tags/status", "POST") == MethodNotAllowed(
        ("GET", "HEAD")
    )
