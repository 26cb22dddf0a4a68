"""What each role costs at the target size, worked out from measured slopes."""

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

# Bytes around one small message on the wire: ZMTP's frame head, TCP with timestamps,
# IPv4. Acknowledgements ride on the traffic back.
_MESSAGE_OVERHEAD_BYTES = 2 + 32 + 20
# HTTP heads of one call to the platform and its answer, without their bodies; a figure
# of experience, small against the bodies that matter.
_HTTP_HEADER_BYTES = 500
# Peers that an entry exchanges heartbeats with, as ``entry.membership`` has it.
_PEER_COUNT = 4
# Objects of a manifest that one change rewrites: the index and one shard.
_OBJECTS_PER_CHANGE = 2
_DAY_S = 86_400


class Cost(NamedTuple):
    """One item: rates are per second, memory in bytes, ``cpu`` a share of a core."""

    item: str
    mechanism: str
    messages_in: float = 0.0
    messages_out: float = 0.0
    bytes_in: float = 0.0
    bytes_out: float = 0.0
    cpu_share: float = 0.0
    memory_bytes: float = 0.0
    reads: float = 0.0
    writes: float = 0.0


class RoleCosts(NamedTuple):
    """A process and its costs."""

    name: str
    costs: tuple[Cost, ...]

    @property
    def total(self) -> Cost:
        """All costs together."""
        numbers = [cost[2:] for cost in self.costs]
        sums = [sum(column) for column in zip(*numbers, strict=True)]
        return Cost("**Total**", "", *sums)

    @property
    def control_bytes_per_s(self) -> float:
        """Bytes a second, both ways together."""
        total = self.total
        return total.bytes_in + total.bytes_out


