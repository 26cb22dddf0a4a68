"""The ``kingcupwheel entry`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from kingcupwheel.console.daemon_runner import run_daemon
from kingcupwheel.console.daemon_runner import settings_option
from kingcupwheel.settings.schema import Role


if TYPE_CHECKING:
    from kingcupwheel.console.daemon_runner import Daemon
    from kingcupwheel.settings.schema import Settings


@click.command("entry")
@settings_option
def command(path: str) -> None:
    """Run an entry, which serves callers, until SIGTERM, then drain it.

    Requests in progress are finished before it exits.
    """
    run_daemon(path, Role.ENTRY, _create_daemon)


def _create_daemon(settings: Settings) -> Daemon:
    # Imports only the daemon in use, which makes a restarted process serve a quarter of
    # a second earlier.
    if settings.forwarding is not None:
        from kingcupwheel.forwarding.daemon import ForwardingDaemon

        return ForwardingDaemon(settings)
    from kingcupwheel.entry.daemon import EntryDaemon

    return EntryDaemon(settings)
