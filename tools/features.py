"""Runs every feature file, some at a time, and prints their results in order.

The scenarios mostly wait for processes to start, fail and recover, so that four at a
time take a quarter of the time without getting in each other's way.
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
# Far above what the longest file needs; a hang must not hold up CI for ever.
_FILE_TIMEOUT_S = 1200
_COUNTS_PATTERN = re.compile(r"(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?")


class FeatureResult(NamedTuple):
    """One feature file's result."""

    path: Path
    exit_code: int
    output: str
    duration_s: float

    @property
    def scenario_counts(self) -> tuple[int, int]:
        """Scenarios passed, and failed for whatever reason."""
        found = _COUNTS_PATTERN.search(self.output)
        if found is None:
            return 0, 1
        return int(found[1]), int(found[2]) + int(found[3] or 0)


def run_file(path: Path) -> FeatureResult:
    """Run the scenarios of one file."""
    began = time.monotonic()
    command = [sys.executable, "-m", "behave", "--no-capture", str(path)]
    try:
        done = subprocess.run(
            command,
            cwd=_ROOT,
            env=build_environment(),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=_FILE_TIMEOUT_S,
            check=False,
        )
        code, output = done.returncode, done.stdout
    except subprocess.TimeoutExpired as error:
        code, output = 1, f"{error.output}\nnot within {_FILE_TIMEOUT_S} s"
    return FeatureResult(path, code, output, time.monotonic() - began)


def main() -> None:
    """Run all feature files, or those named."""
    named = [Path(argument) for argument in sys.argv[1:]]
    paths = named or sorted((_ROOT / "features").glob("*.feature"))
    passed = failed = 0
    with ThreadPoolExecutor(_MAX_PARALLEL_FILES) as pool:
        for ran in pool.map(run_file, paths):
            good, bad = ran.scenario_counts
            passed += good
            failed += bad or (ran.exit_code != 0)
            click.echo(
                f"{ran.path.name}: {good} passed, {bad} failed, {ran.duration_s:.0f} s"
            )
            if ran.exit_code:
                click.echo(ran.output)
    click.echo(f"scenarios: {passed} passed, {failed} failed")
    sys.exit(1 if failed or not passed else 0)


if __name__ == "__main__":
    main()
