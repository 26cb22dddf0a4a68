"""Markdown tables of measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Sequence


class Table(NamedTuple):
    """A titled table; every row has a cell for each column."""

    title: str
    columns: Sequence[str]
    rows: Sequence[Sequence[str]]

    def to_markdown(self) -> str:
        """Return the table as Markdown under a heading."""
        rule = ["---", *("---:" for _ in self.columns[1:])]
        lines = [self.columns, rule, *self.rows]
        body = "\n".join(f"| {' | '.join(line)} |" for line in lines)
        return f"### {self.title}\n\n{body}\n"
