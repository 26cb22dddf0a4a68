"""``kingcupwheel agent``."""

from __future__ import annotations

import click

from kingcupwheel.agent.daemon import AgentDaemon
from kingcupwheel.console.daemons import run_daemon
from kingcupwheel.settings.schema import Role


@click.command("agent")
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(),
    help="Settings file (YAML).",
)
def command(path: str) -> None:
    """Serve a backend server until SIGTERM, then finish and deliver what runs."""
    run_daemon(path, Role.AGENT, AgentDaemon)
