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
_WIRE_BYTES = 2 + 32 + 20
# HTTP heads of one call to the platform and its answer, without their bodies; a figure
# of experience, small against the bodies that matter.
_HTTP_BYTES = 500
# Peers that an entry exchanges heartbeats with, as ``entry.membership`` has it.
_PEERS = 4
# Objects of a manifest that one change rewrites: the index and one shard.
_CHANGED_OBJECTS = 2
_DAY_S = 86_400


class Cost(NamedTuple):
    """One item: rates are per second, memory in bytes, ``cpu`` a share of a core."""

    what: str
    mechanism: str
    messages_in: float = 0.0
    messages_out: float = 0.0
    bytes_in: float = 0.0
    bytes_out: float = 0.0
    cpu: float = 0.0
    memory: float = 0.0
    reads: float = 0.0
    writes: float = 0.0


class Role(NamedTuple):
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
    def control_bytes(self) -> float:
        """Bytes a second, both ways together."""
        total = self.total
        return total.bytes_in + total.bytes_out


class Model:
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

    def entry(self) -> Role:
        """Return the costs of one entry."""
        costs = (
            self._process("entry"),
            self._links("entry", self.entry_links, "each entry keeps a subset"),
            self._peers(),
            self._shares(),
            self._instances(),
            self._manifest("entry"),
            self._traces("entry", self._target.requests / self._target.entries),
            self._burn(),
        )
        return Role("entry", costs)

    def agent(self) -> Role:
        """Return the costs of one agent."""
        costs = (
            self._process("agent"),
            self._links("agent", self.agent_links, "answers the Hello of its entries"),
            self._manifest("agent"),
            self._traces("agent", self._target.requests / self._target.servers),
        )
        return Role("agent", costs)

    def holder(self, *, renew_s: float) -> Role:
        """Return the costs of an agent that coordinates its group's expert map."""
        rate = self._target.ranks / self._design.poll_s
        reply = self._at("map_reply_bytes", self._target.experts)
        size = rate * (reply + _WIRE_BYTES)
        coordinating = Cost(
            "expert map of its group",
            "reads its ranks and renews its lease",
            messages_in=rate,
            messages_out=rate,
            bytes_in=size,
            bytes_out=size,
            writes=1 / renew_s,
        )
        return Role("agent that holds the lease", (*self.agent().costs, coordinating))

    def _at(self, name: str, size: float) -> float:
        return self._slopes.by_name[name].at(size)

    def _base(self, name: str) -> float:
        return self._slopes.by_name[name].base

    def _per(self, name: str) -> float:
        return self._slopes.by_name[name].per

    def _process(self, role: str) -> Cost:
        return Cost(
            "process without links",
            "one thread a socket, no polling",
            cpu=max(0.0, self._slopes.by_name[f"{role}_idle_cpu"].base),
            memory=self._slopes.by_name[f"{role}_idle_rss"].base,
        )

    def _links(self, role: str, links: float, mechanism: str) -> Cost:
        beats = 1 / self._design.heartbeat_s
        per = {
            figure: self._per(f"{role}_idle_{figure}")
            for figure in ("cpu", "rss", "messages_in", "messages_out")
        }
        suspects = 1
        hello = self._at("hello_bytes", 0)
        beat = self._at("beat_bytes", suspects)
        size_in, size_out = (beat, hello) if role == "entry" else (hello, beat)
        messages_in = per["messages_in"] * links * beats
        messages_out = per["messages_out"] * links * beats
        return Cost(
            f"heartbeats on {links:.0f} links",
            mechanism,
            messages_in=messages_in,
            messages_out=messages_out,
            bytes_in=messages_in * (size_in + _WIRE_BYTES),
            bytes_out=messages_out * (size_out + _WIRE_BYTES),
            cpu=per["cpu"] * links * beats,
            memory=per["rss"] * links,
        )

    def _peers(self) -> Cost:
        rate = _PEERS / self._design.heartbeat_s
        size = rate * (self._at("peer_beat_bytes", 1) + _WIRE_BYTES)
        return Cost(
            f"heartbeats with {_PEERS} peers",
            "a ring of names; news passes on",
            messages_in=rate,
            messages_out=rate,
            bytes_in=size,
            bytes_out=size,
            cpu=rate * self._per("entry_idle_cpu"),
        )

    def _shares(self) -> Cost:
        entries, beats = self._target.entries, 1 / self._design.heartbeat_s
        here = self._design.shared * MIN_ENTRIES / entries
        others = max(1, entries - 1)
        # Organisations fall on pairs of entries at random; some share a pair.
        met = others * (1 - exp(-here * (MIN_ENTRIES - 1) / others))
        rate = met * beats
        named = here * (MIN_ENTRIES - 1) * beats
        size = rate * (self._base("share_bytes") + _WIRE_BYTES)
        size += named * self._per("share_bytes")
        return Cost(
            f"shares of {here:.0f} organisations' allowances",
            "told to the other entries of each organisation's set",
            messages_in=rate,
            messages_out=rate,
            bytes_in=size,
            bytes_out=size,
            cpu=rate * self._per("entry_idle_cpu"),
        )

    def _instances(self) -> Cost:
        design, target = self._design, self._target
        reads = 1 / design.instances_s
        whole = self._at("instance_list_bytes", target.processes)
        cpu_ms = self._at("instance_list_cpu", target.processes)
        # Each restart takes an instance off the list and puts one on.
        changes = 2 * target.restarts_a_day / _DAY_S
        bodies = min(reads, changes) if design.changed_only else reads
        return Cost(
            "the platform's list of instances",
            "conditional reads" if design.changed_only else "whole list each time",
            bytes_in=bodies * whole + reads * _HTTP_BYTES,
            bytes_out=reads * _HTTP_BYTES,
            cpu=bodies * cpu_ms / 1e3,
            reads=reads,
        )

    def _manifest(self, role: str) -> Cost:
        target = self._target
        changes = target.changes_a_day / _DAY_S
        watches = 1 / self._design.watch_s
        objects = _CHANGED_OBJECTS if role == "entry" else 1
        index_and_shard = self._at("shard_bytes", target.organisations)
        held = target.organisations if role == "entry" else 0
        # A change is decoded beside the one in force, until requests let go of that.
        memory = 2 * self._per("organisations_bytes") * held
        return Cost(
            "manifest: watch and changes",
            "index of shards by digest; a change moves one shard",
            bytes_in=changes * index_and_shard + watches * _HTTP_BYTES,
            bytes_out=watches * _HTTP_BYTES,
            memory=memory,
            reads=watches + changes * objects,
        )

    def _traces(self, role: str, requests_s: float) -> Cost:
        period_s = self._design.trace_batch_s
        batch = self._per(f"{role}_batch_bytes") * requests_s
        held = self._per(f"{role}_recorder_bytes") * self._design.traces
        return Cost(
            "trace",
            "one compressed object a period, one deletion",
            bytes_in=2 * _HTTP_BYTES / period_s,
            bytes_out=batch + 2 * _HTTP_BYTES / period_s,
            cpu=self._per(f"{role}_trace_cpu") / 1e3 * requests_s,
            memory=held + MAX_OUTBOX_BYTES,
            writes=2 / period_s,
        )

    def _burn(self) -> Cost:
        target = self._target
        requests_s = target.requests / target.entries
        gaps = target.tokens / target.requests
        return Cost(
            "burn counts",
            "counts by the minute, histograms that merge",
            cpu=requests_s * self._at("burn_cpu", gaps) / 1e6,
            memory=self._at("burn_bytes", 100),
        )
