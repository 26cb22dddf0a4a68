"""Validation problems of files written by operators."""

from __future__ import annotations

from typing import NamedTuple


class ValidationProblem(NamedTuple):
    """A problem of one field; ``path`` names it, such as ``routes[2].group``.

    For invalid YAML, ``path`` is the line; it is empty for the file as a whole.
    """

    path: str
    detail: str

    def __str__(self) -> str:
        return f"{self.path}: {self.detail}" if self.path else self.detail


def join_field_path(path: str, field: str) -> str:
    """Return the path of ``field`` in the record at ``path``."""
    return f"{path}.{field}" if path else field


ValidationProblems = tuple[ValidationProblem, ...]
