"""Subsets of servers per entry and of entries per organisation."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.hashing import stable_hash
from kingcupwheel.decisions.matching import match_evenly


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.manifest.schema import Allowance


# Fraction of a subset in other data centres: enough to continue when the local servers
# fail, and small enough that most traffic stays local.
REMOTE_FRACTION = 0.25

# So that one entry may fail.
MIN_ENTRIES = 2

# Tokens per second that one entry carries for a single organisation: half of 860,000
# over 370 entries, so that the entries of a set have capacity for other organisations.
ENTRY_WORK_PER_S = 1_150.0

# Each entry gossips its demand to all others of its set. A set of this size reaches a
# tenth of the entries at the target scale.
MAX_ENTRIES = 16


class Instance(NamedTuple):
    """Name and data centre of an entry or a server."""

    name: str
    data_centre: str


def select_subset(
    entry: str,
    entries: Sequence[Instance],
    servers: Sequence[Instance],
    size: int,
    *,
    remote_fraction: float = REMOTE_FRACTION,
) -> tuple[str, ...]:
    """Return the names of a group's servers that ``entry`` connects to.

    If each of 370 entries connected to each of 1,000 servers, heartbeats alone would be
    370,000 per second. Every process that knows the same ``entries`` and ``servers``
    computes the same subsets. The fraction ``remote_fraction`` of ``size`` is in other
    data centres, and more if the own one has too few servers. Local servers come first;
    ``entry`` has to be one of ``entries``.
    """
    own_data_centre = next(one.data_centre for one in entries if one.name == entry)
    local_by_entry = _select_local_subsets(
        own_data_centre, entries, servers, size, remote_fraction
    )
    return _add_remote_servers(
        entry, own_data_centre, local_by_entry[entry], servers, size
    )


def select_all_subsets(
    entries: Sequence[Instance],
    servers: Sequence[Instance],
    size: int,
    *,
    remote_fraction: float = REMOTE_FRACTION,
) -> dict[str, tuple[str, ...]]:
    """Return the subset of every entry by name, to check the coverage of servers."""
    by_name: dict[str, tuple[str, ...]] = {}
    for own_data_centre in {one.data_centre for one in entries}:
        local_by_entry = _select_local_subsets(
            own_data_centre, entries, servers, size, remote_fraction
        )
        for entry, local_servers in local_by_entry.items():
            by_name[entry] = _add_remote_servers(
                entry, own_data_centre, local_servers, servers, size
            )
    return by_name


def select_entries(
    organisation: str,
    entries: Sequence[Instance],
    allowance: Allowance,
    data_centre: str,
) -> tuple[str, ...]:
    """Return the entries that serve an organisation, those of ``data_centre`` first.

    The set depends only on the organisation, its allowance and the live entries, so
    that every entry computes the same set and the shares of the allowance add up.
    Entries are chosen by rendezvous hashing, in turn from each data centre, so that
    some remain when a data centre fails, and an entry that leaves is replaced without
    moving the others.

    With 43,000 organisations spread over all 370 entries, every allowance would be
    split 370 times, and no entry's share would admit a request.
    """
    wanted = min(compute_entry_count(allowance), len(entries))
    by_rank = sorted(
        entries, key=lambda one: stable_hash("entries", organisation, one.name)
    )
    seen_by_data_centre: dict[str, int] = {}
    turns: list[tuple[int, int, Instance]] = []
    for rank, one in enumerate(by_rank):
        turn = seen_by_data_centre.get(one.data_centre, 0)
        seen_by_data_centre[one.data_centre] = turn + 1
        turns.append((turn, rank, one))
    chosen = [one for _, _, one in sorted(turns)[:wanted]]
    chosen.sort(key=lambda one: one.data_centre != data_centre)
    return tuple(one.name for one in chosen)


def compute_entry_count(allowance: Allowance) -> int:
    """Return the number of entries that an allowance is split over."""
    by_work = ceil(allowance.work_per_s / ENTRY_WORK_PER_S)
    by_concurrency = max(1, allowance.concurrency // 2)
    wanted = min(by_work, by_concurrency, MAX_ENTRIES)
    return max(MIN_ENTRIES, wanted)


def _select_local_subsets(
    data_centre: str,
    entries: Sequence[Instance],
    servers: Sequence[Instance],
    size: int,
    remote_fraction: float,
) -> dict[str, tuple[str, ...]]:
    """Return the local servers of each entry in ``data_centre``, by entry name."""
    local_servers = [one.name for one in servers if one.data_centre == data_centre]
    local_entries = [one.name for one in entries if one.data_centre == data_centre]
    remote_count = len(servers) - len(local_servers)
    wanted = max(size - int(size * remote_fraction), size - remote_count)
    if len(local_servers) <= wanted:
        return dict.fromkeys(local_entries, tuple(local_servers))
    return match_evenly(local_entries, local_servers, wanted)


def _add_remote_servers(
    entry: str,
    data_centre: str,
    local_servers: tuple[str, ...],
    servers: Sequence[Instance],
    size: int,
) -> tuple[str, ...]:
    """Extend ``local_servers`` to ``size`` with servers of other data centres."""
    remote_servers = [one.name for one in servers if one.data_centre != data_centre]
    remote_servers.sort(key=lambda name: stable_hash("spill", entry, name))
    return (*local_servers, *remote_servers[: size - len(local_servers)])
