"""The ``kingcupwheel report`` commands."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from kingcupwheel.burn.report_collector import gather_report
from kingcupwheel.burn.report_page import render_page
from kingcupwheel.burn.report_text import format_report
from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.console.platform_access import create_platform_client
from kingcupwheel.console.process_addresses import address_option
from kingcupwheel.link.query_client import QueryClient


if TYPE_CHECKING:
    from kingcupwheel.burn.burn_report import BurnReport


@click.group("report")
def command() -> None:
    """Report on the system as a whole."""


@command.command("burn")
@click.option("--platform", "url", required=True, help="URL of the platform's service.")
@address_option
@click.option("--timeout", "timeout_s", default=2.0, show_default=True, help="Seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--html",
    "html",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Also write the report to this file as HTML.",
)
def burn(
    url: str,
    address_by_process: dict[str, str],
    timeout_s: float,
    as_json: bool,
    html: Path | None,
) -> None:
    """Report burn rates of the service-level error budgets, and their causes.

    Exit code 0: every entry answered; 5: the platform's list can't be read; 7: some
    entries did not answer; they are listed.
    """
    gathered = gather_report(
        create_platform_client(url),
        QueryClient(timeout_s=timeout_s),
        address_by_process=address_by_process,
        now=time.time(),
    )
    if gathered.is_error():
        click.echo(f"Error: {gathered.error.detail}.", err=True)
        sys.exit(ExitCode.UNAVAILABLE)
    report = gathered.ok
    if html:
        html.write_text(render_page(report), encoding="utf-8")
    _print_report(report, as_json=as_json)
    sys.exit(ExitCode.OK if report.is_complete else ExitCode.INCOMPLETE)


def _print_report(report: BurnReport, *, as_json: bool) -> None:
    if as_json:
        encoded = msgspec.json.format(msgspec.json.encode(report), indent=2)
        click.echo(encoded.decode())
    else:
        click.echo(format_report(report))
