"""How evenly the entries' subsets cover the servers, and link churn on departures."""

from __future__ import annotations

from collections import Counter
from statistics import mean
from statistics import pstdev
from typing import NamedTuple

from kingcupwheel.decisions.subset_selection import Instance
from kingcupwheel.decisions.subset_selection import select_all_subsets
from tools.tables import Table


ENTRY_COUNT = 370
SERVER_COUNT = 1_000
SUBSET_SIZE = 24
DEPARTURE_COUNT = 4
DATA_CENTRE_COUNTS = (1, 8)


class FleetInstances(NamedTuple):
    """The entries and servers of a fleet."""

    entries: tuple[Instance, ...]
    servers: tuple[Instance, ...]

    def select_subsets(self) -> dict[str, set[str]]:
        """Return the names of each entry's servers by entry name."""
        by_name = select_all_subsets(self.entries, self.servers, SUBSET_SIZE)
        return {name: set(servers) for name, servers in by_name.items()}


def build_coverage_table() -> Table:
    """Return a table of coverage and link churn, a row per count of data centres."""
    rows = [_build_row(count) for count in DATA_CENTRE_COUNTS]
    columns = (
        "data centres",
        "links",
        "entries a server: min",
        "mean",
        "max",
        "deviation",
        "new links when an entry leaves",
        "new links when a server leaves",
    )
    title = (
        f"Subsets of {SUBSET_SIZE}: {ENTRY_COUNT} entries before {SERVER_COUNT} servers"
    )
    return Table(title, columns, rows)


def _build_row(data_centres: int) -> tuple[str, ...]:
    fleet = FleetInstances(
        _build_instances("entry", ENTRY_COUNT, data_centres),
        _build_instances("server", SERVER_COUNT, data_centres),
    )
    before = fleet.select_subsets()
    count_by_server = Counter(name for names in before.values() for name in names)
    counts = [count_by_server[server.name] for server in fleet.servers]
    entry_churn = [
        _count_new_links(
            before, fleet._replace(entries=_remove_instance(fleet.entries, number))
        )
        for number in range(DEPARTURE_COUNT)
    ]
    server_churn = [
        _count_new_links(
            before, fleet._replace(servers=_remove_instance(fleet.servers, number))
        )
        for number in range(DEPARTURE_COUNT)
    ]
    return (
        str(data_centres),
        str(sum(counts)),
        str(min(counts)),
        f"{mean(counts):.2f}",
        str(max(counts)),
        f"{pstdev(counts):.2f}",
        f"{mean(entry_churn):.0f}",
        f"{mean(server_churn):.0f}",
    )


def _build_instances(
    prefix: str, count: int, data_centres: int
) -> tuple[Instance, ...]:
    return tuple(
        Instance(f"{prefix}-{number}", f"dc-{number % data_centres}")
        for number in range(count)
    )


def _remove_instance(
    instances: tuple[Instance, ...], number: int
) -> tuple[Instance, ...]:
    return instances[:number] + instances[number + 1 :]


def _count_new_links(before: dict[str, set[str]], fleet: FleetInstances) -> int:
    after = fleet.select_subsets()
    return sum(len(names - before[name]) for name, names in after.items())
