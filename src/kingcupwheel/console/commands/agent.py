"""``kingcupwheel agent``."""

from __future__ import annotations

import click


@click.command("agent")
def command() -> None:
    """Not here yet."""
