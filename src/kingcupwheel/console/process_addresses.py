"""The ``--address`` option: addresses of processes given on the command line."""

from __future__ import annotations

import click


def parse_addresses(
    _context: click.Context, _parameter: click.Parameter, pairs: tuple[str, ...]
) -> dict[str, str]:
    """Parse ``NAME=IP:PORT`` pairs into addresses by process name.

    Raises click.BadParameter if a pair has another form.
    """
    address_by_process = {}
    for pair in pairs:
        process, separator, address = pair.partition("=")
        if not separator or ":" not in address:
            raise click.BadParameter(f"{pair!r} is not NAME=IP:PORT.")
        address_by_process[process] = address
    return address_by_process


address_option = click.option(
    "--address",
    "address_by_process",
    multiple=True,
    callback=parse_addresses,
    metavar="NAME=IP:PORT",
    help="Address of a process, for when the platform's list can't be read.",
)
