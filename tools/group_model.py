"""A simulation of a lock-stepped engine group under skewed, changing demand.

It simulates passes, not time slices. Requests of a few kinds arrive, each kind with its
own expert popularity. A pass lasts as long as the slowest rank's own work plus, for
each layer, the most loaded rank's expert work. The product's ``Balancer`` plans from
the counts; a change takes effect after its copies and orders. Seconds of a fleet take
milliseconds here, so that rules for changing the map can be compared before a full run.
Queues at servers, retries, lost orders and everything between entry and engine are
left out.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.lockstep.balancer import Balancer
from kingcupwheel.lockstep.group_state import GroupState
from kingcupwheel.lockstep.placement_planner import round_robin_placement
from kingcupwheel.lockstep.rank_reports import RankState
from kingcupwheel.messages.lockstep import RankStateReply


if TYPE_CHECKING:
    from kingcupwheel.forwarding.configuration import EngineShape
    from kingcupwheel.lockstep.change_protocol import LayerPlacements

# Each kind of request has its own expert popularity.
REQUEST_KIND_COUNT = 9
# Fraction of a pass that is spent on experts.
EXPERT_TIME_FRACTION = 0.85
# Duration of a pass: its base, plus a part for each generating stream and for each
# prompt token that is read; close to the figures in the users' data sheets.
BASE_PASS_MS = 18.0
STREAM_PASS_MS = 3.6
PROMPT_TOKEN_MS = 1 / 61.4
MAX_PROMPT_TOKENS_PER_PASS = 512
COUNT_INTERVAL_S = 0.15
# Time that the orders of a map change take in addition to its copies.
ORDER_DELAY_S = 0.13


class Demand(NamedTuple):
    """The callers' request rate, expert popularity and latency targets.

    ``popularity_deviation`` is the standard deviation of the logarithm of an expert's
    popularity; ``changed_kind_fraction`` of the request kinds get a new popularity at
    each change.
    """

    requests_per_s: float
    popularity_change_interval_s: float
    popularity_deviation: float
    changed_kind_fraction: float = 0.6
    prompt_tokens: int = 850
    answer_events: int = 24
    first_token_target_s: float = 0.5
    token_gap_target_s: float = 0.12


class GroupOutcome(NamedTuple):
    """The latency of a simulation's streams and the cost of its map changes."""

    stream_count: int
    on_time_fraction: float
    mean_pass_ms: float
    mean_skew: float
    map_change_count: int
    expert_copy_count: int


@dataclass
class _Stream:
    kind: int
    arrived_at: float
    unread_prompt_tokens: int
    remaining_events: int
    last_event_at: float
    is_late: bool = False
    has_begun: bool = False


@dataclass
class _Rank:
    streams: list[_Stream] = field(default_factory=list)


