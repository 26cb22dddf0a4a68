"""Range checks of numbers in files written by operators."""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING

from kingcupwheel.utils.validation_problems import ValidationProblem
from kingcupwheel.utils.validation_problems import join_field_path


if TYPE_CHECKING:
    from collections.abc import Iterator


class RangeChecker:
    """Checks numeric fields of ``record``, which stands at ``path`` in its file."""

    def __init__(self, record: object, path: str) -> None:
        self._record = record
        self._path = path

    def check_positive(self, *fields: str) -> Iterator[ValidationProblem]:
        """Yield a problem for each field that is not a finite number above 0."""
        for field in fields:
            value = getattr(self._record, field)
            if not (isfinite(value) and value > 0):
                yield self._build_problem(field, "must be more than 0")

    def check_non_negative(self, *fields: str) -> Iterator[ValidationProblem]:
        """Yield a problem for each field that is not finite and at least 0."""
        for field in fields:
            value = getattr(self._record, field)
            if not (isfinite(value) and value >= 0):
                yield self._build_problem(field, "must be 0 or more")

    def check_open_unit_interval(self, *fields: str) -> Iterator[ValidationProblem]:
        """Yield a problem for each field that is not strictly between 0 and 1."""
        for field in fields:
            if not 0 < getattr(self._record, field) < 1:
                yield self._build_problem(
                    field, "must be between 0 and 1, both excluded"
                )

    def check_between(
        self, field: str, low: float, high: float
    ) -> Iterator[ValidationProblem]:
        """Yield a problem if the field is below ``low`` or above ``high``."""
        if not low <= getattr(self._record, field) <= high:
            yield self._build_problem(field, f"must be from {low} to {high}")

    def _build_problem(self, field: str, rule: str) -> ValidationProblem:
        value = getattr(self._record, field)
        return ValidationProblem(
            join_field_path(self._path, field), f"{rule}, not {value}"
        )
