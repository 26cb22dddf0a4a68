"""The size to design for, its limits, and the settings that decide control traffic."""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.decisions.subset_selection import ENTRY_WORK_PER_S
from kingcupwheel.settings.schema import EntryLimits
from kingcupwheel.settings.schema import Timings


class Target(NamedTuple):
    """The size that the design is for."""

    entries: int = 370
    servers: int = 1000
    requests_per_s: float = 3200.0
    tokens_per_s: float = 860_000.0
    organisations: int = 43_000
    models: int = 5
    ranks: int = 32
    experts: int = 128
    data_centres: int = 8
    changes_per_day: int = 720
    restarts_per_day: int = 79

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
    bytes_per_s: float = 11e3
    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0


# One in so many organisations in use is taken to be short of an equal share at some
# entry, so that shares are told of it. An assumption: no traffic of that size was seen.
ORGANISATIONS_PER_SHORT_ONE = 10


class Design(NamedTuple):
    """The settings that decide control traffic; the defaults are those of today.

    ``server_groups`` is how many groups an entry keeps a subset of. ``changed_only``
    tells that the list of instances is only sent when it has changed. ``poll_s`` is how
    often the holder of a group's lease reads its ranks. ``shared`` is the number of
    organisations in use of which shares are told.
    """

    name: str
    server_groups: int
    subset: int = EntryLimits().subset
    heartbeat_s: float = Timings().heartbeat_s
    instances_s: float = Timings().instances_s
    watch_s: float = Timings().watch_s
    trace_batch_s: float = Timings().trace_batch_s
    trace_limit: int = EntryLimits().traces
    has_conditional_reads: bool = True
    poll_s: float = 2.0
    shared_organisations: int = Target().organisations // ORGANISATIONS_PER_SHORT_ONE


TARGET = Target()
LIMITS = Limits()
CURRENT_DESIGN = Design("as it is, a group a model", server_groups=TARGET.models)
GROUP_PER_ENGINE_DESIGN = Design(
    "as it is, a group an engine", server_groups=TARGET.groups
)
# What the page proposes and is not built; the model only works it out.
PROPOSED_DESIGN = Design(
    "proposed",
    server_groups=TARGET.models,
    heartbeat_s=6.0,
    instances_s=5.0,
    has_conditional_reads=True,
    poll_s=6.0,
    # Allowances over one entry's part of the peak; the rest need not be split.
    shared_organisations=int(TARGET.tokens_per_s / ENTRY_WORK_PER_S),
)
# The sizes of today, each entry as busy as at the target.
SMALL_TARGET = Target(
    entries=7,
    servers=19,
    requests_per_s=60.0,
    tokens_per_s=16_000.0,
    organisations=10,
    ranks=16,
)
SMALL_DESIGN = Design(
    "as it is, today's sizes", server_groups=2, shared_organisations=10
)
DESIGNS = (CURRENT_DESIGN, GROUP_PER_ENGINE_DESIGN, PROPOSED_DESIGN)
# Renewals of a lease, as designed; not a measurement.
LEASE_RENEWAL_S = 3.0
