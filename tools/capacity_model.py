"""Model of each role's cost at the target size, computed from measured slopes."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.subset_selection import MIN_ENTRIES
from kingcupwheel.trace.outbox import MAX_OUTBOX_BYTES


if TYPE_CHECKING:
    from tools.capacity_slopes import Slopes
    from tools.capacity_target import Design
    from tools.capacity_target import Target

# ZMTP frame header, TCP header with timestamps, IPv4 header. Acknowledgements are
# piggybacked on the traffic in the other direction.
_MESSAGE_OVERHEAD_BYTES = 2 + 32 + 20
# Headers of one platform request and its response together; an estimate, small against
# the bodies.
_HTTP_HEADER_BYTES = 500
# Peers that an entry exchanges heartbeats with, see ``entry.membership``.
_PEER_COUNT = 4
# One change of the manifest rewrites the index and one shard.
_OBJECTS_PER_CHANGE = 2
_DAY_S = 86_400


class Cost(NamedTuple):
    """Cost of one item; rates are per second, ``cpu_share`` a fraction of a core."""

    item: str
    mechanism: str
    messages_in_per_s: float = 0.0
    messages_out_per_s: float = 0.0
    bytes_in_per_s: float = 0.0
    bytes_out_per_s: float = 0.0
    cpu_share: float = 0.0
    memory_bytes: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


class RoleCosts(NamedTuple):
    """Itemised costs of one process."""

    name: str
    costs: tuple[Cost, ...]

    @property
    def total(self) -> Cost:
        """Sum of all costs."""
        numbers = [cost[2:] for cost in self.costs]
        sums = [sum(column) for column in zip(*numbers, strict=True)]
        return Cost("**Total**", "", *sums)

    @property
    def control_bytes_per_s(self) -> float:
        """Control traffic in bytes per second, both directions together."""
        total = self.total
        return total.bytes_in_per_s + total.bytes_out_per_s


class CapacityModel:
    """Computes the costs of each role for one design."""

    def __init__(self, slopes: Slopes, design: Design, target: Target) -> None:
        self._slopes = slopes
        self._design = design
        self._target = target

    @property
    def entry_links(self) -> float:
        """Number of agents that one entry keeps links to."""
        links = self._design.subset_size * self._design.server_groups
        return min(links, self._target.servers)

    @property
    def agent_links(self) -> float:
        """Number of entries that keep a link to one agent."""
        return self.entry_links * self._target.entries / self._target.servers

    def entry_costs(self) -> RoleCosts:
        """Return the costs of one entry."""
        costs = (
            self._process_cost("entry"),
            self._links_cost("entry", self.entry_links, "each entry keeps a subset"),
            self._peers_cost(),
            self._shares_cost(),
            self._instances_cost(),
            self._manifest_cost("entry"),
            self._traces_cost(
                "entry", self._target.requests_per_s / self._target.entries
            ),
            self._burn_cost(),
        )
        return RoleCosts("entry", costs)

    def agent_costs(self) -> RoleCosts:
        """Return the costs of one agent."""
        costs = (
            self._process_cost("agent"),
            self._links_cost(
                "agent", self.agent_links, "answers the Hello of its entries"
            ),
            self._manifest_cost("agent"),
            self._traces_cost(
                "agent", self._target.requests_per_s / self._target.servers
            ),
        )
        return RoleCosts("agent", costs)

    def lease_holder_costs(self, *, renew_s: float) -> RoleCosts:
        """Return the costs of an agent that coordinates its group's expert map."""
        messages_per_s = self._target.ranks / self._design.poll_s
        reply_bytes = self._value_at("map_reply_bytes", self._target.experts)
        bytes_per_s = messages_per_s * (reply_bytes + _MESSAGE_OVERHEAD_BYTES)
        coordination = Cost(
            "expert map of its group",
            "reads its ranks and renews its lease",
            messages_in_per_s=messages_per_s,
            messages_out_per_s=messages_per_s,
            bytes_in_per_s=bytes_per_s,
            bytes_out_per_s=bytes_per_s,
            writes_per_s=1 / renew_s,
        )
        return RoleCosts(
            "agent that holds the lease", (*self.agent_costs().costs, coordination)
        )

    def _value_at(self, name: str, size: float) -> float:
        return self._slopes.by_name[name].value_at(size)

    def _intercept(self, name: str) -> float:
        return self._slopes.by_name[name].intercept

    def _gradient(self, name: str) -> float:
        return self._slopes.by_name[name].gradient

    def _process_cost(self, role: str) -> Cost:
        return Cost(
            "process without links",
            "one thread a socket, no polling",
            cpu_share=max(0.0, self._slopes.by_name[f"{role}_idle_cpu"].intercept),
            memory_bytes=self._slopes.by_name[f"{role}_idle_rss"].intercept,
        )

    def _links_cost(self, role: str, links: float, mechanism: str) -> Cost:
        heartbeats_per_s = 1 / self._design.heartbeat_s
        gradient_by_figure = {
            figure: self._gradient(f"{role}_idle_{figure}")
            for figure in ("cpu", "rss", "messages_in", "messages_out")
        }
        suspects = 1
        hello_bytes = self._value_at("hello_bytes", 0)
        heartbeat_bytes = self._value_at("beat_bytes", suspects)
        size_in, size_out = (
            (heartbeat_bytes, hello_bytes)
            if role == "entry"
            else (hello_bytes, heartbeat_bytes)
        )
        messages_in_per_s = gradient_by_figure["messages_in"] * links * heartbeats_per_s
        messages_out_per_s = (
            gradient_by_figure["messages_out"] * links * heartbeats_per_s
        )
        return Cost(
            f"heartbeats on {links:.0f} links",
            mechanism,
            messages_in_per_s=messages_in_per_s,
            messages_out_per_s=messages_out_per_s,
            bytes_in_per_s=messages_in_per_s * (size_in + _MESSAGE_OVERHEAD_BYTES),
            bytes_out_per_s=messages_out_per_s * (size_out + _MESSAGE_OVERHEAD_BYTES),
            cpu_share=gradient_by_figure["cpu"] * links * heartbeats_per_s,
            memory_bytes=gradient_by_figure["rss"] * links,
        )

    def _peers_cost(self) -> Cost:
        messages_per_s = _PEER_COUNT / self._design.heartbeat_s
        bytes_per_s = messages_per_s * (
            self._value_at("peer_beat_bytes", 1) + _MESSAGE_OVERHEAD_BYTES
        )
        return Cost(
            f"heartbeats with {_PEER_COUNT} peers",
            "a ring of names; news passes on",
            messages_in_per_s=messages_per_s,
            messages_out_per_s=messages_per_s,
            bytes_in_per_s=bytes_per_s,
            bytes_out_per_s=bytes_per_s,
            cpu_share=messages_per_s * self._gradient("entry_idle_cpu"),
        )

    def _shares_cost(self) -> Cost:
        entries, heartbeats_per_s = self._target.entries, 1 / self._design.heartbeat_s
        organisations_per_entry = (
            self._design.shared_organisations * MIN_ENTRIES / entries
        )
        other_entries = max(1, entries - 1)
        # Organisations are assigned to entries at random; some share a pair of entries.
        entries_sharing = other_entries * (
            1 - exp(-organisations_per_entry * (MIN_ENTRIES - 1) / other_entries)
        )
        messages_per_s = entries_sharing * heartbeats_per_s
        reports_per_s = organisations_per_entry * (MIN_ENTRIES - 1) * heartbeats_per_s
        bytes_per_s = messages_per_s * (
            self._intercept("share_bytes") + _MESSAGE_OVERHEAD_BYTES
        )
        bytes_per_s += reports_per_s * self._gradient("share_bytes")
        return Cost(
            f"shares of {organisations_per_entry:.0f} organisations' allowances",
            "told to the other entries of each organisation's set",
            messages_in_per_s=messages_per_s,
            messages_out_per_s=messages_per_s,
            bytes_in_per_s=bytes_per_s,
            bytes_out_per_s=bytes_per_s,
            cpu_share=messages_per_s * self._gradient("entry_idle_cpu"),
        )

    def _instances_cost(self) -> Cost:
        design, target = self._design, self._target
        reads_per_s = 1 / design.instances_s
        list_bytes = self._value_at("instance_list_bytes", target.processes)
        cpu_ms = self._value_at("instance_list_cpu", target.processes)
        # Each restart removes one instance from the list and adds another.
        changes_per_s = 2 * target.restarts_per_day / _DAY_S
        bodies_per_s = (
            min(reads_per_s, changes_per_s)
            if design.has_conditional_reads
            else reads_per_s
        )
        return Cost(
            "the platform's list of instances",
            "conditional reads"
            if design.has_conditional_reads
            else "whole list each time",
            bytes_in_per_s=bodies_per_s * list_bytes + reads_per_s * _HTTP_HEADER_BYTES,
            bytes_out_per_s=reads_per_s * _HTTP_HEADER_BYTES,
            cpu_share=bodies_per_s * cpu_ms / 1e3,
            reads_per_s=reads_per_s,
        )

    def _manifest_cost(self, role: str) -> Cost:
        target = self._target
        changes_per_s = target.changes_per_day / _DAY_S
        watches_per_s = 1 / self._design.watch_s
        objects = _OBJECTS_PER_CHANGE if role == "entry" else 1
        index_and_shard = self._value_at("shard_bytes", target.organisations)
        held_organisations = target.organisations if role == "entry" else 0
        # A new version is decoded while requests still use the current one.
        memory = 2 * self._gradient("organisations_bytes") * held_organisations
        return Cost(
            "manifest: watch and changes",
            "index of shards by digest; a change moves one shard",
            bytes_in_per_s=changes_per_s * index_and_shard
            + watches_per_s * _HTTP_HEADER_BYTES,
            bytes_out_per_s=watches_per_s * _HTTP_HEADER_BYTES,
            memory_bytes=memory,
            reads_per_s=watches_per_s + changes_per_s * objects,
        )

    def _traces_cost(self, role: str, requests_per_s: float) -> Cost:
        period_s = self._design.trace_batch_s
        batch_bytes_per_s = self._gradient(f"{role}_batch_bytes") * requests_per_s
        recorder_bytes = (
            self._gradient(f"{role}_recorder_bytes") * self._design.trace_limit
        )
        return Cost(
            "trace",
            "one compressed object a period, one deletion",
            bytes_in_per_s=2 * _HTTP_HEADER_BYTES / period_s,
            bytes_out_per_s=batch_bytes_per_s + 2 * _HTTP_HEADER_BYTES / period_s,
            cpu_share=self._gradient(f"{role}_trace_cpu") / 1e3 * requests_per_s,
            memory_bytes=recorder_bytes + MAX_OUTBOX_BYTES,
            writes_per_s=2 / period_s,
        )

    def _burn_cost(self) -> Cost:
        target = self._target
        requests_per_s = target.requests_per_s / target.entries
        gaps = target.tokens_per_s / target.requests_per_s
        return Cost(
            "burn counts",
            "counts by the minute, histograms that merge",
            cpu_share=requests_per_s * self._value_at("burn_cpu", gaps) / 1e6,
            memory_bytes=self._value_at("burn_bytes", 100),
        )
