"""Deterministic even assignment of choosers to options."""

from __future__ import annotations

from heapq import heappush
from heapq import heappushpop
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.hashing import stable_hash


if TYPE_CHECKING:
    from collections.abc import Sequence


class _Bid(NamedTuple):
    """A chooser's bid for an option; the lowest score is rejected first."""

    score: int
    chooser: str


class _Option:
    """An option with its best bids, up to its capacity."""

    __slots__ = ("_bids", "_capacity")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._bids: list[_Bid] = []

    @property
    def choosers(self) -> list[str]:
        return [bid.chooser for bid in self._bids]

    def add_bid(self, bid: _Bid) -> str | None:
        """Add a bid; return the rejected chooser, if any."""
        if len(self._bids) < self._capacity:
            heappush(self._bids, bid)
            return None
        return heappushpop(self._bids, bid).chooser


def match_evenly(
    choosers: Sequence[str], options: Sequence[str], wanted: int
) -> dict[str, tuple[str, ...]]:
    """Return ``wanted`` distinct options for each chooser, evenly distributed.

    Deferred acceptance (Gale and Shapley, 1962): each chooser ranks the options by a
    hash of both names, each option keeps its best bids up to its capacity, and a
    rejected chooser tries its next option. The result depends only on the names, not on
    their order, and adding or removing a name moves few others.

    The total capacity equals the number of bids, so that any two options differ by one
    chooser, or by two if the last free capacity is on options that a chooser already
    has. With more capacity, the options ranked last would stay empty.
    """
    wanted = min(wanted, len(options))
    option_by_name = _build_options(options, len(choosers) * wanted)
    preferences_by_chooser = {
        name: iter(_rank_options(name, options)) for name in choosers
    }
    unplaced = [chooser for chooser in choosers for _ in range(wanted)]
    while unplaced:
        chooser = unplaced.pop()
        preference = next(preferences_by_chooser[chooser], None)
        if preference is None:
            continue
        rank, name = preference
        rejected = option_by_name[name].add_bid(_Bid(-rank, chooser))
        if rejected is not None:
            unplaced.append(rejected)
    chosen_by_chooser = _group_by_chooser(choosers, option_by_name)
    return {
        chooser: _fill_up(chooser, chosen, options, wanted)
        for chooser, chosen in chosen_by_chooser.items()
    }


def _build_options(options: Sequence[str], capacity: int) -> dict[str, _Option]:
    each, extra = divmod(capacity, len(options))
    ordered = sorted(options, key=lambda name: stable_hash("extra place", name))
    return {
        name: _Option(each + (number < extra)) for number, name in enumerate(ordered)
    }


def _rank_options(chooser: str, options: Sequence[str]) -> list[tuple[int, str]]:
    return sorted((stable_hash(chooser, name), name) for name in options)


def _group_by_chooser(
    choosers: Sequence[str], option_by_name: dict[str, _Option]
) -> dict[str, list[str]]:
    names_by_chooser: dict[str, list[str]] = {chooser: [] for chooser in choosers}
    for name, option in option_by_name.items():
        for chooser in option.choosers:
            names_by_chooser[chooser].append(name)
    return names_by_chooser


def _fill_up(
    chooser: str, chosen: Sequence[str], options: Sequence[str], wanted: int
) -> tuple[str, ...]:
    if len(chosen) == wanted:
        return tuple(chosen)
    remaining = [
        name for _, name in _rank_options(chooser, options) if name not in chosen
    ]
    return (*chosen, *remaining[: wanted - len(chosen)])
