from __future__ import annotations

from typing import TYPE_CHECKING
from unittest.mock import patch

import pytest

from kingcupwheel.decisions.limit_shares import EntryFleet
from kingcupwheel.decisions.limit_state import PROBE_AFTER_S
from kingcupwheel.decisions.rate_limits import PERMIT_VALIDITY_S
from tests.entry.test_dispatcher_backoff import DispatcherHarness


if TYPE_CHECKING:
    from collections.abc import Iterator

ALONE = EntryFleet("entry-1", frozenset({"entry-1"}), 1, is_settled=True)


class LimitHarness(DispatcherHarness):
    """A dispatcher of the only entry, whose share is the whole limit."""

    def __init__(self, servers: int) -> None:
        super().__init__(servers)
        self.table.rate_limits.update_fleet(ALONE)

    def name_limit(self, name: str, rate: float | None) -> None:
        self.table.rate_limits.record_answer(
            self.incarnation(name), rate, sent_at=self.now, now=self.now
        )

    def advance(self, seconds: float) -> None:
        """Let time pass while the servers keep reporting."""
        self.now += seconds
        for name in self.names:
            self.record_heartbeat(name)
        self.dispatcher.place_waiting()


@pytest.fixture
def harness(request: pytest.FixtureRequest) -> Iterator[LimitHarness]:
    made = LimitHarness(getattr(request, "param", 1))
    with patch("kingcupwheel.entry.group_dispatcher.monotonic", lambda: made.now):
        yield made


def test_what_a_limit_lets_no_server_take_in_time_is_refused_at_once(
    harness: LimitHarness,
) -> None:
    """Guards against callers that are told at their deadline what was known before."""
    harness.name_limit("server-0", 1.0)
    for _ in range(5):
        harness.submit(2.5)

    assert list(harness.collect_reservations()) == []

    assert len(harness.tickets) == 2
    assert [one.reason for one in harness.failures] == ["servers-limited"] * 3
    # Each is told a time of its own, at the rate of the limit.
    assert [one.backoff_left_s for one in harness.failures] == pytest.approx(
        [3.0, 4.0, 5.0]
    )


def test_a_refused_caller_that_returns_as_told_is_served(
    harness: LimitHarness,
) -> None:
    """Guards against a Retry-After after which the limit is still used up."""
    harness.name_limit("server-0", 1.0)
    for _ in range(3):
        harness.submit(2.5)
    list(harness.collect_reservations())
    (failure,) = harness.failures

    for _ in range(2):
        harness.advance(1.0)
        assert len(list(harness.collect_reservations())) == 1
        harness.dispatcher.release(harness.reservations.pop())
    harness.advance(failure.backoff_left_s - 2.0)
    harness.submit(2.5)

    assert len(list(harness.collect_reservations())) == 1


def test_waiting_requests_are_placed_at_the_rate_of_the_limit(
    harness: LimitHarness,
) -> None:
    harness.name_limit("server-0", 2.0)
    for _ in range(8):
        harness.submit(60.0)

    placed_at = []
    for _ in range(100):
        harness.advance(0.05)
        for reservation in harness.collect_reservations():
            placed_at.append(harness.now)
            harness.dispatcher.release(reservation)

    gaps = [b - a for a, b in zip(placed_at, placed_at[1:], strict=False)]
    assert len(placed_at) == 8
    assert min(gaps) >= 0.4
    assert sum(gaps) / len(gaps) <= 0.6


@pytest.mark.parametrize("harness", [2], indirect=True)
def test_a_limited_server_is_spared_while_another_has_capacity(
    harness: LimitHarness,
) -> None:
    harness.name_limit("server-0", 500.0)
    harness.advance(1.0)

    for _ in range(2):
        harness.submit(5.0)
    first = [one.server for one in harness.collect_reservations()]
    harness.submit(5.0)
    second = [one.server for one in harness.collect_reservations()]

    assert first == ["server-1"] * 2
    assert second == ["server-0"]


@pytest.mark.parametrize("harness", [2], indirect=True)
def test_a_limited_server_without_answers_is_probed_beside_one_with_capacity(
    harness: LimitHarness,
) -> None:
    """Guards against a lifted limit that nobody notices."""
    harness.name_limit("server-0", 1.0)
    servers = []
    for _ in range(int(2 * PROBE_AFTER_S)):
        harness.advance(1.0)
        harness.submit(5.0)
        for reservation in harness.collect_reservations():
            servers.append(reservation.server)
            harness.dispatcher.release(reservation)

    assert servers.count("server-0") == 1


def test_a_lifted_limit_frees_the_waiting_requests(harness: LimitHarness) -> None:
    harness.name_limit("server-0", 0.5)
    harness.submit(30.0)
    assert list(harness.collect_reservations()) == []

    harness.now += 0.1
    harness.name_limit("server-0", None)
    harness.dispatcher.place_waiting()

    (reservation,) = harness.collect_reservations()
    assert reservation.permit_expires_at is None


def test_a_permit_is_valid_for_a_short_time(harness: LimitHarness) -> None:
    harness.name_limit("server-0", 500.0)
    harness.advance(1.0)
    harness.submit(5.0)

    (reservation,) = harness.collect_reservations()

    assert reservation.permit_expires_at == harness.now + PERMIT_VALIDITY_S


@pytest.mark.parametrize("harness", [2], indirect=True)
def test_a_limit_does_not_count_as_failure_of_its_server(
    harness: LimitHarness,
) -> None:
    """Guards against a group that seems out of service because it is limited."""
    for name in harness.names:
        harness.name_limit(name, 1.0)
    harness.submit(0.5)
    list(harness.collect_reservations())

    assert [one.reason for one in harness.failures] == ["servers-limited"]
    harness.advance(1.0)
    harness.submit(0.5)
    assert len(list(harness.collect_reservations())) == 1


def test_an_entry_without_a_share_names_the_interval_of_the_whole_limit(
    harness: LimitHarness,
) -> None:
    """Guards against an infinite Retry-After where only other entries may send."""
    unsettled = ALONE._replace(is_settled=False)
    harness.table.rate_limits.update_fleet(unsettled)
    harness.name_limit("server-0", 0.5)
    harness.submit(5.0)
    list(harness.collect_reservations())

    (failure,) = harness.failures
    assert failure.reason == "servers-limited"
    assert failure.backoff_left_s == pytest.approx(2.0)
