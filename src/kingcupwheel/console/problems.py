"""Prints what is wrong with a file."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict

import click
import msgspec


if TYPE_CHECKING:
    from pathlib import Path

    from kingcupwheel.utils.problems import ValidationProblems


class _Line(TypedDict):
    path: str
    detail: str


class _Report(TypedDict):
    valid: bool
    problems: list[_Line]


def print_problems(file: Path, problems: ValidationProblems, *, as_json: bool) -> None:
    """Print one line for each problem on stderr, or JSON on stdout."""
    if as_json:
        lines = [_Line(path=each.path, detail=each.detail) for each in problems]
        report = _Report(valid=not problems, problems=lines)
        click.echo(msgspec.json.encode(report).decode())
        return
    for problem in problems:
        click.echo(f"kingcupwheel: {file}: {problem}", err=True)
