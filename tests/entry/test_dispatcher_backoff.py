from __future__ import annotations

from typing import TYPE_CHECKING
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.admission import LimitRefusal
from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.decisions.candidates import SelectedServer
from kingcupwheel.entry.group_dispatcher import GroupDispatcher
from kingcupwheel.entry.placement_tickets import PlacementFailure
from kingcupwheel.entry.placement_tickets import PlacementTicket
from kingcupwheel.entry.placement_tickets import Reservation
from kingcupwheel.entry.placement_tickets import SubmittedRequest
from kingcupwheel.entry.server_table import ServerTable
from kingcupwheel.manifest.schema import ServerGroup
from kingcupwheel.plugins.registries import load_placement_policies
from kingcupwheel.settings.schema import Timings
from tests.entry.builders import agent_heartbeat
from tests.entry.builders import agent_instance


if TYPE_CHECKING:
    from collections.abc import Iterator


NAMES = ("server-0", "server-1", "server-2")
SLOTS_PER_SERVER = 2


class DispatcherHarness:
    """A dispatcher with a few servers and a clock that the tests set.

    ``reservations`` are those not yet released; ``failures`` are waits that ended
    without one.
    """

    def __init__(self, servers: int = len(NAMES)) -> None:
        load_placement_policies()
        self.now = 1000.0
        self.table = ServerTable(Timings())
        self.names = NAMES[:servers]
        self.table.set_instances(
            tuple(
                agent_instance()._replace(name=one, address=one) for one in self.names
            ),
            self.now,
        )
        self.incarnation_count_by_server = dict.fromkeys(self.names, 0)
        for name in self.names:
            self.record_heartbeat(name)
        group = ServerGroup(name="group", concurrency=SLOTS_PER_SERVER)
        self.dispatcher = GroupDispatcher(group, self.table, data_centre="dc-1")
        self.tickets: list[PlacementTicket] = []
        self.reservations: list[Reservation] = []
        self.failures: list[PlacementFailure] = []
        self._submit_count = 0

    def incarnation(self, name: str) -> str:
        return f"{name}@{self.incarnation_count_by_server[name]}"

    def record_heartbeat(self, name: str) -> None:
        self.table.record_heartbeat(
            name, agent_heartbeat(self.incarnation(name)), self.now
        )

    def back_off(self, name: str, seconds: float) -> None:
        with self.table.lock:
            self.table.notices.record_backoff(self.incarnation(name), seconds, self.now)

    def leave(self, name: str) -> None:
        with self.table.lock:
            self.table.notices.record_leaving(self.incarnation(name))

    def submit(
        self, wait_s: float, excluded_servers: frozenset[str] = frozenset()
    ) -> None:
        self._submit_count += 1
        request = SubmittedRequest(
            f"r{self._submit_count}",
            "org",
            5,
            10.0,
            10.0,
            first_byte_deadline_at=self.now + wait_s,
        )
        result = self.dispatcher.submit(
            request, PlacementRequest(excluded_servers=excluded_servers)
        )
        if not isinstance(result, LimitRefusal):
            self.tickets.append(result)

    def collect_reservations(self) -> Iterator[Reservation]:
        """Yield new reservations; failed waits are added to ``failures``."""
        for ticket in tuple(self.tickets):
            match ticket.wait(0):
                case Reservation() as reservation:
                    self.tickets.remove(ticket)
                    self.reservations.append(reservation)
                    yield reservation
                case PlacementFailure() as failure:
                    self.tickets.remove(ticket)
                    self.failures.append(failure)

    def is_accepting(self, reservation: Reservation) -> bool:
        with self.table.lock:
            return self.table.notices.accepts_requests(
                reservation.incarnation, self.now
            )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "submit",
                "submit",
                "retry",
                "back-off",
                "leave",
                "fail",
                "restart",
                "release",
                "expire",
            ]
        ),
        st.sampled_from(NAMES),
        st.floats(0.0, 6.0),
        st.floats(0.0, 1.0),
    ),
    max_size=40,
)


def apply_step(
    harness: DispatcherHarness, step: str, name: str, seconds: float
) -> None:
    """Apply one step, then send heartbeats and place waiting requests."""
    match step:
        case "submit":
            harness.submit(seconds)
        case "retry":
            harness.submit(seconds, frozenset({name}))
        case "back-off":
            harness.back_off(name, seconds)
        case "fail":
            for _ in range(3):
                harness.dispatcher.record_failure(_build_reservation(harness, name))
        case "restart":
            harness.incarnation_count_by_server[name] += 1
        case "release" if harness.reservations:
            harness.dispatcher.release(harness.reservations.pop(0))
        case "expire":
            with harness.table.lock:
                harness.table.notices.take_ended_backoffs(harness.now)
    for one in NAMES:
        harness.record_heartbeat(one)
    harness.dispatcher.place_waiting()


