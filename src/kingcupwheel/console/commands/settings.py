"""The ``kingcupwheel settings`` commands."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.console.problem_reports import print_problems
from kingcupwheel.settings.loader import load_settings


@click.group("settings")
def command() -> None:
    """Validate the settings of a process."""


@command.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(file: Path, as_json: bool) -> None:
    """Validate a settings file and list all problems.

    Exit code 0: the file is valid; 3: it is invalid, with one line per problem.
    """
    loaded = load_settings(file)
    if loaded.is_error():
        print_problems(file, loaded.error, as_json=as_json)
        sys.exit(ExitCode.INVALID)
    if as_json:
        print_problems(file, (), as_json=True)
    else:
        settings = loaded.ok
        click.echo(f"{file}: good settings of {settings.role.value} {settings.name}.")
