from __future__ import annotations

import pytest

from kingcupwheel.entry.server_table import AgentRestarted
from kingcupwheel.entry.server_table import AgentTimedOut
from kingcupwheel.entry.server_table import LinkSilent
from kingcupwheel.entry.server_table import ServerTable
from kingcupwheel.settings.schema import Timings
from tests.entry.builders import ADDRESS
from tests.entry.builders import agent_heartbeat
from tests.entry.builders import agent_instance


TIMINGS = Timings()


@pytest.fixture
def table() -> ServerTable:
    table = ServerTable(TIMINGS)
    table.set_instances((agent_instance(),), 0.0)
    table.check_liveness(0.0)
    table.record_heartbeat(ADDRESS, agent_heartbeat(), 0.0)
    return table


def check_each_second(table: ServerTable, first: int, last: int) -> list[object]:
    return [
        event for now in range(first, last + 1) for event in table.check_liveness(now)
    ]


def test_silent_link_is_replaced_repeatedly_until_its_agent_times_out(
    table: ServerTable,
) -> None:
    """Requests wait while links are replaced and are abandoned after a timeout.

    The agent sends nothing from time 0 on. Its link is replaced every ``silence_s``,
    and the agent times out once, after ``give_up_s``.
    """
    events = check_each_second(table, 1, int(TIMINGS.give_up_s) + 4)

    kinds = [type(one) for one in events]
    assert kinds.count(AgentTimedOut) == 1
    assert kinds.index(AgentTimedOut) == 5
    assert kinds[:5] == [LinkSilent] * 5
    assert not table.list_by_group("group")[0].is_in_service


def test_a_pause_of_this_process_is_not_taken_for_silence_of_the_others(
    table: ServerTable,
) -> None:
    """Answers must continue after the entry was suspended for an hour.

    Nothing was received meanwhile, so all agents look silent when it resumes.
    """
    check_each_second(table, 1, 2)

    assert table.check_liveness(3600.0) == ()
    assert table.list_by_group("group")[0].is_in_service


def test_restart_is_reported_once_and_an_unlisted_server_stays_while_in_use(
    table: ServerTable,
) -> None:
    assert table.record_heartbeat(
        ADDRESS, agent_heartbeat("life-2"), 1.0
    ) == AgentRestarted(ADDRESS, "life-2")
    assert table.record_heartbeat(ADDRESS, agent_heartbeat("life-2"), 2.0) is None

    table.list_by_group("group")[0].in_flight = 1
    assert table.set_instances((), 3.0) == ()
    assert not table.list_by_group("group")[0].is_in_service
    table.list_by_group("group")[0].in_flight = 0
    assert table.set_instances((), 4.0) == (ADDRESS,)


@pytest.mark.parametrize(("by_list", "by_itself"), [(True, False), (False, True)])
def test_server_is_out_of_service_if_the_list_or_its_agent_says_leaving(
    table: ServerTable, *, by_list: bool, by_itself: bool
) -> None:
    table.set_instances((agent_instance(leaving=by_list),), 1.0)
    table.record_heartbeat(ADDRESS, agent_heartbeat(leaving=by_itself), 1.0)

    assert not table.list_by_group("group")[0].is_in_service


def test_agent_known_only_by_reference_times_out_when_silent() -> None:
    """A caller that joined a run at another agent must learn that the agent died.

    The agent is not in this entry's subset; only the reference keeps it in the table.
    """
    table = ServerTable(TIMINGS)
    table.check_liveness(0.0)
    table.add_reference(agent_instance(), 0.0)

    assert table.set_instances((), 0.0) == ()
    events = check_each_second(table, 1, int(TIMINGS.give_up_s) + 1)
    assert [one for one in events if isinstance(one, AgentTimedOut)] == [
        AgentTimedOut(ADDRESS)
    ]
    table.remove_reference(ADDRESS)
    assert table.set_instances((), 30.0) == (ADDRESS,)
