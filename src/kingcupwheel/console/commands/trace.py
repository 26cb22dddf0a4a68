"""The ``kingcupwheel trace`` command."""

from __future__ import annotations

import sys
from itertools import chain
from typing import TYPE_CHECKING
from typing import NoReturn
from typing import TextIO

import click
import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.console.platform_access import create_platform_client
from kingcupwheel.console.process_addresses import address_option
from kingcupwheel.link.query_client import QueryClient
from kingcupwheel.trace import log_timeline
from kingcupwheel.trace.claim_lookup import ClaimSummary
from kingcupwheel.trace.claim_lookup import find_claim
from kingcupwheel.trace.exceptions import ClaimNotFound
from kingcupwheel.trace.exceptions import FindError
from kingcupwheel.trace.exceptions import InvalidRequestId
from kingcupwheel.trace.exceptions import PlatformUnavailable
from kingcupwheel.trace.timeline import OutcomeState
from kingcupwheel.trace.timeline_finder import TimelineFinder
from kingcupwheel.trace.timeline_text import format_timeline


if TYPE_CHECKING:
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.trace.timeline import RequestTimeline


@click.command("trace")
@click.argument("request_id", required=False)
@click.option("--platform", "url", help="URL of the platform's service.")
@click.option(
    "--logs",
    "logs",
    type=click.File("r", encoding="utf-8", errors="replace"),
    multiple=True,
    help="Read JSON log lines from this file instead; can be repeated.",
)
@click.option("--idempotency-key", help="Find the request by its idempotency key.")
@click.option("--organisation", help="Organisation of the idempotency key.")
@address_option
@click.option("--timeout", "timeout_s", default=2.0, show_default=True, help="Seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(
    request_id: str | None,
    url: str | None,
    logs: tuple[TextIO, ...],
    idempotency_key: str | None,
    organisation: str | None,
    address_by_process: dict[str, str],
    timeout_s: float,
    as_json: bool,
) -> None:
    """Show how one request was processed, and why.

    Exit code 0: the trace is complete; 1: its events contradict each other; 5: the
    platform can't be read; 6: nothing was found; 7: parts are missing.
    """
    if logs:
        _print_story_from_logs(request_id, logs, as_json=as_json)
    if url is None:
        raise click.UsageError("either --platform or --logs is required.")
    client = create_platform_client(url)
    resolved = _resolve_request(client, request_id, idempotency_key, organisation)
    if resolved.is_error():
        _exit_with_find_error(resolved.error)
    claim = resolved.ok
    finder = TimelineFinder(
        client,
        QueryClient(timeout_s=timeout_s),
        address_by_process=address_by_process,
        agents=(claim.agent,) if claim.agent else (),
    )
    story = finder.find(claim.request_id)
    if story.is_error():
        _exit_with_find_error(story.error)
    _print_story(story.ok, as_json=as_json)
    sys.exit(_get_exit_code(story.ok))


def _print_story_from_logs(
    request_id: str | None, logs: tuple[TextIO, ...], *, as_json: bool
) -> NoReturn:
    if not request_id:
        raise click.UsageError("--logs requires a request id.")
    log_story = log_timeline.build_log_timeline(request_id, chain.from_iterable(logs))
    if as_json:
        encoded = msgspec.json.format(
            msgspec.json.encode(log_story._asdict()), indent=2
        )
        click.echo(encoded.decode())
    else:
        click.echo(log_timeline.format_log_timeline(log_story))
    if not log_story.lines:
        sys.exit(ExitCode.NOT_FOUND)
    sys.exit(ExitCode.INCOMPLETE if log_story.gaps else ExitCode.OK)


def _resolve_request(
    client: PlatformClient,
    request_id: str | None,
    idempotency_key: str | None,
    organisation: str | None,
) -> Result[ClaimSummary, FindError]:
    if request_id:
        return Ok(ClaimSummary(request_id))
    if idempotency_key and organisation:
        return find_claim(client, organisation, idempotency_key)
    if idempotency_key or organisation:
        raise click.UsageError(
            "--idempotency-key and --organisation must be given together."
        )
    return Error(InvalidRequestId(""))


def _print_story(story: RequestTimeline, *, as_json: bool) -> None:
    if as_json:
        encoded = msgspec.json.format(msgspec.json.encode(story), indent=2)
        click.echo(encoded.decode())
    else:
        click.echo(format_timeline(story))


def _get_exit_code(story: RequestTimeline) -> ExitCode:
    match story.state:
        case OutcomeState.UNKNOWN:
            return ExitCode.NOT_FOUND
        case OutcomeState.CONTRADICTORY:
            return ExitCode.FAILED
        case _:
            return ExitCode.OK if story.is_complete else ExitCode.INCOMPLETE


def _exit_with_find_error(error: FindError) -> None:
    match error:
        case InvalidRequestId(text):
            _exit_with_message(f"{text!r} is not a valid request id.", ExitCode.USAGE)
        case ClaimNotFound(key):
            message = f"No claim found for key {key!r}; claims have a retention period."
            _exit_with_message(message, ExitCode.NOT_FOUND)
        case PlatformUnavailable(detail):
            _exit_with_message(
                f"Cannot read the claim or trace: {detail}.", ExitCode.UNAVAILABLE
            )


def _exit_with_message(message: str, code: ExitCode) -> None:
    click.echo(f"Error: {message}", err=True)
    sys.exit(code)
