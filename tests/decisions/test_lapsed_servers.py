from __future__ import annotations

import pytest

from kingcupwheel.decisions.lapsed_servers import find_possibly_lapsed


SERVICES = {"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b", "b-2": "b"}


@pytest.mark.parametrize(
    ("missing", "kept"),
    [
        ({"a-1"}, set()),
        ({"a-1", "b-1"}, set()),
        ({"a-1", "a-2"}, {"a-1", "a-2"}),
        ({"a-1", "b-1", "b-2"}, {"b-1", "b-2"}),
        (set(SERVICES), set(SERVICES)),
        (set(), set()),
    ],
)
def test_only_most_servers_of_a_service_may_have_lapsed(
    missing: set[str], kept: set[str]
) -> None:
    assert find_possibly_lapsed(SERVICES, missing) == kept
