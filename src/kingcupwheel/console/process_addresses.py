"""Addresses of processes given on the command line."""

from __future__ import annotations

import click


def parse_addresses(
    _context: click.Context, _parameter: click.Parameter, pairs: tuple[str, ...]
) -> dict[str, str]:
    """Return ``NAME=IP:PORT`` pairs as addresses by process."""
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
    help="Ask this process there, as when the platform's list can't be read.",
)
