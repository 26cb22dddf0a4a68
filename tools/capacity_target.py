"""Target size, resource limits, and the settings that determine control traffic."""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.decisions.subset_selection import ENTRY_WORK_PER_S
from kingcupwheel.settings.schema import EntryLimits
from kingcupwheel.settings.schema import Timings


class Target(NamedTuple):
    """Size of the fleet and its traffic that a design has to carry."""

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
        """Number of entries and agents."""
        return self.entries + self.servers

    @property
    def groups(self) -> int:
        """Number of server groups if each holds the ranks of one engine."""
        return self.servers // self.ranks


class Limits(NamedTuple):
    """A node's budget for control traffic, and the platform's request rates.

    The platform's "several hundred" writes per second are taken as 300; the bytes per
    second cover both directions together.
    """

    cpu_share: float = 0.022
    memory_bytes: float = 256e6
    bytes_per_s: float = 11e3
    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0


# One in this many active organisations is assumed to need more than an equal share at
# some entry, so that entries exchange its shares. An assumption: no traffic of that
# size has been observed.
ACTIVE_PER_SHARED_ORGANISATION = 10


class Design(NamedTuple):
    """Settings that determine control traffic; the defaults are the current ones.

    ``server_groups`` is the number of groups that an entry keeps a subset of. With
    ``has_conditional_reads`` the instance list is only sent when it has changed.
    ``poll_s`` is the interval at which the holder of a group's lease reads its ranks.
    ``shared_organisations`` is the number of active organisations whose shares entries
    exchange.
    """

    name: str
    server_groups: int
    subset_size: int = EntryLimits().subset
    heartbeat_s: float = Timings().heartbeat_s
    instances_s: float = Timings().instances_s
    watch_s: float = Timings().watch_s
    trace_batch_s: float = Timings().trace_batch_s
    trace_limit: int = EntryLimits().traces
    has_conditional_reads: bool = True
    poll_s: float = 2.0
    shared_organisations: int = Target().organisations // ACTIVE_PER_SHARED_ORGANISATION


TARGET = Target()
LIMITS = Limits()
CURRENT_DESIGN = Design("as it is, a group a model", server_groups=TARGET.models)
GROUP_PER_ENGINE_DESIGN = Design(
    "as it is, a group an engine", server_groups=TARGET.groups
)
# Proposed in the capacity page and not implemented; only modelled.
PROPOSED_DESIGN = Design(
    "proposed",
    server_groups=TARGET.models,
    heartbeat_s=6.0,
    instances_s=5.0,
    has_conditional_reads=True,
    poll_s=6.0,
    # Allowances above one entry's part of the peak; the others need not be split.
    shared_organisations=int(TARGET.tokens_per_s / ENTRY_WORK_PER_S),
)
# The current sizes, with each entry as busy as at the target.
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
# Interval at which the coordinator renews its lease.
LEASE_RENEWAL_S = 3.0
