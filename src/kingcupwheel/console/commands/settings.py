"""``kingcupwheel settings``."""

from __future__ import annotations

import click


@click.command("settings")
def command() -> None:
    """Not here yet."""
