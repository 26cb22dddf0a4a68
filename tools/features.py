"""Runs the feature files in parallel and prints their results in order.

The scenarios mostly wait for processes to start, fail and recover, so four files in
parallel take a quarter of the time without slowing each other down.
"""

from __future__ import annotations

import re
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import click

from tools.processes import build_environment


_ROOT = Path(__file__).resolve().parent.parent
_MAX_PARALLEL_FILES = 4
# Far above the run time of the longest file, so that a hang does not block CI.
_FILE_TIMEOUT_S = 1200
_COUNTS_PATTERN = re.compile(r"(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?")


class FeatureResult(NamedTuple):
    """The result of one feature file."""

    path: Path
    exit_code: int
    output: str
    duration_s: float

    @property
    def scenario_counts(self) -> tuple[int, int]:
        """Numbers of scenarios that passed and that failed or had an error."""
        found = _COUNTS_PATTERN.search(self.output)
        if found is None:
            return 0, 1
        return int(found[1]), int(found[2]) + int(found[3] or 0)


def run_file(path: Path) -> FeatureResult:
    """Run the scenarios of one file."""
    started_at = time.monotonic()
    command = [sys.executable, "-m", "behave", "--no-capture", str(path)]
    try:
        completed = subprocess.run(
            command,
            cwd=_ROOT,
            env=build_environment(),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=_FILE_TIMEOUT_S,
            check=False,
        )
        exit_code, output = completed.returncode, completed.stdout
    except subprocess.TimeoutExpired as error:
        exit_code, output = 1, f"{error.output}\ntimed out after {_FILE_TIMEOUT_S} s"
    return FeatureResult(path, exit_code, output, time.monotonic() - started_at)


def main() -> None:
    """Run all feature files, or those named on the command line."""
    named = [Path(argument) for argument in sys.argv[1:]]
    paths = named or sorted((_ROOT / "features").glob("*.feature"))
    passed = failed = 0
    with ThreadPoolExecutor(_MAX_PARALLEL_FILES) as pool:
        for result in pool.map(run_file, paths):
            file_passed, file_failed = result.scenario_counts
            passed += file_passed
            failed += file_failed or (result.exit_code != 0)
            click.echo(
                f"{result.path.name}: {file_passed} passed, {file_failed} failed, "
                f"{result.duration_s:.0f} s"
            )
            if result.exit_code:
                click.echo(result.output)
    click.echo(f"scenarios: {passed} passed, {failed} failed")
    sys.exit(1 if failed or not passed else 0)


if __name__ == "__main__":
    main()
