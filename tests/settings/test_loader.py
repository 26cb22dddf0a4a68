from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
import yaml
from click.testing import CliRunner

from kingcupwheel.console.application import main
from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.settings.loader import parse_settings
from tests.settings.builders import build_agent
from tests.settings.builders import build_entry


if TYPE_CHECKING:
    from pathlib import Path


def _problems(data: dict[str, Any]) -> list[str]:
    return [str(problem) for problem in parse_settings(yaml.safe_dump(data)).error]


@pytest.mark.parametrize("data", [build_entry(), build_agent()])
def test_settings_with_defaults_are_loaded(data: dict[str, Any]) -> None:
    settings = parse_settings(yaml.safe_dump(data)).ok

    assert settings.role.value == data["role"]
    assert settings.timings.heartbeat_s == 1.0


def test_unknown_keys_and_wrong_types_are_all_listed() -> None:
    data = build_entry()
    data["colour"] = "red"
    data["platform"]["timeout_s"] = "soon"
    data["limits"] = {}
    data["role"] = "boat"

    assert _problems(data) == [
        "colour: unknown field",
        "limits: unknown field",
        "role: invalid enum value 'boat'",
        "platform.timeout_s: expected float, got str",
    ]


def test_invalid_values_are_all_listed() -> None:
    data = build_entry()
    data |= {"name": "an entry", "listen": "localhost:7000", "http": "127.0.0.1:99999"}
    data["seeds"] = ["127.0.0.1:7000", "entry-2"]
    data["platform"] |= {"url": "ftp://x", "client": "pigeon"}
    data["entry"] = {"threads": 0}
    data["timings"] = {"silence_s": 0.5, "token_s": -1}

    assert [line.partition(":")[0] for line in _problems(data)] == [
        "name",
        "listen",
        "http",
        "seeds[1]",
        "platform.url",
        "platform.client",
        "entry.threads",
        "timings.token_s",
        "timings.silence_s",
    ]


def test_each_role_requires_its_fields_and_rejects_those_of_others() -> None:
    agent = build_agent()
    entry = build_entry()

    assert _problems(agent | {"role": "entry"}) == [
        "http: missing; an entry needs it",
        "server: is for agents only",
        "group: is for agents only",
    ]
    assert _problems(entry | {"role": "agent"}) == [
        "http: is for entries only",
        "group: missing; an agent needs it",
        "server: missing; an agent needs it",
    ]


def test_the_command_reports_the_invalid_field_in_one_line(tmp_path: Path) -> None:
    file = tmp_path / "entry.yaml"
    file.write_text(yaml.safe_dump(build_entry() | {"colour": "red"}))

    result = CliRunner().invoke(main, ["settings", "check", str(file)])

    assert result.exit_code == ExitCode.INVALID
    assert result.stderr == f"kingcupwheel: {file}: colour: unknown field\n"
    file.write_text(yaml.safe_dump(build_entry()))
    result = CliRunner().invoke(main, ["settings", "check", str(file), "--json"])
    assert (result.exit_code, result.stdout) == (0, '{"valid":true,"problems":[]}\n')
