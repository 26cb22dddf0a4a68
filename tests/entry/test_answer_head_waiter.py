from __future__ import annotations

import time
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import cast

from kingcupwheel.entry.answer_assembler import AnswerEnded
from kingcupwheel.entry.answer_head_waiter import AnswerHeadWaiter
from kingcupwheel.entry.answer_head_waiter import WaitAbandoned
from kingcupwheel.entry.attempt_inboxes import AttemptInbox
from kingcupwheel.entry.attempt_inboxes import AttemptKey
from kingcupwheel.entry.attempt_inboxes import WaitTimedOut
from kingcupwheel.entry.server_table import ServerTable
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.settings.schema import Timings
from tests.burn.builders import build_caller_request
from tests.entry.builders import ADDRESS
from tests.entry.builders import agent_heartbeat
from tests.entry.builders import agent_instance


if TYPE_CHECKING:
    from kingcupwheel.entry.answer_reader import AnswerReader
    from kingcupwheel.entry.caller_connection import CallerConnection
    from kingcupwheel.entry.caller_requests import CallerRequest
    from kingcupwheel.entry.context import EntryContext

TIMINGS = Timings()


class SilentReader:
    """Reader of an attempt whose agent has become silent."""

    def __init__(self) -> None:
        self.inbox = AttemptInbox(AttemptKey("entry.1.a", 1), ADDRESS, "life-1")
        self.cancel_count = 0

    def read_step(self, timeout_s: float) -> WaitTimedOut:
        return WaitTimedOut()

    def cancel(self) -> None:
        self.cancel_count += 1


def wait_for(
    request: CallerRequest, reader: SilentReader, heard_s_ago: float
) -> object:
    heard_at = time.monotonic() - heard_s_ago
    table = ServerTable(TIMINGS)
    table.set_instances((agent_instance(),), heard_at)
    table.record_heartbeat(ADDRESS, agent_heartbeat(), heard_at)
    context = SimpleNamespace(servers=table, settings=SimpleNamespace(timings=TIMINGS))
    connection = SimpleNamespace(is_closed=lambda: False)
    wait = AnswerHeadWaiter(
        cast("EntryContext", context), request, cast("CallerConnection", connection)
    )
    return wait.wait(cast("AnswerReader", reader))


def test_repeatable_request_does_not_wait_for_a_silent_agent() -> None:
    """Guards against a first token only after ``give_up_s``, 20 s by default.

    The agent has been silent for more than ``gone_s`` (5 s), so the request is retried.
    """
    reader = SilentReader()
    request = build_caller_request()._replace(received_at=time.monotonic())

    step = wait_for(request, reader, TIMINGS.gone_s + 1)

    assert isinstance(step, AnswerEnded)
    assert step.outcome is Outcome.UNKNOWN
    assert reader.cancel_count == 1


def test_non_repeatable_request_waits_for_its_silent_agent() -> None:
    """Guards against an ``unknown`` outcome while the only run may still answer.

    The agent is silent equally long; only the caller's own deadline ends the wait.
    """
    reader = SilentReader()
    request = build_caller_request()
    route = request.route
    request = request._replace(
        route=type(route)(path=route.path, group=route.group, repeatable=False),
        received_at=time.monotonic() - 60,
        has_own_deadline=True,
    )

    step = wait_for(request, reader, TIMINGS.gone_s + 1)

    assert isinstance(step, WaitAbandoned)
