"""The ``kingcupwheel`` command; each subcommand is a module in ``commands``."""

from __future__ import annotations

from importlib import import_module

import click

from kingcupwheel.__version__ import __version__


COMMAND_MODULES = (
    "kingcupwheel.console.commands.entry",
    "kingcupwheel.console.commands.agent",
    "kingcupwheel.console.commands.manifest",
    "kingcupwheel.console.commands.trace",
    "kingcupwheel.console.commands.report",
    "kingcupwheel.console.commands.settings",
)


@click.group()
@click.version_option(__version__, prog_name="kingcupwheel")
def main() -> None:
    """Balance load over expert-parallel model groups, and explain it."""


for module_name in COMMAND_MODULES:
    main.add_command(import_module(module_name).command)
