"""``kingcupwheel entry``."""

from __future__ import annotations

import click


@click.command("entry")
def command() -> None:
    """Not here yet."""
