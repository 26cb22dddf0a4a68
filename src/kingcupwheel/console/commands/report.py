"""``kingcupwheel report``."""

from __future__ import annotations

import click


@click.command("report")
def command() -> None:
    """Not here yet."""
