from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.subset_selection import Instance
from kingcupwheel.decisions.subset_selection import select_all_subsets
from kingcupwheel.decisions.subset_selection import select_entries
from kingcupwheel.decisions.subset_selection import select_subset
from kingcupwheel.manifest.schema import Allowance
from tests.decisions.builders import build_instances


def select_subsets(
    entries: list[Instance], servers: list[Instance]
) -> dict[str, set[str]]:
    by_name = select_all_subsets(entries, servers, 10)
    return {name: set(chosen) for name, chosen in by_name.items()}


def test_coverage_is_even_and_a_departure_moves_few_links() -> None:
    entries = build_instances("entry", 40, 2)
    servers = build_instances("server", 100, 2)
    before = select_subsets(entries, servers)
    coverage = Counter(name for names in before.values() for name in names)
    assert {len(names) for names in before.values()} == {10}
    assert min(coverage[one.name] for one in servers) >= 1
    assert max(coverage.values()) <= 10

    without_entry = select_subsets(entries[1:], servers)
    moved = sum(len(without_entry[name] - before[name]) for name in without_entry)
    assert moved < 40
    without_server = select_subsets(entries, servers[1:])
    moved = sum(len(without_server[name] - before[name]) for name in before)
    assert moved < 4 * coverage["server-0"] + 10


@given(
    entries=st.integers(1, 12),
    servers=st.integers(1, 30),
    data_centres=st.integers(1, 4),
    size=st.integers(1, 10),
)
def test_a_subset_has_its_size_and_ignores_the_order_of_names(
    entries: int, servers: int, data_centres: int, size: int
) -> None:
    known = build_instances("entry", entries, data_centres)
    group = build_instances("server", servers, data_centres)

    chosen = select_subset("entry-0", known, group, size)

    assert len(set(chosen)) == len(chosen) == min(size, servers)
    assert select_all_subsets(known, group, size)["entry-0"] == chosen
    assert set(select_subset("entry-0", known[::-1], group[::-1], size)) == set(chosen)


def test_an_organisation_keeps_its_entries_when_another_leaves() -> None:
    entries = build_instances("entry", 12, 3)
    allowance = Allowance(work_per_s=4_000.0)
    for number in range(50):
        name = f"organisation-{number}"
        chosen = select_entries(name, entries, allowance, "dc-1")
        assert set(chosen) == set(select_entries(name, entries, allowance, "dc-2"))
        assert chosen[0] in {one.name for one in entries if one.data_centre == "dc-1"}

        left = [one for one in entries if one.name != chosen[0]]
        after = select_entries(name, left, allowance, "dc-1")
        assert len(set(chosen) - set(after)) <= 2
        unchosen = next(one.name for one in entries if one.name not in chosen)
        rest = [one for one in entries if one.name != unchosen]
        assert set(select_entries(name, rest, allowance, "dc-1")) == set(chosen)


def test_larger_allowances_get_more_entries_and_small_ones_two() -> None:
    entries = build_instances("entry", 40, 4)
    counts = [
        len(select_entries("o", entries, Allowance(work_per_s=rate), "dc-0"))
        for rate in (10.0, 5_000.0, 1_000_000.0)
    ]
    assert counts == [2, 5, 16]
