from __future__ import annotations

from kingcupwheel.forwarding.load_aggregators import LoadAggregators
from kingcupwheel.forwarding.load_aggregators import LoadQuery


AGENTS = {"dc-1": ("a:1", "b:1", "c:1"), "dc-2": ("d:1",)}


def test_one_agent_of_each_data_centre_is_queried_for_all_its_members() -> None:
    assert LoadAggregators("dc-1").queries(AGENTS, 0.0) == (
        LoadQuery("a:1", ("a:1", "b:1", "c:1"), 0.25),
        LoadQuery("d:1", ("d:1",), 0.5),
    )


def test_silent_aggregator_is_replaced_and_retried_later() -> None:
    """Guards against missing loads of a data centre whose aggregator was killed.

    The next agent is queried within 1.5 seconds, and the first one again once it may
    have restarted.
    """
    aggregators = LoadAggregators("dc-1")
    aggregators.queries(AGENTS, 0.0)
    aggregators.record_reply("a:1", 0.5)
    assert aggregators.queries(AGENTS, 1.0)[0].aggregator == "a:1"
    assert aggregators.queries(AGENTS, 2.0)[0].aggregator == "b:1"
    aggregators.record_reply("b:1", 2.2)
    assert aggregators.queries(AGENTS, 3.0)[0].aggregator == "b:1"
    assert aggregators.queries(AGENTS, 7.5)[0].aggregator == "a:1"


def test_only_agent_of_a_data_centre_is_queried_even_if_silent() -> None:
    aggregators = LoadAggregators("dc-1")
    for second in range(5):
        assert aggregators.queries(AGENTS, float(second))[1].aggregator == "d:1"
