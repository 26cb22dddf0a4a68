"""``kingcupwheel agent``."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import click
import msgspec

from kingcupwheel.agent.daemon import AgentDaemon
from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.exceptions import KingcupwheelError
from kingcupwheel.plugins.kernel import load_builtin
from kingcupwheel.settings.schema import Settings
from kingcupwheel.utils.logs import configure_logs


_STOP_SIGNALS = {signal.SIGTERM, signal.SIGINT}
_LOOK_AGAIN_S = 0.25


@click.command("agent")
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The process's settings file (YAML).",
)
def command(path: Path) -> None:
    """Serve as the agent of one backend server until SIGTERM.

    SIGTERM begins a planned stop: no new work, what runs is completed and delivered.
    """
    try:
        settings = msgspec.yaml.decode(path.read_bytes(), type=Settings)
        load_builtin()
        configure_logs(settings.name, settings.log_level.value)
        daemon = AgentDaemon(settings)
    except (msgspec.MsgspecError, KingcupwheelError) as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(ExitCode.INVALID)
    # Blocked before any thread starts, so that signals wait for sigtimedwait below and
    # a second one interrupts nothing.
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    daemon.start()
    while not daemon.wait_drained(0.0):
        if signal.sigtimedwait(_STOP_SIGNALS, _LOOK_AGAIN_S) is not None:
            daemon.leave()
    daemon.stop()
