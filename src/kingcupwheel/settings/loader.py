"""Loads and validates the settings file of a process."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.settings.checks import find_settings_problems
from kingcupwheel.settings.schema import Settings
from kingcupwheel.utils.strict_yaml import parse_yaml
from kingcupwheel.utils.struct_validation import convert_to_type
from kingcupwheel.utils.validation_problems import ValidationProblem
from kingcupwheel.utils.validation_problems import ValidationProblems


if TYPE_CHECKING:
    from os import PathLike


def load_settings(path: str | PathLike[str]) -> Result[Settings, ValidationProblems]:
    """Return the settings in the YAML file at ``path``, or all problems found."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error((ValidationProblem("", f"cannot read {path}: {error}"),))
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, ValidationProblems]:
    """Return the settings in ``text`` (YAML), or all problems found."""
    return (
        parse_yaml(text)
        .bind(lambda data: convert_to_type(data, Settings))
        .bind(_check_settings)
    )


def _check_settings(settings: Settings) -> Result[Settings, ValidationProblems]:
    problems = tuple(find_settings_problems(settings))
    return Error(problems) if problems else Ok(settings)
