"""The ``kingcupwheel agent`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from kingcupwheel.console.daemon_runner import run_daemon
from kingcupwheel.console.daemon_runner import settings_option
from kingcupwheel.settings.schema import Role


if TYPE_CHECKING:
    from kingcupwheel.console.daemon_runner import Daemon
    from kingcupwheel.settings.schema import Settings


@click.command("agent")
@settings_option
def command(path: str) -> None:
    """Run the agent of a backend server until SIGTERM, then drain it.

    Requests in progress are finished and their answers delivered before it exits.
    """
    run_daemon(path, Role.AGENT, _create_daemon)


def _create_daemon(settings: Settings) -> Daemon:
    # Imports only the daemon in use, which makes a restarted process serve a quarter of
    # a second earlier.
    if settings.rank is not None:
        from kingcupwheel.lockstep.daemon import RankDaemon

        return RankDaemon(settings)
    from kingcupwheel.agent.daemon import AgentDaemon

    return AgentDaemon(settings)
