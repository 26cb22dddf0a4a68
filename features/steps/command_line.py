"""Steps that run the command line."""

from __future__ import annotations

import shlex
import subprocess
import sys
from typing import Any

from behave import then
from behave import when


COMMAND_TIMEOUT_S = 30


@when('the command "{line}" is run')
def run_command(context: Any, line: str) -> None:
    """Run ``kingcupwheel LINE`` and store the completed process."""
    command = [sys.executable, "-m", "kingcupwheel", *shlex.split(line)]
    context.completed = subprocess.run(
        command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S, check=False
    )


@then("it exits with {code:d}")
def check_exit_code(context: Any, code: int) -> None:
    """Check the exit code."""
    assert context.completed.returncode == code, context.completed.stderr


@then('it prints "{text}"')
def check_output(context: Any, text: str) -> None:
    """Check that standard output contains ``text``."""
    assert text in context.completed.stdout, context.completed.stdout
