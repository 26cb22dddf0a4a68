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


_LOOK_AGAIN_S = 0.25


class _StopSignals:
    """Notes that a planned stop was asked for; a second signal changes nothing.

    The handler only sets a flag: it may interrupt any step of the main thread, where
    taking a lock could wait for ever. ``signal.sigtimedwait`` won't do, because after a
    pause of the process (SIGSTOP, SIGCONT) it returns without a signal.
    """

    def __init__(self) -> None:
        self.wanted = False
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._note)

    def _note(self, *_: object) -> None:
        self.wanted = True


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
    stop_signals = _StopSignals()
    daemon.start()
    while not daemon.wait_drained(_LOOK_AGAIN_S):
        if stop_signals.wanted:
            daemon.leave()
    daemon.stop()
