from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from expression import Error

from kingcupwheel.agent.adapters.base import AnswerLost
from kingcupwheel.agent.adapters.base import ServerState
from kingcupwheel.agent.answer_store import AnswerStore
from kingcupwheel.agent.attempt_runner import AttemptRunner
from kingcupwheel.agent.attempt_table import AttemptTable
from kingcupwheel.agent.attempts import AttemptKey
from kingcupwheel.agent.crash_table import CrashTable
from kingcupwheel.agent.heartbeat import ServerProbe
from kingcupwheel.trace.recorder import TraceRecorder
from tests.agent.builders import build_dispatch
from tests.agent.fake_entry import wait_until


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from expression import Result

    from kingcupwheel.agent.adapters.base import AdapterError
    from kingcupwheel.agent.adapters.base import ServerAnswer
    from kingcupwheel.agent.adapters.cancellation import Cancellation
    from kingcupwheel.messages.attempts import Dispatch


class StuckAdapter:
    """Server adapter that reports a state but never returns an answer."""

    def __init__(self) -> None:
        self.incarnation = "first"

    def start(
        self, _: Dispatch, cancellation: Cancellation, __: Callable[[str], None]
    ) -> Result[ServerAnswer, AdapterError]:
        cancellation.wait(60.0)
        return Error(AnswerLost("cancelled", has_server_crashed=False))

    def state(self) -> ServerState:
        return ServerState(
            is_up=True, incarnation=self.incarnation, running_count=0, tokens_per_s=0.0
        )


class ProbeHarness:
    def __init__(self) -> None:
        self.adapter = StuckAdapter()
        self.runs = AttemptTable(
            incarnation="incarnation-1", capacity=4, queue_limit=0, token_s=5.0
        )
        self.runner = AttemptRunner(
            name="agent-1",
            attempt_table=self.runs,
            store=AnswerStore(
                limit_bytes=1000, end_retention_s=60.0, send=lambda *_: None
            ),
            adapter=self.adapter,
            crash_table=CrashTable(),
            recorder=TraceRecorder("agent-1", max_requests=10),
            on_server_crash=lambda: None,
        )
        self.probe = ServerProbe(self.adapter, self.runner, period_s=0.01)

    def start_attempt(self, name: str) -> None:
        message = build_dispatch(name)
        self.runs.handle_dispatch(message, now=0.0)
        self.runner.start(message)


@pytest.fixture
def harness() -> Iterator[ProbeHarness]:
    harness = ProbeHarness()
    yield harness
    harness.probe.stop()
    for message in harness.runs.running_dispatches:
        harness.runner.cancel(AttemptKey(message.request_id, message.attempt))


def test_crashed_server_is_down_until_its_new_incarnation_replies(
    harness: ProbeHarness,
) -> None:
    """Guards against sending requests to a crashed server on a stale probe.

    An attempt thread detects the crash after the latest probe, so the server is down
    until the next probe.
    """
    harness.probe.start()
    wait_until(lambda: harness.probe.is_up, "the first answer")
    harness.probe.stop()

    harness.runner.record_server_crash(0)

    assert harness.probe.state.is_up
    assert not harness.probe.is_up


def test_attempt_is_not_counted_for_a_crash_of_a_later_generation(
    harness: ProbeHarness,
) -> None:
    """Guards against suspecting an innocent request after two crashes in a row.

    Its attempt has not detected the first crash when the restarted server crashes too.
    """
    harness.start_attempt("bystander")
    harness.runner.record_server_crash(0)
    harness.start_attempt("faulty")

    harness.runner.record_server_crash(1)

    assert harness.runner.crash_table.count_crashes("print of bystander") == 1
    assert harness.runner.crash_table.count_crashes("print of faulty") == 1


def test_new_incarnation_seen_by_the_probe_counts_as_one_crash(
    harness: ProbeHarness,
) -> None:
    harness.start_attempt("a")
    harness.probe.start()
    wait_until(lambda: harness.probe.is_up, "the first answer")

    harness.adapter.incarnation = "second"
    wait_until(
        lambda: harness.runner.server_generation == 1, "the crash to be recorded"
    )
    wait_until(lambda: harness.probe.is_up, "the new incarnation to reply")
    harness.runner.record_server_crash(0)

    assert harness.runner.crash_table.count_crashes("print of a") == 1
