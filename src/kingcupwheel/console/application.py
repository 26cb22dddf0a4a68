"""The ``kingcupwheel`` command; each subcommand is a module in ``commands``."""

from __future__ import annotations

from importlib import import_module

import click

from kingcupwheel.__version__ import __version__


COMMANDS = ("agent", "entry", "manifest", "report", "settings", "trace")


class _LazyGroup(click.Group):
    """Command group that imports a subcommand on first use.

    A daemon starts without importing the modules of the other subcommands.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all subcommands."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return the subcommand, or None if there is none of that name."""
        if cmd_name not in COMMANDS:
            return None
        module = import_module(f"kingcupwheel.console.commands.{cmd_name}")
        command: click.Command = module.command
        return command


@click.group(cls=_LazyGroup)
@click.version_option(__version__, prog_name="kingcupwheel")
def main() -> None:
    """Balance load over expert-parallel model groups, and explain it."""
