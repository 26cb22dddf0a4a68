from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest
import yaml
from click.testing import CliRunner

from kingcupwheel.console.application import main
from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.link.hub import MessageHub
from kingcupwheel.manifest.loader import load_manifest
from kingcupwheel.messages.membership import StatusReply
from kingcupwheel.messages.membership import StatusRequest
from tests.manifest.builders import as_data
from tests.manifest.builders import build_manifest


if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from click.testing import Result

    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message
    from tests.standins.platform import PlatformStandIn


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "manifest.yaml"
    path.write_text(yaml.safe_dump(as_data(build_manifest())))
    return path


def _run(*arguments: Any) -> Result:
    return CliRunner().invoke(main, ["manifest", *map(str, arguments)])


@contextmanager
def _process(
    platform: PlatformStandIn, name: str, version: int | None
) -> Iterator[None]:
    """List a process that reports ``version``, or does not respond if it is None."""

    def reply_to_status(link: Link, message: Message) -> None:
        if isinstance(message, StatusRequest) and version is not None:
            reply = StatusReply(
                name=name,
                role="entry",
                data_centre="Heredia",
                manifest_version=version,
                leaving=False,
            )
            hub.send(link, reply)

    hub = MessageHub(
        listen="127.0.0.1:0", on_message=reply_to_status, on_tick=lambda _: None
    )
    platform.state.set_instance(
        name,
        {
            "name": name,
            "role": "entry",
            "group": "",
            "data_centre": "Heredia",
            "address": f"127.0.0.1:{hub.port}",
            "http": "",
            "leaving": False,
        },
    )
    hub.start()
    yield
    hub.stop()


def test_a_submitted_manifest_can_be_shown_and_resubmitted(
    platform: PlatformStandIn, file: Path
) -> None:
    platform_option = ("--platform", platform.url)
    assert _run("show", *platform_option).exit_code == ExitCode.NOT_FOUND
    first = _run("submit", file, *platform_option, "--expect", 0, "--json")
    version = msgspec.json.decode(first.stdout)["version"]

    shown = _run("show", *platform_option).stdout

    assert shown.startswith(f"# Version {version}, submission ")
    assert load_manifest(shown).ok == build_manifest()
    assert (
        _run("submit", file, *platform_option, "--expect", version).exit_code
        == ExitCode.OK
    )


def test_each_failure_has_its_own_exit_code_and_one_line(
    platform: PlatformStandIn, file: Path
) -> None:
    platform_option = ("--platform", platform.url)
    _run("submit", file, *platform_option)

    conflict = _run("submit", file, *platform_option, "--expect", 0)
    platform.state.set_switches(outage="down")
    outage = _run("submit", file, *platform_option, "--timeout", 0.3)
    invalid_url = _run("show", "--platform", "10.0.0.5")
    file.write_text("groups: 3\n")
    invalid_manifest = _run("submit", file, *platform_option)

    assert conflict.exit_code == ExitCode.CONFLICT
    assert "made for version 0, but version" in conflict.stderr
    assert outage.exit_code == ExitCode.UNAVAILABLE
    assert "not accepted: the platform failed" in outage.stderr
    assert invalid_url.exit_code == ExitCode.USAGE
    assert "'10.0.0.5' is no http:// or https:// address." in invalid_url.stderr
    assert invalid_manifest.exit_code == ExitCode.INVALID
    assert invalid_manifest.stderr.splitlines() == [
        f"kingcupwheel: {file}: organisations: missing",
        f"kingcupwheel: {file}: groups: expected list, got int",
        f"kingcupwheel: {file}: routes: missing",
    ]
    assert conflict.stderr.count("\n") == outage.stderr.count("\n") == 1


def test_status_lists_outdated_and_unresponsive_processes(
    platform: PlatformStandIn, file: Path
) -> None:
    platform_option = ("--platform", platform.url)
    submitted = _run("submit", file, *platform_option, "--json")
    version = msgspec.json.decode(submitted.stdout)["version"]

    with _process(platform, "e1", version):
        assert _run("status", *platform_option).exit_code == ExitCode.OK
        with _process(platform, "e2", version - 1), _process(platform, "e3", None):
            result = _run("status", *platform_option, "--timeout", 0.5)

    assert result.exit_code == ExitCode.INCOMPLETE
    assert result.stdout.splitlines() == [
        f"Version {version} is in force on 1 of 3 listed processes.",
        f"  entry e2 in Heredia: on {version - 1}",
        "  entry e3 in Heredia: no answer",
    ]
