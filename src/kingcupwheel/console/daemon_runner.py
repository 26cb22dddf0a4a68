"""Daemon runner: start-up, signal handling, settings reload and shutdown."""

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
from typing import runtime_checkable

import click

from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.exceptions import KingcupwheelError
from kingcupwheel.settings.loader import load_settings
from kingcupwheel.telemetry.json_logs import JsonLogOutput
from kingcupwheel.telemetry.json_logs import lines_of
from kingcupwheel.utils.allocator import unmap_large_blocks
from kingcupwheel.utils.text_logs import configure_text_logs


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.settings.schema import Role
    from kingcupwheel.settings.schema import Settings


# Environment variable with the path of the settings file, unless --settings is given.
SETTINGS_ENV_VARIABLE = "KINGCUPWHEEL_SETTINGS"
# Interval of checks for a stop or reload; the wake-up pipe ends the wait earlier.
_SIGNAL_POLL_INTERVAL_S = 0.1
# The interpreter writes one byte per signal to the wake-up pipe.
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
    """Records stop requests (SIGTERM, SIGINT) and reload requests (SIGHUP).

    Further stop signals have no effect.

    The handlers only set fields. A handler runs between any two steps of the main
    thread, so setting an ``Event`` whose lock that thread holds would deadlock: a
    second SIGTERM shortly after the first left the process hanging. The interpreter
    writes to a pipe on each signal, which ends the wait at once, because the grace
    period of a planned stop counts from the signal.
    """

    def __init__(self) -> None:
        self._stop_requested_at: float | None = None
        self._is_reload_requested = False
        self._wakeup_fd, write_fd = os.pipe()
        os.set_blocking(self._wakeup_fd, False)
        os.set_blocking(write_fd, False)
        signal.set_wakeup_fd(write_fd, warn_on_full_buffer=False)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._record_stop_request)
        signal.signal(signal.SIGHUP, self._record_reload_request)

    def wait_for_stop(self, reload: Callable[[], None]) -> float:
        """Block until a stop signal and return its time (monotonic).

        Calls ``reload`` after each reload signal.
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
    """A process that starts, reloads its settings and stops gracefully."""

    def start(self) -> None:
        """Start, and return once requests are served."""

    def stop(self, requested_at: float | None = None) -> None:
        """Stop, and return once all work in progress has ended.

        ``requested_at`` is the time of the stop signal (monotonic), by default now. The
        signal may have arrived before ``start`` returned.
        """

    def reload(self, settings: Settings) -> None:
        """Apply the settings that may change at run time."""


@runtime_checkable
class ClosableDaemon(Protocol):
    """A daemon that still answers requests after its stop, until it is closed."""

    def close(self) -> None:
        """Read no further requests; return once those that were read are answered."""


def run_daemon(
    path: str, role: Role, create_daemon: Callable[[Settings], Daemon]
) -> NoReturn:
    """Run the daemon described by the settings file until SIGTERM or SIGINT.

    Further stop signals have no effect, so that no request in progress is interrupted.
    Exits with ``ExitCode.INVALID`` if the settings are invalid and with
    ``ExitCode.FAILED`` if the daemon can't start.
    """
    unmap_large_blocks()
    settings = _load_settings_or_exit(path, role)
    json_log_output = _configure_logs(settings)
    daemon = _create_daemon_or_exit(create_daemon, settings)
    if json_log_output is not None:
        json_log_output.start()
    # Without the traceback, a crash in native code leaves no hint of its cause.
    faulthandler.enable()
    signals = _SignalReceiver()
    try:
        daemon.start()
    except KingcupwheelError as error:
        click.echo(f"kingcupwheel: {error}", err=True)
        sys.exit(ExitCode.FAILED)
    stop_requested_at = signals.wait_for_stop(
        lambda: _reload_settings(path, role, daemon)
    )
    daemon.stop(stop_requested_at)
    if isinstance(daemon, ClosableDaemon):
        daemon.close()
    if json_log_output is not None:
        json_log_output.stop()
    sys.stdout.flush()
    # Skips joining threads that still wait for callers or servers.
    os._exit(ExitCode.OK)


def _configure_logs(settings: Settings) -> JsonLogOutput | None:
    """Set up logging: JSON lines for forwarding entries and rank agents, else text.

    Returns the JSON output, or None for text logs.
    """
    if settings.forwarding is None and settings.rank is None:
        configure_text_logs(settings.name, settings.log_level.value)
        return None
    return JsonLogOutput(settings.name, settings.log_level.value)


def _create_daemon_or_exit(
    create_daemon: Callable[[Settings], Daemon], settings: Settings
) -> Daemon:
    """Create the daemon, and import the modules it uses, before any thread starts.

    Importing a module from its file while a second thread ran crashed the process with
    a segmentation fault in about one start in a hundred on one of the users' machines.
    The codec of host names is imported here because the HTTP server would import it
    later, when it resolves its listen address.
    """
    import_module("encodings.idna")
    try:
        return create_daemon(settings)
    except KingcupwheelError as error:
        click.echo(f"kingcupwheel: {error}", err=True)
        sys.exit(ExitCode.FAILED)


def _reload_settings(path: str, role: Role, daemon: Daemon) -> None:
    """Reload the settings file; invalid settings are logged and not applied."""
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
