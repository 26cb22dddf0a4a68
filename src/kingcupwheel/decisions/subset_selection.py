"""Who talks to whom: servers of an entry, entries of an organisation."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.hashing import stable_hash
from kingcupwheel.decisions.matching import match_evenly


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.manifest.schema import Allowance


# Part of a subset that lies in other data centres: enough to carry on when the own
# one's servers fail, few enough that most traffic stays near.
REMOTE_FRACTION = 0.25

# A set has two entries at least, so that one may fail.
MIN_ENTRIES = 2

# Work one entry of the target carries for a single organisation, in tokens a second:
# half of 860,000 over 370 entries, so that a set's members have room for others.
ENTRY_WORK_PER_S = 1_150.0

# A set this large reaches a tenth of the target's entries; each member gossips its
# demand to all others of the set.
MAX_ENTRIES = 16


class Instance(NamedTuple):
    """An entry or server and where it is."""

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
    """Return the names of the servers of one group that ``entry`` keeps links to.

    Load: 370 entries before 1,000 servers. Harm prevented: with every entry linked to
    every server, heartbeats alone are 370,000 a second. Every process that knows the
    same ``entries`` and ``servers`` works out the same subsets. Of ``size``, the part
    ``spill_part`` lies in other data centres; a data centre short of servers is made up
    for by the others. Own data centre first; ``entry`` has to be among ``entries``.
    """
    home = next(one.data_centre for one in entries if one.name == entry)
    near = _select_local_subsets(home, entries, servers, size, remote_fraction)
    return _add_remote_servers(entry, home, near[entry], servers, size)


def select_all_subsets(
    entries: Sequence[Instance],
    servers: Sequence[Instance],
    size: int,
    *,
    remote_fraction: float = REMOTE_FRACTION,
) -> dict[str, tuple[str, ...]]:
    """Return the subset of every entry by its name, to see how servers are covered."""
    by_name: dict[str, tuple[str, ...]] = {}
    for home in {one.data_centre for one in entries}:
        near = _select_local_subsets(home, entries, servers, size, remote_fraction)
        for entry, own in near.items():
            by_name[entry] = _add_remote_servers(entry, home, own, servers, size)
    return by_name


def select_entries(
    organisation: str,
    entries: Sequence[Instance],
    allowance: Allowance,
    data_centre: str,
) -> tuple[str, ...]:
    """Return the entries that an organisation's callers are told to use.

    The set depends on the organisation, its allowance and the live entries alone, so
    that every entry names the same set and the shares of the allowance add up; the
    order puts those of ``data_centre`` first. Members are picked by rendezvous hashing,
    a data centre at a time, so that losing one data centre leaves some, and an entry
    that leaves is replaced without moving the others.

    Load: 43,000 organisations. Harm prevented: spread over all entries, every
    allowance would be split 370 times and no entry's part would admit a request.
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
    """Return how many entries an allowance is split over."""
    by_work = ceil(allowance.work_per_s / ENTRY_WORK_PER_S)
    by_concurrency = max(1, allowance.concurrency // 2)
    wanted = min(by_work, by_concurrency, MAX_ENTRIES)
    return max(MIN_ENTRIES, wanted)


def _select_local_subsets(
    home: str,
    entries: Sequence[Instance],
    servers: Sequence[Instance],
    size: int,
    remote_fraction: float,
) -> dict[str, tuple[str, ...]]:
    """Return, for each entry of the data centre ``home``, its servers there."""
    near = [one.name for one in servers if one.data_centre == home]
    beside = [one.name for one in entries if one.data_centre == home]
    far = len(servers) - len(near)
    wanted = max(size - int(size * remote_fraction), size - far)
    if len(near) <= wanted:
        return dict.fromkeys(beside, tuple(near))
    return match_evenly(beside, near, wanted)


def _add_remote_servers(
    entry: str,
    home: str,
    near: tuple[str, ...],
    servers: Sequence[Instance],
    size: int,
) -> tuple[str, ...]:
    """Make ``near`` up to ``size`` with servers of other data centres."""
    far = [one.name for one in servers if one.data_centre != home]
    far.sort(key=lambda name: stable_hash("spill", entry, name))
    return (*near, *far[: size - len(near)])
