"""What is wrong with one field of a file that an operator wrote."""

from __future__ import annotations

from typing import NamedTuple


class ValidationProblem(NamedTuple):
    """One thing to mend; ``path`` names the field, such as ``routes[2].group``."""

    path: str
    detail: str

    def __str__(self) -> str:
        return f"{self.path}: {self.detail}" if self.path else self.detail


def join_field_path(path: str, field: str) -> str:
    """Return the path of ``field`` within ``path``."""
    return f"{path}.{field}" if path else field


ValidationProblems = tuple[ValidationProblem, ...]