class GroupModel:
    """An engine group; a model can be simulated once."""

    def __init__(
        self, shape: EngineShape, ranks: int, demand: Demand, *, seed: int
    ) -> None:
        self._shape = shape
        self._demand = demand
        self._random = Random(seed)
        self._ranks = [_Rank() for _ in range(ranks)]
        self._placements: LayerPlacements = round_robin_placement(
            ranks, shape.layer_count, shape.expert_count
        )
        self._expert_weights_by_kind = [
            self._draw_expert_weights() for _ in range(REQUEST_KIND_COUNT)
        ]
        self._counts = [self._build_zero_counts() for _ in range(ranks)]
        self._now = 0.0
        self._step = 0
        self._next_arrival_at = 0.0
        self._ended_streams: list[_Stream] = []

    def _draw_expert_weights(self) -> list[list[float]]:
        weights_by_layer = []
        for _ in range(self._shape.layer_count):
            weights = [
                self._random.lognormvariate(0.0, self._demand.popularity_deviation)
                for _ in range(self._shape.expert_count)
            ]
            total = sum(weights)
            weights_by_layer.append([weight / total for weight in weights])
        return weights_by_layer

    def _build_zero_counts(self) -> list[float]:
        return [0.0] * (self._shape.layer_count * self._shape.expert_count)

    def simulate(self, seconds: float, *, is_balanced: bool = True) -> GroupOutcome:
        """Return the outcome of the streams that ended within ``seconds``.

        Without ``is_balanced`` the map never changes.
        """
        balancer = Balancer(self._shape)
        pass_count = 0
        skew_sum = 0.0
        changes = copies = 0
        counted_at = popularity_changed_at = 0.0
        pending: tuple[float, LayerPlacements] | None = None
        while self._now < seconds:
            self._add_arrivals()
            skew = self._run_pass()
            pass_count += 1
            skew_sum += skew
            if (
                self._now - popularity_changed_at
                >= self._demand.popularity_change_interval_s
            ):
                popularity_changed_at = self._now
                self._change_popularity()
            if pending is not None and self._now >= pending[0]:
                self._placements, pending = pending[1], None
            if (
                is_balanced
                and pending is None
                and self._now - counted_at >= COUNT_INTERVAL_S
            ):
                counted_at = self._now
                plan = balancer.plan_change(
                    self._build_group_state(),
                    self._placements,
                    self._take_count_replies(),
                    self._now,
                )
                if plan is not None:
                    max_copies = _count_most_copies(self._placements, plan.layers)
                    copying_s = max_copies * self._shape.expert_copy_s
                    pending = (self._now + ORDER_DELAY_S + copying_s, plan.layers)
                    changes += 1
                    copies += plan.copies
        on_time = sum(not one.is_late for one in self._ended_streams) / max(
            1, len(self._ended_streams)
        )
        return GroupOutcome(
            len(self._ended_streams),
            on_time,
            1000 * self._now / pass_count,
            skew_sum / pass_count,
            changes,
            copies,
        )

    def _add_arrivals(self) -> None:
        while self._next_arrival_at <= self._now:
            rank = min(self._ranks, key=lambda one: len(one.streams))
            demand = self._demand
            kind = self._random.randrange(REQUEST_KIND_COUNT)
            prompt = max(
                16,
                round(
                    self._random.gauss(demand.prompt_tokens, demand.prompt_tokens / 4)
                ),
            )
            events = max(
                2,
                round(
                    self._random.gauss(demand.answer_events, demand.answer_events / 3)
                ),
            )
            rank.streams.append(
                _Stream(
                    kind, self._next_arrival_at, prompt, events, self._next_arrival_at
                )
            )
            self._next_arrival_at += self._random.expovariate(demand.requests_per_s)

    def _change_popularity(self) -> None:
        for kind in range(REQUEST_KIND_COUNT):
            if self._random.random() < self._demand.changed_kind_fraction:
                self._expert_weights_by_kind[kind] = self._draw_expert_weights()

    def _run_pass(self) -> float:
        """Run one pass and return its skew."""
        self._step += 1
        own: list[float] = []
        tokens_by_kind = [0.0] * REQUEST_KIND_COUNT
        for rank, counts in zip(self._ranks, self._counts, strict=True):
            own.append(self._run_rank(rank, counts, tokens_by_kind))
        skew = self._compute_skew(tokens_by_kind)
        mean_ms = sum(own) / len(own)
        duration_ms = (1 - EXPERT_TIME_FRACTION) * max(
            own
        ) + EXPERT_TIME_FRACTION * mean_ms * skew
        self._now += duration_ms / 1000
        for rank in self._ranks:
            self._end_pass(rank)
        return skew

    def _run_rank(
        self, rank: _Rank, counts: list[float], tokens_by_kind: list[float]
    ) -> float:
        duration_ms = BASE_PASS_MS
        budget = MAX_PROMPT_TOKENS_PER_PASS
        for stream in rank.streams:
            if stream.unread_prompt_tokens:
                read = min(budget, stream.unread_prompt_tokens)
                stream.unread_prompt_tokens -= read
                budget -= read
                duration_ms += read * PROMPT_TOKEN_MS
                tokens = float(read)
            else:
                duration_ms += STREAM_PASS_MS
                tokens = 4.0
            tokens_by_kind[stream.kind] += tokens
            self._count_expert_tokens(stream.kind, tokens, counts)
        return duration_ms

    def _count_expert_tokens(
        self, kind: int, tokens: float, counts: list[float]
    ) -> None:
        experts = self._shape.expert_count
        for layer, liked in enumerate(self._expert_weights_by_kind[kind]):
            start = layer * experts
            for expert, share in enumerate(liked):
                counts[start + expert] += 8 * tokens * share

    def _compute_skew(self, tokens_by_kind: list[float]) -> float:
        total = sum(tokens_by_kind)
        if not total:
            return 1.0
        load_sum = 0.0
        for layer, placement in enumerate(self._placements):
            shares = [
                sum(
                    tokens * self._expert_weights_by_kind[kind][layer][expert]
                    for kind, tokens in enumerate(tokens_by_kind)
                )
                / total
                for expert in range(self._shape.expert_count)
            ]
            load_sum += _compute_max_rank_load(placement, shares) * len(placement)
        return load_sum / len(self._placements)

    def _end_pass(self, rank: _Rank) -> None:
        active_streams: list[_Stream] = []
        for stream in rank.streams:
            if stream.unread_prompt_tokens:
                active_streams.append(stream)
                continue
            self._record_event(stream)
            (active_streams if stream.remaining_events else self._ended_streams).append(
                stream
            )
        rank.streams = active_streams

    def _record_event(self, stream: _Stream) -> None:
        if stream.has_begun:
            stream.is_late |= (
                self._now - stream.last_event_at > self._demand.token_gap_target_s
            )
        else:
            stream.is_late |= (
                self._now - stream.arrived_at > self._demand.first_token_target_s
            )
        stream.has_begun = True
        stream.last_event_at = self._now
        stream.remaining_events -= 1

    def _build_group_state(self) -> GroupState:
        ranks = len(self._ranks)
        return GroupState(
            1,
            ranks,
            {
                rank: RankState(
                    "g", 1, rank, ranks, True, self._step, 0, 0, 0, None, 1, 0, 1.0
                )
                for rank in range(ranks)
            },
        )

    def _take_count_replies(self) -> list[RankStateReply]:
        replies = []
        for counts in self._counts:
            scale = max(1, round(max(counts)) // 255 + 1)
            packed = bytes(round(count / scale) for count in counts)
            replies.append(RankStateReply(0, None, packed, scale))
        self._counts = [self._build_zero_counts() for _ in self._ranks]
        return replies


def _compute_max_rank_load(
    placement: tuple[tuple[int, ...], ...], shares: list[float]
) -> float:
    holders = [0] * len(shares)
    for held in placement:
        for expert in held:
            holders[expert] += 1
    return max(sum(shares[one] / holders[one] for one in held) for held in placement)


def _count_most_copies(before: LayerPlacements, after: LayerPlacements) -> int:
    ranks = range(len(before[0]))
    return max(
        sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(before, after, strict=True)
        )
        for rank in ranks
    )
