from __future__ import annotations

import hashlib
import json
import time
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from kingcupwheel.console.application import main
from kingcupwheel.console.commands import trace
from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.link.hub import MessageHub
from kingcupwheel.messages.traces import TraceRequest
from kingcupwheel.platform.client import VersionedValue
from kingcupwheel.trace.recorder import TraceRecorder
from tests.trace.builders import AGENT
from tests.trace.builders import AGENT_EVENTS
from tests.trace.builders import ENTRY
from tests.trace.builders import ENTRY_EVENTS
from tests.trace.builders import MemoryPlatform
from tests.trace.builders import build_request_id


if TYPE_CHECKING:
    from collections.abc import Iterator

    from click.testing import Result

    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message


class LiveProcess:
    """A process that answers ``TraceRequest`` over its own socket."""

    def __init__(self, recorder: TraceRecorder) -> None:
        self._recorder = recorder
        self.hub = MessageHub(
            listen="127.0.0.1:0", on_message=self._answer, on_tick=lambda _: None
        )
        self.hub.start()

    def _answer(self, link: Link, message: Message) -> None:
        if isinstance(message, TraceRequest):
            self.hub.send(link, self._recorder.build_reply(message.request_id))


class CommandFixture:
    def __init__(self) -> None:
        self.platform = MemoryPlatform()
        entry, agent = (
            TraceRecorder(ENTRY, max_requests=10),
            TraceRecorder(AGENT, max_requests=10),
        )
        self.request_id = build_request_id(arrived_at=time.time() + 0.01)
        for event in ENTRY_EVENTS:
            entry.record(self.request_id, event)
        for event in AGENT_EVENTS:
            agent.record(self.request_id, event)
        self.processes = {ENTRY: LiveProcess(entry), AGENT: LiveProcess(agent)}

    def run(self, *arguments: str) -> Result:
        addresses = [
            f"--address={name}=127.0.0.1:{process.hub.port}"
            for name, process in self.processes.items()
        ]
        line = ["trace", "--platform=http://none", *addresses, *arguments]
        return CliRunner().invoke(main, line)


@pytest.fixture
def command_fixture(monkeypatch: pytest.MonkeyPatch) -> Iterator[CommandFixture]:
    fixture = CommandFixture()
    monkeypatch.setattr(trace, "create_platform_client", lambda _: fixture.platform)
    yield fixture
    for process in fixture.processes.values():
        process.hub.stop()


def test_command_queries_processes_and_prints_timeline(
    command_fixture: CommandFixture,
) -> None:
    result = command_fixture.run(command_fixture.request_id)

    assert result.exit_code == ExitCode.OK, result.output
    assert "Outcome told to the caller: ran (whole)." in result.output
    assert "agent-2  Handed to agent-2 to run (attempt 1)." in result.output


def test_request_is_found_by_organisation_and_idempotency_key(
    command_fixture: CommandFixture,
) -> None:
    key = f"claims/{hashlib.sha256(b'retazo' + bytes(1) + b'k1').hexdigest()}"
    claim = json.dumps(
        {"request_id": command_fixture.request_id, "agent": AGENT, "fence": 3}
    )
    command_fixture.platform.objects[key] = VersionedValue(key, 1, claim.encode())

    by_key = ("--idempotency-key=k1", "--organisation=retazo", "--json")
    result = command_fixture.run(*by_key)
    timeline = json.loads(result.output)
    assert (timeline["request_id"], timeline["outcome"]) == (
        command_fixture.request_id,
        "ran",
    )

    result = command_fixture.run("--idempotency-key=k2", "--organisation=retazo")
    assert result.exit_code == ExitCode.NOT_FOUND


def test_unresponsive_agent_is_reported_after_the_timeout(
    command_fixture: CommandFixture,
) -> None:
    """Guards against a command that hangs or hides the missing trace.

    The agent accepts the connection and never answers. The command waits for the
    timeout once, then looks for batches and reports what is missing.
    """
    unresponsive = MessageHub(
        listen="127.0.0.1:0", on_message=lambda *_: None, on_tick=lambda _: None
    )
    unresponsive.start()
    command_fixture.processes[AGENT].hub.stop()
    command_fixture.processes[AGENT].hub = unresponsive
    result = command_fixture.run(command_fixture.request_id, "--timeout=0.3")

    assert result.exit_code == ExitCode.INCOMPLETE
    assert "Missing: Part of agent-2's account may be missing" in result.output


def test_usage_errors_and_platform_outage_have_distinct_exit_codes(
    command_fixture: CommandFixture,
) -> None:
    assert command_fixture.run("nonsense").exit_code == ExitCode.USAGE
    assert command_fixture.run("--organisation=retazo").exit_code == ExitCode.USAGE
    command_fixture.platform.is_down = True
    by_key = ("--idempotency-key=k1", "--organisation=retazo")
    assert command_fixture.run(*by_key).exit_code == ExitCode.UNAVAILABLE
