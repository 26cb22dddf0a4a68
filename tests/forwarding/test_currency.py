from __future__ import annotations

from kingcupwheel.forwarding.configuration_cache import ConfigurationCache
from tests.forwarding.builders import configuration


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_a_lower_version_is_never_taken() -> None:
    """A stale copy from a peer arrives after the new version, which drops a route."""
    cache = ConfigurationCache(Clock())
    cache.update(configuration(7), as_of=99.0, source="store")

    assert not cache.update(configuration(5), as_of=100.0, source="store")

    assert cache.version == 7


def test_age_counts_from_the_question_and_goes_on_while_suspended() -> None:
    """After 20 s of suspension the configuration must not look current."""
    clock = Clock()
    cache = ConfigurationCache(clock)
    cache.update(configuration(7), as_of=99.0, source="store")
    clock.now += 20.0

    assert cache.age_s() == 21.0


def test_only_the_current_version_is_confirmed() -> None:
    """A peer confirms a newer version, which does not confirm the local one."""
    clock = Clock()
    cache = ConfigurationCache(clock)
    cache.update(configuration(7), as_of=90.0, source="store")

    cache.confirm(8, as_of=100.0, source="store")
    assert cache.age_s() == 10.0
    cache.confirm(7, as_of=100.0, source="store")
    assert cache.age_s() == 0.0


def test_the_age_is_infinite_before_any_configuration() -> None:
    assert ConfigurationCache(Clock()).age_s() == float("inf")


def test_a_newer_version_is_known_to_be_as_new_as_the_one_before() -> None:
    """A peer sends version 8 without its age; a long watch returns version 9.

    Version 7 was the newest two seconds ago, so version 8 became the newest after that.
    With an infinite age, or one since the watch began, every caller with a key would be
    refused after each change until a peer or the store confirms it.
    """
    clock = Clock()
    cache = ConfigurationCache(clock)
    cache.update(configuration(7), as_of=98.0, source="store")

    cache.update(configuration(8), as_of=float("-inf"), source="store")
    assert cache.age_s() == 2.0
    cache.update(configuration(9), as_of=88.0, source="store")
    assert cache.age_s() == 2.0