class CapacityModel:
    """Works out roles for one design."""

    def __init__(self, slopes: Slopes, design: Design, target: Target) -> None:
        self._slopes = slopes
        self._design = design
        self._target = target

    @property
    def entry_links(self) -> float:
        """Agents that one entry keeps links to."""
        wanted = self._design.subset * self._design.server_groups
        return min(wanted, self._target.servers)

    @property
    def agent_links(self) -> float:
        """Entries that keep a link to one agent."""
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
        rate = self._target.ranks / self._design.poll_s
        reply = self._value_at("map_reply_bytes", self._target.experts)
        size = rate * (reply + _MESSAGE_OVERHEAD_BYTES)
        coordinating = Cost(
            "expert map of its group",
            "reads its ranks and renews its lease",
            messages_in=rate,
            messages_out=rate,
            bytes_in=size,
            bytes_out=size,
            writes=1 / renew_s,
        )
        return RoleCosts(
            "agent that holds the lease", (*self.agent_costs().costs, coordinating)
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
        beats = 1 / self._design.heartbeat_s
        per = {
            figure: self._gradient(f"{role}_idle_{figure}")
            for figure in ("cpu", "rss", "messages_in", "messages_out")
        }
        suspects = 1
        hello = self._value_at("hello_bytes", 0)
        beat = self._value_at("beat_bytes", suspects)
        size_in, size_out = (beat, hello) if role == "entry" else (hello, beat)
        messages_in = per["messages_in"] * links * beats
        messages_out = per["messages_out"] * links * beats
        return Cost(
            f"heartbeats on {links:.0f} links",
            mechanism,
            messages_in=messages_in,
            messages_out=messages_out,
            bytes_in=messages_in * (size_in + _MESSAGE_OVERHEAD_BYTES),
            bytes_out=messages_out * (size_out + _MESSAGE_OVERHEAD_BYTES),
            cpu_share=per["cpu"] * links * beats,
            memory_bytes=per["rss"] * links,
        )

    def _peers_cost(self) -> Cost:
        rate = _PEER_COUNT / self._design.heartbeat_s
        size = rate * (self._value_at("peer_beat_bytes", 1) + _MESSAGE_OVERHEAD_BYTES)
        return Cost(
            f"heartbeats with {_PEER_COUNT} peers",
            "a ring of names; news passes on",
            messages_in=rate,
            messages_out=rate,
            bytes_in=size,
            bytes_out=size,
            cpu_share=rate * self._gradient("entry_idle_cpu"),
        )

    def _shares_cost(self) -> Cost:
        entries, beats = self._target.entries, 1 / self._design.heartbeat_s
        here = self._design.shared_organisations * MIN_ENTRIES / entries
        others = max(1, entries - 1)
        # Organisations fall on pairs of entries at random; some share a pair.
        met = others * (1 - exp(-here * (MIN_ENTRIES - 1) / others))
        rate = met * beats
        named = here * (MIN_ENTRIES - 1) * beats
        size = rate * (self._intercept("share_bytes") + _MESSAGE_OVERHEAD_BYTES)
        size += named * self._gradient("share_bytes")
        return Cost(
            f"shares of {here:.0f} organisations' allowances",
            "told to the other entries of each organisation's set",
            messages_in=rate,
            messages_out=rate,
            bytes_in=size,
            bytes_out=size,
            cpu_share=rate * self._gradient("entry_idle_cpu"),
        )

    def _instances_cost(self) -> Cost:
        design, target = self._design, self._target
        reads = 1 / design.instances_s
        whole = self._value_at("instance_list_bytes", target.processes)
        cpu_ms = self._value_at("instance_list_cpu", target.processes)
        # Each restart takes an instance off the list and puts one on.
        changes = 2 * target.restarts_per_day / _DAY_S
        bodies = min(reads, changes) if design.has_conditional_reads else reads
        return Cost(
            "the platform's list of instances",
            "conditional reads"
            if design.has_conditional_reads
            else "whole list each time",
            bytes_in=bodies * whole + reads * _HTTP_HEADER_BYTES,
            bytes_out=reads * _HTTP_HEADER_BYTES,
            cpu_share=bodies * cpu_ms / 1e3,
            reads=reads,
        )

    def _manifest_cost(self, role: str) -> Cost:
        target = self._target
        changes = target.changes_per_day / _DAY_S
        watches = 1 / self._design.watch_s
        objects = _OBJECTS_PER_CHANGE if role == "entry" else 1
        index_and_shard = self._value_at("shard_bytes", target.organisations)
        held = target.organisations if role == "entry" else 0
        # A change is decoded beside the one in force, until requests let go of that.
        memory = 2 * self._gradient("organisations_bytes") * held
        return Cost(
            "manifest: watch and changes",
            "index of shards by digest; a change moves one shard",
            bytes_in=changes * index_and_shard + watches * _HTTP_HEADER_BYTES,
            bytes_out=watches * _HTTP_HEADER_BYTES,
            memory_bytes=memory,
            reads=watches + changes * objects,
        )

    def _traces_cost(self, role: str, requests_s: float) -> Cost:
        period_s = self._design.trace_batch_s
        batch = self._gradient(f"{role}_batch_bytes") * requests_s
        held = self._gradient(f"{role}_recorder_bytes") * self._design.trace_limit
        return Cost(
            "trace",
            "one compressed object a period, one deletion",
            bytes_in=2 * _HTTP_HEADER_BYTES / period_s,
            bytes_out=batch + 2 * _HTTP_HEADER_BYTES / period_s,
            cpu_share=self._gradient(f"{role}_trace_cpu") / 1e3 * requests_s,
            memory_bytes=held + MAX_OUTBOX_BYTES,
            writes=2 / period_s,
        )

    def _burn_cost(self) -> Cost:
        target = self._target
        requests_s = target.requests_per_s / target.entries
        gaps = target.tokens_per_s / target.requests_per_s
        return Cost(
            "burn counts",
            "counts by the minute, histograms that merge",
            cpu_share=requests_s * self._value_at("burn_cpu", gaps) / 1e6,
            memory_bytes=self._value_at("burn_bytes", 100),
        )
