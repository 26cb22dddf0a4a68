"""Runs a daemon until it is told to stop."""

from __future__ import annotations

import contextlib
import faulthandler
import logging
import os
import select
import signal
import sys
from importlib import import_module
from time import monotonic
from typing import TYPE_CHECKING
from typing import NoReturn
from typing import Protocol

import click

from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.exceptions import KingcupwheelError
from kingcupwheel.settings.loader import load_settings
from kingcupwheel.telemetry.json_logs import JsonLogOutput
from kingcupwheel.telemetry.json_logs import lines_of
from kingcupwheel.utils.text_logs import configure_text_logs


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.settings.schema import Role
    from kingcupwheel.settings.schema import Settings


# Names the settings file if the command line does not.
SETTINGS_ENV_VARIABLE = "KINGCUPWHEEL_SETTINGS"
# How often a daemon looks whether it is to stop or to reload, in seconds.
_SIGNAL_POLL_INTERVAL_S = 0.1
# Bytes of the pipe that are read together, one for each signal.
_MAX_PIPE_READ_BYTES = 512

log = lines_of("process")

settings_option = click.option(
    "--settings",
    "path",
    required=True,
    envvar=SETTINGS_ENV_VARIABLE,
    type=click.Path(),
    help="Settings file (YAML).",
)


class _SignalReceiver:
    """Notes that a planned stop or a reload was asked for.

    A second signal to stop changes nothing.

    The handler only notes a time. It runs between any two steps of the main thread, and
    an ``Event`` whose lock that thread holds just then would wait for itself: the
    symptom is a process that a quick second SIGTERM leaves hanging. The interpreter
    writes to a pipe for each signal, which ends the wait at once: a planned stop has a
    grace that is counted from its signal.
    """

    def __init__(self) -> None:
        self._stop_requested_at: float | None = None
        self._is_reload_requested = False
        self._wakeup_fd, wakes = os.pipe()
        os.set_blocking(self._wakeup_fd, False)
        os.set_blocking(wakes, False)
        signal.set_wakeup_fd(wakes, warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._record_stop_request)
        signal.signal(signal.SIGHUP, self._record_reload_request)

    def wait_for_stop(self, reload: Callable[[], None]) -> float:
        """Return when a stop was asked for (monotonic), once one was.

        Calls ``reload`` for each reload.
        """
        while self._stop_requested_at is None:
            select.select([self._wakeup_fd], [], [], _SIGNAL_POLL_INTERVAL_S)
            with contextlib.suppress(BlockingIOError):
                os.read(self._wakeup_fd, _MAX_PIPE_READ_BYTES)
            if self._is_reload_requested:
                self._is_reload_requested = False
                reload()
        return self._stop_requested_at

    def _record_stop_request(self, *_: object) -> None:
        if self._stop_requested_at is None:
            self._stop_requested_at = monotonic()

    def _record_reload_request(self, *_: object) -> None:
        self._is_reload_requested = True


class Daemon(Protocol):
    """What can be started and stopped gracefully."""

    def start(self) -> None:
        """Return once it serves."""

    def stop(self, asked_at: float | None = None) -> None:
        """Return once everything in progress has ended.

        ``asked_at`` is when the signal came (monotonic), now if it is not given; the
        daemon may have been starting then.
        """

    def reload(self, settings: Settings) -> None:
        """Take over what may change while the process runs."""


def run_daemon(
    path: str, role: Role, create_daemon: Callable[[Settings], Daemon]
) -> NoReturn:
    """Run the daemon that the settings file describes; SIGTERM stops it gracefully.

    A second signal changes nothing: cutting off a request in progress is never right.
    """
    settings = _load_settings_or_exit(path, role)
    line_log = _configure_logs(settings)
    daemon = _create_preloaded(create_daemon, settings)
    if line_log is not None:
        line_log.start()
    # A crash in a library's machine code leaves nothing else to find its cause by.
    faulthandler.enable()
    told = _SignalReceiver()
    try:
        daemon.start()
    except KingcupwheelError as error:
        click.echo(f"kingcupwheel: {error}", err=True)
        sys.exit(ExitCode.FAILED)
    asked_at = told.wait_for_stop(lambda: _reload_settings(path, role, daemon))
    daemon.stop(asked_at)
    if line_log is not None:
        line_log.stop()
    sys.stdout.flush()
    # Threads that wait for callers or servers must not hold up the end.
    os._exit(ExitCode.OK)


def _configure_logs(settings: Settings) -> JsonLogOutput | None:
    """Log in the way of the deployment; structured lines on the users' platform."""
    if settings.forwarding is None and settings.rank is None:
        configure_text_logs(settings.name, settings.log_level.value)
        return None
    return JsonLogOutput(settings.name, settings.log_level.value)


def _create_preloaded(
    create_daemon: Callable[[Settings], Daemon], settings: Settings
) -> Daemon:
    """Make the daemon, and load what it uses, before any thread starts.

    Failure: a module is read from its file while a second thread runs. Symptom: on one
    of the users' machines the process ends with a segmentation fault in that read, at
    about one start in a hundred. The codec of host names is loaded here because the
    HTTP server would load it later, when it looks up the address it listens on.
    """
    import_module("encodings.idna")
    try:
        return create_daemon(settings)
    except KingcupwheelError as error:
        click.echo(f"kingcupwheel: {error}", err=True)
        sys.exit(ExitCode.FAILED)


def _reload_settings(path: str, role: Role, daemon: Daemon) -> None:
    """Read the settings again; bad ones are reported and change nothing."""
    loaded = load_settings(path)
    if loaded.is_error():
        why = "; ".join(str(problem) for problem in loaded.error)
        log.error("reload-refused", why=why)
        return
    if loaded.ok.role is not role:
        log.error("reload-refused", why=f"role {loaded.ok.role.value}")
        return
    logging.getLogger().setLevel(loaded.ok.log_level.value.upper())
    daemon.reload(loaded.ok)


def _load_settings_or_exit(path: str, role: Role) -> Settings:
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
