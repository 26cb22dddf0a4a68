from __future__ import annotations

from kingcupwheel.forwarding.configurationcache import ConfigurationCache
from tests.forwarding.builders import configuration


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_a_lower_version_is_never_taken() -> None:
    """A route was dropped; a stale copy from a peer comes after the new version."""
    currency = ConfigurationCache(Clock())
    currency.update(configuration(7), as_of=99.0)

    assert not currency.update(configuration(5), as_of=100.0)

    assert currency.version == 7


def test_age_counts_from_the_question_and_goes_on_while_suspended() -> None:
    """The machine sleeps for 20 s; what it knew before must not pass for fresh."""
    clock = Clock()
    currency = ConfigurationCache(clock)
    currency.update(configuration(7), as_of=99.0)
    clock.now += 20.0

    assert currency.age_s() == 21.0


def test_only_the_version_at_hand_is_confirmed() -> None:
    """A peer that is ahead says that its version is the newest: ours is not."""
    clock = Clock()
    currency = ConfigurationCache(clock)
    currency.update(configuration(7), as_of=90.0)

    currency.confirm(8, as_of=100.0)
    assert currency.age_s() == 10.0
    currency.confirm(7, as_of=100.0)
    assert currency.age_s() == 0.0


def test_before_any_configuration_the_age_has_no_end() -> None:
    assert ConfigurationCache(Clock()).age_s() == float("inf")


def test_a_newer_version_is_known_to_be_as_new_as_the_one_before() -> None:
    """A peer hands version 8 over and does not say its age; a long watch brings 9.

    Version 7 was the newest two seconds ago, so 8 became the newest after that. Counted
    from nothing, or from when the watch was asked, every caller with a key would be
    refused at each change until somebody confirms it.
    """
    clock = Clock()
    currency = ConfigurationCache(clock)
    currency.update(configuration(7), as_of=98.0)

    currency.update(configuration(8), as_of=float("-inf"))
    assert currency.age_s() == 2.0
    currency.update(configuration(9), as_of=88.0)
    assert currency.age_s() == 2.0
