"""``make measure``: every measurement, one after the other, as one page of tables.

Writes ``docs/MEASUREMENTS.md`` with the commit and the commands. Parts named on the
command line are measured anew and the others are kept as they stand, also sections
that are written by hand. Nothing here runs
in CI: timings depend on the machine and on what else it does.
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
    """One measurement: its title and the module that prints or writes its tables."""

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


def run_measurement(part: Measurement) -> str:
    """Return the part's tables."""
    command = [sys.executable, "-m", part.module]
    with tempfile.TemporaryDirectory() as folder:
        output = Path(folder) / "tables.md"
        if part.writes_file:
            command += ["--output", str(output)]
        done = subprocess.run(
            command,
            cwd=_ROOT,
            env=build_environment(),
            capture_output=True,
            text=True,
            timeout=_MEASUREMENT_TIMEOUT_S,
            check=False,
        )
        if done.returncode:
            return f"Failed with exit code {done.returncode}; no figures."
        return output.read_text() if part.writes_file else done.stdout


def measure_section(name: str) -> str:
    """Return a part's section of the page, with when and on what it was measured."""
    part = MEASUREMENT_BY_NAME[name]
    load = os.getloadavg()[0]
    tables = run_measurement(part).strip()
    at = datetime.now(tz=UTC).strftime("%Y-%m-%d %H:%M UTC")
    told = (
        f"`python -m {part.module}`, commit {_describe_commit()}, {at}, "
        f"{os.cpu_count()} cores, load average {load:.1f} before the run, "
        f"Python {platform.python_version()}."
    )
    return f"## {part.title}\n\n{told}\n\n{tables}\n"


def _describe_commit() -> str:
    described = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return described.stdout.strip()


def parse_sections(page: str) -> dict[str, str]:
    """Return a page's sections by part; those that no part measures by their titles."""
    title_to_name = {part.title: name for name, part in MEASUREMENT_BY_NAME.items()}
    kept: dict[str, str] = {}
    for text in page.split("\n## ")[1:]:
        title = text.partition("\n")[0]
        kept[title_to_name.get(title, title)] = f"## {text.rstrip()}\n"
    return kept


def build_page(sections: dict[str, str]) -> str:
    """Return the page: parts in their order, then what is written by hand."""
    names = [name for name in MEASUREMENT_BY_NAME if name in sections]
    names += [name for name in sections if name not in MEASUREMENT_BY_NAME]
    return "\n".join([_PAGE_HEADER, *(sections[name] for name in names)])


def main() -> None:
    """Measure the parts named, or all."""
    names = sys.argv[1:] or list(MEASUREMENT_BY_NAME)
    sections = parse_sections(_PAGE_PATH.read_text() if _PAGE_PATH.exists() else "")
    for name in names:
        click.echo(f"Measuring {name}.")
        sections[name] = measure_section(name)
        click.echo(sections[name])
    _PAGE_PATH.write_text(build_page(sections))


if __name__ == "__main__":
    main()
