from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple

from kingcupwheel.decisions.allowance_shares import PEER_RELEASE_S
from kingcupwheel.decisions.allowance_shares import PeerShare
from kingcupwheel.decisions.allowance_shares import Share
from kingcupwheel.decisions.allowance_shares import build_idle_peer_share
from kingcupwheel.decisions.allowance_shares import build_idle_share
from kingcupwheel.decisions.allowance_shares import compute_next_share
from kingcupwheel.decisions.candidates import Candidate
from kingcupwheel.decisions.fair_queue import QueuedRequest
from kingcupwheel.decisions.server_health import ServerState
from kingcupwheel.decisions.subset_selection import Instance


def build_request(
    request_id: str,
    organisation: str = "retazo",
    *,
    priority: int = 5,
    work: float = 100.0,
    deadline_at: float = 1000.0,
) -> QueuedRequest:
    return QueuedRequest(request_id, organisation, priority, work, deadline_at, 0.0)


def build_candidates(
    count: int,
    *,
    data_centre: str = "heredia",
    state: ServerState = ServerState.HEALTHY,
) -> list[Candidate]:
    return [
        Candidate(f"server-{number}", data_centre, 16, state=state)
        for number in range(count)
    ]


def build_instances(prefix: str, count: int, data_centres: int) -> list[Instance]:
    return [
        Instance(f"{prefix}-{number}", f"dc-{number % data_centres}")
        for number in range(count)
    ]


class Heartbeat(NamedTuple):
    sent_at: float
    echoed_sent_at: float
    demand: float = 0.0
    held: float = 0.0
    wants_more: bool = False


@dataclass
class SimulatedEntry:
    """An entry with its share and the last heartbeat received from each peer."""

    share: Share = Share()
    demand: float = 0.0
    heartbeat_by_peer: dict[int, Heartbeat] = field(default_factory=dict)
    is_paused: bool = False


class SimulatedEntrySet:
    """Entries that split one allowance over links that may be cut or stalled."""

    def __init__(self, size: int, *, is_idle: bool = False) -> None:
        self.initial_heartbeat = Heartbeat(0.0, 0.0)
        share = Share()
        if is_idle:
            self.initial_heartbeat = Heartbeat(
                0.0, 0.0, 0.0, build_idle_peer_share(size, 0.0).held
            )
            share = build_idle_share(size, PEER_RELEASE_S + 1.0)
        self.entries = [SimulatedEntry(share) for _ in range(size)]
        self.links = {
            (one, other): deque[Heartbeat]()
            for one in range(size)
            for other in range(size)
            if one != other
        }
        self.cut_links: set[tuple[int, int]] = set()
        self.stalled_links: set[tuple[int, int]] = set()
        self.now = 0.0

    @property
    def total_held(self) -> float:
        running = [holder for holder in self.entries if not holder.is_paused]
        return sum(holder.share.held for holder in running)

    def tick(self, seconds: float = 1.0) -> None:
        """Deliver the heartbeats that pass the links, then run each entry once."""
        self.now += seconds
        for (one, other), link in self.links.items():
            if (one, other) in self.cut_links:
                link.clear()
            if (one, other) in self.stalled_links or self.entries[other].is_paused:
                continue
            while link:
                self.entries[other].heartbeat_by_peer[one] = link.popleft()
        for number, holder in enumerate(self.entries):
            if not holder.is_paused:
                self._act(number, holder)

    def _act(self, number: int, holder: SimulatedEntry) -> None:
        others = [other for other in range(len(self.entries)) if other != number]
        heard = [
            holder.heartbeat_by_peer.get(other, self.initial_heartbeat)
            for other in others
        ]
        peers = [
            PeerShare(
                beat.demand, beat.held, beat.wants_more, self.now - beat.echoed_sent_at
            )
            for beat in heard
        ]
        share = compute_next_share(holder.share, holder.demand, peers, self.now)
        holder.share = share
        sent_at = self.now + 0.001
        for other, beat in zip(others, heard, strict=True):
            self.links[number, other].append(
                Heartbeat(
                    sent_at, beat.sent_at, holder.demand, share.held, share.wants_more
                )
            )
