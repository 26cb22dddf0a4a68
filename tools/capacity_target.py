"""The size to design for, its limits, and the settings that decide control traffic."""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.settings.schema import EntryLimits
from kingcupwheel.settings.schema import Timings


class Target(NamedTuple):
    """The size that the design is for."""

    entries: int = 370
    servers: int = 1000
    requests: float = 3200.0
    tokens: float = 860_000.0
    organisations: int = 43_000
    models: int = 5
    ranks: int = 32
    experts: int = 128
    data_centres: int = 8
    changes_a_day: int = 720
    restarts_a_day: int = 79

    @property
    def processes(self) -> int:
        """Entries and agents."""
        return self.entries + self.servers

    @property
    def groups(self) -> int:
        """Server groups if each holds the ranks of one engine."""
        return self.servers // self.ranks


class Limits(NamedTuple):
    """The budget of a node for control, and the platform's rates.

    "Several hundred" writes are read as 300, bytes a second as both ways together.
    """

    cpu_share: float = 0.022
    memory_bytes: float = 256e6
    bytes_s: float = 11e3
    writes_s: float = 300.0
    reads_s: float = 2000.0


class Design(NamedTuple):
    """The settings that decide control traffic; the defaults are those of today.

    ``server_groups`` is how many groups an entry keeps a subset of. ``changed_only``
    tells that the list of instances is only sent when it has changed. ``poll_s`` is how
    often the holder of a group's lease reads its ranks. ``shared`` is the number of
    organisations in use whose allowance is split over entries.
    """

    name: str
    server_groups: int
    subset: int = EntryLimits().subset
    heartbeat_s: float = Timings().heartbeat_s
    instances_s: float = Timings().instances_s
    watch_s: float = Timings().watch_s
    trace_batch_s: float = Timings().trace_batch_s
    traces: int = EntryLimits().traces
    changed_only: bool = False
    poll_s: float = 2.0
    shared: int = Target().organisations
