"""Loads and validates the settings file of a process."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.settings.checks import find_settings_problems
from kingcupwheel.settings.schema import Settings
from kingcupwheel.utils.problems import Problem
from kingcupwheel.utils.problems import Problems
from kingcupwheel.utils.shapes import convert
from kingcupwheel.utils.yaml import read_yaml


if TYPE_CHECKING:
    from os import PathLike


def load_settings(path: str | PathLike[str]) -> Result[Settings, Problems]:
    """Return the settings in the YAML file at ``path``, or all problems found."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error((Problem("", f"cannot read {path}: {error}"),))
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, Problems]:
    """Return the settings in ``text`` (YAML), or all problems found."""
    return (
        read_yaml(text).bind(lambda data: convert(data, Settings)).bind(_check_settings)
    )


def _check_settings(settings: Settings) -> Result[Settings, Problems]:
    problems = tuple(find_settings_problems(settings))
    return Error(problems) if problems else Ok(settings)
