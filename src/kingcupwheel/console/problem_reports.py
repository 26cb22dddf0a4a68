"""Output of validation problems of a file."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict

import click
import msgspec


if TYPE_CHECKING:
    from pathlib import Path

    from kingcupwheel.utils.validation_problems import ValidationProblems


class _ProblemEntry(TypedDict):
    path: str
    detail: str


class _ProblemReport(TypedDict):
    valid: bool
    problems: list[_ProblemEntry]


def print_problems(file: Path, problems: ValidationProblems, *, as_json: bool) -> None:
    """Print one line per problem on stderr, or a JSON report on stdout."""
    if as_json:
        lines = [_ProblemEntry(path=each.path, detail=each.detail) for each in problems]
        report = _ProblemReport(valid=not problems, problems=lines)
        click.echo(msgspec.json.encode(report).decode())
        return
    for problem in problems:
        click.echo(f"kingcupwheel: {file}: {problem}", err=True)
