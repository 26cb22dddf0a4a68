"""The memory of the machine that this process runs on."""

from __future__ import annotations

import os


# Largest share of the machine's memory for one of the purposes that a limit is set for.
_MAX_SHARE = 0.25


def limit_to_machine(limit_bytes: float) -> float:
    """Return the limit, or a quarter of the machine's memory if that is less."""
    machine_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return min(limit_bytes, machine_bytes * _MAX_SHARE)
