"""``kingcupwheel entry``."""

from __future__ import annotations

import click

from kingcupwheel.console.daemons import run_daemon
from kingcupwheel.entry.daemon import EntryDaemon
from kingcupwheel.settings.schema import Role


@click.command("entry")
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(),
    help="Settings file (YAML).",
)
def command(path: str) -> None:
    """Serve callers until SIGTERM, then finish what is in progress."""
    run_daemon(path, Role.ENTRY, EntryDaemon)
