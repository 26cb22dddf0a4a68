"""``kingcupwheel manifest``."""

from __future__ import annotations

import click


@click.command("manifest")
def command() -> None:
    """Not here yet."""
