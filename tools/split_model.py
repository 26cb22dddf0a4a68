"""The split of an organisation's allowance among the entries of the load model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.decisions.allowance_shares import PeerShare
from kingcupwheel.decisions.allowance_shares import Share
from kingcupwheel.decisions.allowance_shares import compute_next_share
from kingcupwheel.decisions.subset_selection import Instance
from kingcupwheel.decisions.subset_selection import select_entries


if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from kingcupwheel.manifest.schema import Allowance
    from tools.entry_model import ModelEntry


HEARTBEAT_INTERVAL_S = 1.0
# Callers keep using an address, so most of an organisation's calls reach one entry.
FIRST_ENTRY_FRACTION = 0.7


class AllowanceSplit:
    """An organisation's entries and their allowance shares, initially equal."""

    def __init__(
        self, organisation: str, allowance: Allowance, entries: Sequence[ModelEntry]
    ) -> None:
        self.organisation = organisation
        self.allowance = allowance
        instances = [Instance(entry.name, entry.data_centre) for entry in entries]
        names = select_entries(
            organisation, instances, allowance, entries[0].data_centre
        )
        entry_by_name = {entry.name: entry for entry in entries}
        self.entries = [entry_by_name[name] for name in names]
        for entry in self.entries:
            self._set_share(entry, Share(1.0 / len(self.entries)))

    def choose_entry(self, rng: Random) -> ModelEntry:
        """Return the entry for a call."""
        if rng.random() < FIRST_ENTRY_FRACTION:
            return self.entries[0]
        return rng.choice(self.entries)

    def exchange_heartbeats(self, now: float) -> None:
        """Exchange demand and shares among the entries, and update the shares."""
        peer_share_by_entry = {
            entry.name: PeerShare(
                entry.admission.get_demand(self.organisation, now),
                entry.share_by_organisation[self.organisation].held,
                entry.share_by_organisation[self.organisation].wants_more,
                HEARTBEAT_INTERVAL_S,
            )
            for entry in self.entries
        }
        for entry in self.entries:
            peers = [
                peer_share_by_entry[peer.name]
                for peer in self.entries
                if peer is not entry
            ]
            share = entry.share_by_organisation[self.organisation]
            demand = peer_share_by_entry[entry.name].demand
            self._set_share(entry, compute_next_share(share, demand, peers, now))

    def _set_share(self, entry: ModelEntry, share: Share) -> None:
        entry.share_by_organisation[self.organisation] = share
        usable = share.usable_fraction(len(self.entries))
        entry.admission.configure(self.organisation, self.allowance, usable)
