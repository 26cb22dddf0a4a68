"""Runs all measurements in turn and writes their tables to one page (``make measure``).

Writes ``docs/MEASUREMENTS.md`` with the commit and the commands. If measurements are
named on the command line, only these run; the other sections of the page are kept, also
those that are written by hand. Nothing here runs in CI: timings depend on the machine
and its other load.
"""

from __future__ import annotations

import os
import platform
import subprocess
import sys
import tempfile
from datetime import UTC
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

import click

from tools.processes import build_environment


_ROOT = Path(__file__).resolve().parent.parent
_PAGE_PATH = _ROOT / "docs" / "MEASUREMENTS.md"
_MEASUREMENT_TIMEOUT_S = 900
_PAGE_HEADER = (
    "# Measurements\n\nWritten by `make measure`; one run each unless said.\n"
)


class Measurement(NamedTuple):
    """Title of a measurement, and the module that prints or writes its tables."""

    title: str
    module: str
    writes_file: bool = False


MEASUREMENT_BY_NAME = {
    "path": Measurement("The whole path", "tools.measure_path"),
    "agent": Measurement("An agent's cost per frame", "tools.measure_agent"),
    "decisions": Measurement("Decisions under load", "tools.measure_decisions"),
    "maps": Measurement("Planning expert maps", "tools.measure_maps", writes_file=True),
    "balancing": Measurement("When to change a map", "tools.measure_balancing"),
    "groups": Measurement(
        "Agreeing on expert maps", "tools.measure_groups", writes_file=True
    ),
    "manifest": Measurement(
        "Manifests of many organisations", "tools.measure_manifest"
    ),
}


def run_measurement(measurement: Measurement) -> str:
    """Run a measurement and return its tables."""
    command = [sys.executable, "-m", measurement.module]
    with tempfile.TemporaryDirectory() as folder:
        output = Path(folder) / "tables.md"
        if measurement.writes_file:
            command += ["--output", str(output)]
        completed = subprocess.run(
            command,
            cwd=_ROOT,
            env=build_environment(),
            capture_output=True,
            text=True,
            timeout=_MEASUREMENT_TIMEOUT_S,
            check=False,
        )
        if completed.returncode:
            return f"Failed with exit code {completed.returncode}; no figures."
        return output.read_text() if measurement.writes_file else completed.stdout


def measure_section(name: str) -> str:
    """Return a measurement's section of the page, with its time, commit and machine."""
    measurement = MEASUREMENT_BY_NAME[name]
    load_average = os.getloadavg()[0]
    tables = run_measurement(measurement).strip()
    measured_at = datetime.now(tz=UTC).strftime("%Y-%m-%d %H:%M UTC")
    provenance = (
        f"`python -m {measurement.module}`, commit {_describe_commit()}, "
        f"{measured_at}, {os.cpu_count()} cores, "
        f"load average {load_average:.1f} before the run, "
        f"Python {platform.python_version()}."
    )
    return f"## {measurement.title}\n\n{provenance}\n\n{tables}\n"


def _describe_commit() -> str:
    completed = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout.strip()


def parse_sections(page: str) -> dict[str, str]:
    """Return a page's sections by measurement name, or by title if none matches."""
    name_by_title = {
        measurement.title: name for name, measurement in MEASUREMENT_BY_NAME.items()
    }
    section_by_name: dict[str, str] = {}
    for text in page.split("\n## ")[1:]:
        title = text.partition("\n")[0]
        section_by_name[name_by_title.get(title, title)] = f"## {text.rstrip()}\n"
    return section_by_name


def build_page(sections: dict[str, str]) -> str:
    """Return the page: measured sections in order, then those written by hand."""
    names = [name for name in MEASUREMENT_BY_NAME if name in sections]
    names += [name for name in sections if name not in MEASUREMENT_BY_NAME]
    return "\n".join([_PAGE_HEADER, *(sections[name] for name in names)])


def main() -> None:
    """Run the measurements named on the command line, or all."""
    names = sys.argv[1:] or list(MEASUREMENT_BY_NAME)
    sections = parse_sections(_PAGE_PATH.read_text() if _PAGE_PATH.exists() else "")
    for name in names:
        click.echo(f"Measuring {name}.")
        sections[name] = measure_section(name)
        click.echo(sections[name])
    _PAGE_PATH.write_text(build_page(sections))


if __name__ == "__main__":
    main()
