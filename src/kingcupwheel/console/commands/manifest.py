"""The ``kingcupwheel manifest`` commands."""

from __future__ import annotations

import secrets
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NoReturn

import click
import msgspec

from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.console.manifest_formatting import VersionedManifest
from kingcupwheel.console.manifest_formatting import format_manifest
from kingcupwheel.console.manifest_formatting import format_rollout
from kingcupwheel.console.platform_access import create_platform_client
from kingcupwheel.console.problem_reports import print_problems
from kingcupwheel.manifest.exceptions import ObjectTooLarge
from kingcupwheel.manifest.exceptions import PlatformFailure
from kingcupwheel.manifest.exceptions import UnknownOutcome
from kingcupwheel.manifest.exceptions import VersionConflict
from kingcupwheel.manifest.loader import load_manifest
from kingcupwheel.manifest.platform_retries import describe_platform_error
from kingcupwheel.manifest.rollout_status import build_rollout_status
from kingcupwheel.manifest.rollout_status import query_statuses
from kingcupwheel.manifest.store import DEFAULT_RETRY_TIMEOUT_S
from kingcupwheel.manifest.store import ManifestStore
from kingcupwheel.plugins.registries import load_builtin_plugins
from kingcupwheel.plugins.registries import placement_policies


if TYPE_CHECKING:
    from kingcupwheel.manifest.assembly import AssembledManifest
    from kingcupwheel.manifest.exceptions import SubmitError
    from kingcupwheel.manifest.schema import Manifest

_SUBMISSION_ID_BYTES = 8
_NO_MANIFEST_MESSAGE = "no manifest has been submitted yet"

_file_argument = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
_platform_option = click.option(
    "--platform", "url", required=True, help="URL of the platform's service."
)
_json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group("manifest")
def command() -> None:
    """Validate, submit and show the manifest, and follow its rollout."""


@command.command("check")
@_file_argument
@_json_option
def check(file: Path, as_json: bool) -> None:
    """Validate a manifest file and list all problems.

    Exit code 0: the file is valid; 3: it is invalid, with one line per problem.
    """
    manifest = _load_manifest_or_exit(file, as_json=as_json)
    if as_json:
        print_problems(file, (), as_json=True)
        return
    click.echo(
        f"{file}: good manifest of {len(manifest.organisations)} organisations,"
        f" {len(manifest.groups)} groups and {len(manifest.routes)} routes."
    )


@command.command("submit")
@_file_argument
@_platform_option
@click.option(
    "--expect",
    type=click.IntRange(min=0),
    help="Expected current version; 0 if there is none.",
)
@click.option(
    "--timeout",
    "timeout_s",
    default=DEFAULT_RETRY_TIMEOUT_S,
    show_default=True,
    help="Seconds to keep retrying.",
)
@_json_option
def submit(
    file: Path, url: str, expect: int | None, timeout_s: float, as_json: bool
) -> None:
    """Submit a manifest atomically to all processes.

    Exit code 0: accepted; 3: the manifest is invalid; 4: another manifest was accepted
    first; 5: the platform failed and nothing was accepted; 7: unknown whether it was
    accepted.
    """
    manifest = _load_manifest_or_exit(file, as_json=as_json)
    store = ManifestStore(create_platform_client(url), retry_timeout_s=timeout_s)
    submission_id = secrets.token_hex(_SUBMISSION_ID_BYTES)
    result = store.submit(
        manifest, submission_id=submission_id, expected_version=expect
    )
    if result.is_error():
        _exit_with_submit_error(result.error)
    accepted = result.ok
    if as_json:
        _print_json(accepted._asdict())
        return
    superseded_note = (
        " A later version is in force already." if accepted.superseded else ""
    )
    click.echo(
        f"Version {accepted.version} is accepted"
        f" (shards: {accepted.shards_written} written,"
        f" {accepted.shards_reused} reused).{superseded_note}"
    )


@command.command("show")
@_platform_option
@_json_option
def show(url: str, as_json: bool) -> None:
    """Print the manifest in force in a form that can be edited and submitted.

    Exit code 0: printed; 5: the platform failed; 6: there is no manifest yet.
    """
    version, assembly = _fetch_manifest_or_exit(
        ManifestStore(create_platform_client(url))
    )
    versioned = VersionedManifest(
        version=version,
        submission=assembly.index_object.submission_id,
        manifest=assembly.manifest,
    )
    if as_json:
        _print_json(versioned)
    else:
        click.echo(format_manifest(versioned), nl=False)


@command.command("status")
@_platform_option
@click.option("--timeout", "timeout_s", default=2.0, show_default=True, help="Seconds.")
@_json_option
def status(url: str, timeout_s: float, as_json: bool) -> None:
    """Show which processes have adopted the manifest in force.

    Exit code 0: all listed processes; 5: the platform failed; 6: there is no manifest
    yet; 7: some processes are behind or did not answer; they are listed.
    """
    client = create_platform_client(url)
    version = _fetch_version_or_exit(ManifestStore(client))
    instances = client.instances()
    if instances.is_error():
        _exit_with_message(
            f"can't read the instance list: {describe_platform_error(instances.error)}",
            ExitCode.UNAVAILABLE,
        )
    rollout = build_rollout_status(
        version, instances.ok, query_statuses(instances.ok, timeout_s)
    )
    if as_json:
        _print_json(rollout)
    else:
        click.echo(format_rollout(rollout), nl=False)
    sys.exit(ExitCode.OK if rollout.is_complete else ExitCode.INCOMPLETE)


def _load_manifest_or_exit(file: Path, *, as_json: bool) -> Manifest:
    load_builtin_plugins()
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        _exit_with_message(f"cannot read {file}: {error}", ExitCode.INVALID)
    loaded = load_manifest(text, placements=placement_policies.names)
    if loaded.is_error():
        print_problems(file, loaded.error, as_json=as_json)
        sys.exit(ExitCode.INVALID)
    return loaded.ok


def _fetch_manifest_or_exit(store: ManifestStore) -> tuple[int, AssembledManifest]:
    fetched = store.fetch()
    if fetched.is_error():
        _exit_with_message(str(fetched.error), ExitCode.UNAVAILABLE)
    if fetched.ok is None:
        _exit_with_message(_NO_MANIFEST_MESSAGE, ExitCode.NOT_FOUND)
    return fetched.ok


def _fetch_version_or_exit(store: ManifestStore) -> int:
    version = store.read_version()
    if version.is_error():
        _exit_with_message(str(version.error), ExitCode.UNAVAILABLE)
    if version.ok == 0:
        _exit_with_message(_NO_MANIFEST_MESSAGE, ExitCode.NOT_FOUND)
    return version.ok


def _exit_with_submit_error(error: SubmitError) -> NoReturn:
    match error:
        case VersionConflict():
            _exit_with_message(str(error), ExitCode.CONFLICT)
        case PlatformFailure():
            _exit_with_message(f"not accepted: {error}", ExitCode.UNAVAILABLE)
        case ObjectTooLarge():
            _exit_with_message(f"not accepted: {error}", ExitCode.INVALID)
        case UnknownOutcome():
            _exit_with_message(str(error), ExitCode.INCOMPLETE)


def _exit_with_message(message: str, code: ExitCode) -> NoReturn:
    click.echo(f"kingcupwheel: {message}", err=True)
    sys.exit(code)


def _print_json(content: object) -> None:
    encoded = msgspec.json.format(msgspec.json.encode(content), indent=2)
    click.echo(encoded.decode())
