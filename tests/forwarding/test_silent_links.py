from __future__ import annotations

from kingcupwheel.forwarding.silent_links import SILENCE_LIMIT_S
from kingcupwheel.forwarding.silent_links import SilentLinks


def test_link_on_which_an_agent_answers_is_kept() -> None:
    links = SilentLinks()
    for now in range(20):
        assert links.take_silent(["a:1"], float(now)) == ()
        links.record_heard("a:1", now + 0.1)


def test_silent_link_is_replaced_and_gets_its_time_again() -> None:
    """Guards against loads that are missing for good once a link has gone silent."""
    links = SilentLinks()
    links.take_silent(["a:1", "b:1"], 0.0)
    links.record_heard("b:1", 3.0)
    assert links.take_silent(["a:1", "b:1"], SILENCE_LIMIT_S + 0.1) == ("a:1",)

    assert links.take_silent(["a:1", "b:1"], SILENCE_LIMIT_S + 1.1) == ()
    assert links.take_silent(["a:1"], 2 * SILENCE_LIMIT_S + 0.3) == ("a:1",)


def test_silent_agent_is_reconnected_to_when_it_is_polled_again_later() -> None:
    """Guards against an aggregator whose link stays silent each time it is chosen."""
    links = SilentLinks()
    links.take_silent(["a:1"], 0.0)
    links.take_silent(["b:1"], 2.0)

    assert links.take_silent(["a:1"], 7.0) == ("a:1",)


def test_agents_that_are_gone_are_forgotten() -> None:
    links = SilentLinks()
    links.take_silent(["a:1"], 0.0)

    links.retain(["b:1"])

    assert links.take_silent(["a:1"], 9.0) == ()
