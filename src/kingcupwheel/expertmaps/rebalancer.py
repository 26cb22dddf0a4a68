"""Gathers the ranks' loads for the coordinator and plans on a thread of its own."""

from __future__ import annotations

import logging
import queue
from threading import Thread
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.expertmaps.load_estimate import LoadEstimate
from kingcupwheel.expertmaps.planner import PlanWeights
from kingcupwheel.expertmaps.planner import plan_map
from kingcupwheel.expertmaps.protocol import ExpertLoadsRequest


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.load_estimate import MapLoad
    from kingcupwheel.expertmaps.maps import ExpertMap
    from kingcupwheel.expertmaps.planner import MapPlan
    from kingcupwheel.expertmaps.protocol import ExpertLoadsReply
    from kingcupwheel.expertmaps.protocol import VersionedMap
    from kingcupwheel.manifest.schema import ExpertLayout

logger = logging.getLogger("kingcupwheel.expertmaps")


class _PlanRequest(NamedTuple):
    current: ExpertMap
    estimate: LoadEstimate
    weights: PlanWeights


class Rebalancer:
    """Asks for loads every period and offers a plan when there is one.

    All but the planning itself runs on the caller's thread. A rank that does not answer
    leaves its period without a plan: half the loads would make a map for half the work.
    """

    def __init__(self, layout: ExpertLayout) -> None:
        self._layout = layout
        self._weights = PlanWeights(layout.skew_weight, layout.move_cost)
        self._estimate = LoadEstimate()
        self._round = 0
        self._last_request_at = 0.0
        self._reply_by_rank: dict[int, ExpertLoadsReply] = {}
        self._plan_requests: queue.Queue[_PlanRequest | None] = queue.Queue(1)
        self._plan: MapPlan | None = None
        self._thread = Thread(target=self._run, name="planner", daemon=True)

    def start(self) -> None:
        """Start the planning thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the planning thread."""
        self._plan_requests.put(None)
        self._thread.join()

    def due_loads_request(self, now: float) -> ExpertLoadsRequest | None:
        """Return what to ask all ranks when a period is over."""
        if now - self._last_request_at < self._layout.rebalance_every_s:
            return None
        self._last_request_at = now
        self._round += 1
        self._reply_by_rank.clear()
        return ExpertLoadsRequest(self._round)

    def add_reply(
        self, rank: int, reply: ExpertLoadsReply, current_map: VersionedMap
    ) -> None:
        """Add a rank's counts; with the last one, start to plan from ``current``."""
        if (
            reply.round != self._round
            or reply.origin_version != current_map.origin_version
        ):
            return
        if not _matches_placement(reply, rank, current_map.map):
            logger.warning("Rank %d counts other slots than its map has.", rank)
            return
        self._reply_by_rank[rank] = reply
        if len(self._reply_by_rank) < self._layout.ranks:
            return
        counted = _sum_expert_loads(current_map.map, self._reply_by_rank)
        self._reply_by_rank.clear()
        self._estimate = self._estimate.with_counts(counted)
        try:
            question = _PlanRequest(current_map.map, self._estimate, self._weights)
            self._plan_requests.put_nowait(question)
        except queue.Full:
            logger.warning("Planner is behind.")

    def take_plan(self) -> MapPlan | None:
        """Return a plan once it is there, and forget it."""
        found, self._plan = self._plan, None
        return found

    def _run(self) -> None:
        while (question := self._plan_requests.get()) is not None:
            try:
                self._plan = plan_map(
                    question.current, question.estimate, question.weights
                )
            except Exception:
                logger.exception("Planning failed.")


def _matches_placement(
    reply: ExpertLoadsReply, rank: int, expert_map: ExpertMap
) -> bool:
    held = [len(layer[rank]) for layer in expert_map.layers]
    return [len(counts) for counts in reply.counts] == held


def _sum_expert_loads(
    current_map: ExpertMap, reply_by_rank: dict[int, ExpertLoadsReply]
) -> MapLoad:
    """Return each expert's load over all ranks that hold it."""
    layers = []
    for number, layer in enumerate(current_map.layers):
        load = [0.0] * current_map.expert_count
        for rank, reply in reply_by_rank.items():
            for expert, count in zip(layer[rank], reply.counts[number], strict=True):
                load[expert] += count
        layers.append(tuple(load))
    return tuple(layers)