@given(steps=STEPS)
def test_servers_in_backoff_or_leaving_get_no_requests(
    steps: list[tuple[str, str, float, float]],
) -> None:
    """This holds for first sends, retries, waiting requests and probes.

    No request waits that can't be placed before its deadline.
    """
    harness = DispatcherHarness()
    excluded_until: dict[str, float] = {}
    with patch("kingcupwheel.entry.group_dispatcher.monotonic", lambda: harness.now):
        for step, name, seconds, gap in steps:
            harness.now += gap
            if step == "back-off":
                incarnation = harness.incarnation(name)
                excluded_until[incarnation] = max(
                    excluded_until.get(incarnation, 0.0), harness.now + seconds
                )
            if step == "leave":
                harness.leave(name)
                excluded_until[harness.incarnation(name)] = float("inf")
            apply_step(harness, step, name, seconds)

            excluded = {
                incarnation
                for incarnation, until in excluded_until.items()
                if until > harness.now
            }
            assert (
                not {one.incarnation for one in harness.collect_reservations()}
                & excluded
            )
            for reservation in harness.reservations:
                assert harness.is_accepting(reservation) == (
                    reservation.incarnation not in excluded
                )
            incarnations = {harness.incarnation(one) for one in NAMES}
            first_until = min(
                excluded_until.get(incarnation, 0.0) for incarnation in incarnations
            )
            # If all servers leave, the wait continues: a new server may be added.
            if harness.now < first_until < float("inf"):
                assert all(
                    one.queued.deadline_at > first_until for one in harness.tickets
                )


def _build_reservation(harness: DispatcherHarness, name: str) -> Reservation:
    return Reservation(
        server=name,
        address=name,
        incarnation=harness.incarnation(name),
        token=0,
        decision=SelectedServer(name, "test"),
        waited_s=0.0,
        work=0.0,
        is_suspect=False,
    )


def test_wait_fails_at_once_if_all_backoffs_outlast_it() -> None:
    """The caller is told at once when to retry, instead of at its deadline.

    This also holds for requests behind the head of the queue.
    """
    harness = DispatcherHarness(servers=2)
    with patch("kingcupwheel.entry.group_dispatcher.monotonic", lambda: harness.now):
        for _ in range(2 * SLOTS_PER_SERVER):
            harness.submit(5.0)
        assert len(list(harness.collect_reservations())) == 2 * SLOTS_PER_SERVER
        harness.submit(9.0)
        harness.submit(3.0)
        assert list(harness.collect_reservations()) == []
        harness.back_off("server-0", 8.0)
        harness.back_off("server-1", 6.0)
        harness.dispatcher.place_waiting()
        assert list(harness.collect_reservations()) == []

    assert harness.failures == [
        PlacementFailure("servers-rest", "every server rests or leaves", 6.0)
    ]
    assert [one.queued.deadline_at for one in harness.tickets] == [1009.0]


def test_wait_is_placed_when_a_backoff_ends_in_time() -> None:
    harness = DispatcherHarness(servers=1)
    with patch("kingcupwheel.entry.group_dispatcher.monotonic", lambda: harness.now):
        harness.back_off("server-0", 2.0)
        harness.submit(5.0)
        assert list(harness.collect_reservations()) == []
        harness.now += 2.0
        harness.dispatcher.place_waiting()

        assert [one.server for one in harness.collect_reservations()] == ["server-0"]


def test_retry_waits_for_an_untried_server_in_backoff() -> None:
    harness = DispatcherHarness(servers=2)
    with patch("kingcupwheel.entry.group_dispatcher.monotonic", lambda: harness.now):
        harness.back_off("server-1", 2.0)
        harness.submit(5.0, frozenset({"server-0"}))
        assert list(harness.collect_reservations()) == []
        assert harness.failures == []
        harness.now += 2.0
        harness.dispatcher.place_waiting()

        assert [one.server for one in harness.collect_reservations()] == ["server-1"]


def test_retry_without_untried_servers_gets_the_backoff_left() -> None:
    harness = DispatcherHarness(servers=1)
    with patch("kingcupwheel.entry.group_dispatcher.monotonic", lambda: harness.now):
        harness.back_off("server-0", 3.0)
        harness.submit(5.0, frozenset({"server-0"}))
        assert list(harness.collect_reservations()) == []
        assert harness.dispatcher.get_backoff_left_s() == 3.0

    assert harness.failures == [
        PlacementFailure("no-server", "every server was tried", 3.0)
    ]


def test_retry_does_not_wait_for_capacity_of_a_tried_server() -> None:
    """Otherwise its caller is told too late.

    That is at its deadline, or once the tried server has capacity.
    """
    harness = DispatcherHarness(servers=2)
    with patch("kingcupwheel.entry.group_dispatcher.monotonic", lambda: harness.now):
        harness.back_off("server-1", 8.0)
        for _ in range(SLOTS_PER_SERVER):
            harness.submit(5.0)
        assert len(list(harness.collect_reservations())) == SLOTS_PER_SERVER
        harness.submit(5.0, frozenset({"server-0"}))
        assert list(harness.collect_reservations()) == []

    why = "every untried server rests or leaves"
    assert harness.failures == [PlacementFailure("servers-rest", why, 8.0)]


def test_wait_depends_on_the_backoff_if_the_other_servers_leave() -> None:
    harness = DispatcherHarness(servers=2)
    with patch("kingcupwheel.entry.group_dispatcher.monotonic", lambda: harness.now):
        harness.back_off("server-0", 3.0)
        harness.leave("server-1")
        harness.submit(2.0)
        assert list(harness.collect_reservations()) == []

    assert harness.failures == [
        PlacementFailure("servers-rest", "every server rests or leaves", 3.0)
    ]


def test_restarted_server_is_not_in_backoff() -> None:
    harness = DispatcherHarness(servers=1)
    with patch("kingcupwheel.entry.group_dispatcher.monotonic", lambda: harness.now):
        harness.back_off("server-0", 60.0)
        harness.incarnation_count_by_server["server-0"] += 1
        harness.record_heartbeat("server-0")
        harness.submit(5.0)

        assert [one.server for one in harness.collect_reservations()] == ["server-0"]
