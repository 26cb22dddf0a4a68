"""``kingcupwheel trace``."""

from __future__ import annotations

import click


@click.command("trace")
def command() -> None:
    """Not here yet."""
