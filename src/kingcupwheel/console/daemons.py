"""Runs a daemon until it is told to stop."""

from __future__ import annotations

import signal
import sys
import time
from typing import TYPE_CHECKING
from typing import NoReturn
from typing import Protocol

import click

from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.exceptions import KingcupwheelError
from kingcupwheel.settings.loader import load_settings
from kingcupwheel.utils.logs import configure_logs


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.settings.schema import Role
    from kingcupwheel.settings.schema import Settings


_LOOK_AGAIN_S = 0.1


class _StopSignals:
    """Notes that a planned stop was asked for; a second signal changes nothing.

    The handler only sets a flag. It runs between any two steps of the main thread, and
    an ``Event`` whose lock that thread holds just then would wait for itself: the
    symptom is a process that a quick second SIGTERM leaves hanging.
    """

    def __init__(self) -> None:
        self._told = False
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._note)

    def wait(self) -> None:
        """Return once a stop was asked for."""
        while not self._told:
            time.sleep(_LOOK_AGAIN_S)

    def _note(self, *_: object) -> None:
        self._told = True


class Daemon(Protocol):
    """What can be started and stopped gracefully."""

    def start(self) -> None:
        """Return once it serves."""

    def stop(self) -> None:
        """Return once everything in progress has ended."""


def run_daemon(path: str, role: Role, make: Callable[[Settings], Daemon]) -> NoReturn:
    """Run the daemon that the settings file describes; SIGTERM stops it gracefully.

    A second signal changes nothing: cutting off a request in progress is never right.
    """
    settings = _settings(path, role)
    configure_logs(settings.name, settings.log_level.value)
    told = _StopSignals()
    try:
        daemon = make(settings)
        daemon.start()
    except KingcupwheelError as error:
        click.echo(f"kingcupwheel: {error}", err=True)
        sys.exit(ExitCode.FAILED)
    told.wait()
    daemon.stop()
    sys.exit(ExitCode.OK)


def _settings(path: str, role: Role) -> Settings:
    loaded = load_settings(path)
    if loaded.is_error():
        for problem in loaded.error:
            click.echo(f"kingcupwheel: {path}: {problem}", err=True)
        sys.exit(ExitCode.INVALID)
    if loaded.ok.role is not role:
        message = f"kingcupwheel: {path}: role: {loaded.ok.role.value} is not {role}"
        click.echo(message, err=True)
        sys.exit(ExitCode.INVALID)
    return loaded.ok
