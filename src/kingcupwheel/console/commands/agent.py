"""``kingcupwheel agent``."""

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
    """Serve a backend server until SIGTERM, then finish and deliver what runs."""
    run_daemon(path, Role.AGENT, _create_daemon)


def _create_daemon(settings: Settings) -> Daemon:
    # Each way loads only what it uses: a process that starts anew in the middle of a
    # day serves a quarter of a second earlier.
    if settings.rank is not None:
        from kingcupwheel.lockstep.daemon import RankDaemon

        return RankDaemon(settings)
    from kingcupwheel.agent.daemon import AgentDaemon

    return AgentDaemon(settings)
