"""Rebalancer that collects expert loads and plans new maps for the coordinator."""

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
    current_map: ExpertMap
    estimate: LoadEstimate
    weights: PlanWeights


class Rebalancer:
    """Collects loads every period and provides a plan when there is one.

    Planning runs on its own thread, all else on the caller's thread. A period in which
    a rank does not answer has no plan, because a plan from part of the loads would be
    wrong.
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
        """Stop the planning thread."""
        self._plan_requests.put(None)
        self._thread.join()

    def due_loads_request(self, now: float) -> ExpertLoadsRequest | None:
        """Return the request to send to all ranks if a period is over."""
        if now - self._last_request_at < self._layout.rebalance_every_s:
            return None
        self._last_request_at = now
        self._round += 1
        self._reply_by_rank.clear()
        return ExpertLoadsRequest(self._round)

    def add_reply(
        self, rank: int, reply: ExpertLoadsReply, current_map: VersionedMap
    ) -> None:
        """Add a rank's counts; start planning from ``current_map`` once complete."""
        if (
            reply.round != self._round
            or reply.origin_version != current_map.origin_version
        ):
            return
        if not _matches_placement(reply, rank, current_map.map):
            logger.warning("Counts of rank %d do not match the slots in its map.", rank)
            return
        self._reply_by_rank[rank] = reply
        if len(self._reply_by_rank) < self._layout.ranks:
            return
        loads = _sum_expert_loads(current_map.map, self._reply_by_rank)
        self._reply_by_rank.clear()
        self._estimate = self._estimate.with_counts(loads)
        try:
            request = _PlanRequest(current_map.map, self._estimate, self._weights)
            self._plan_requests.put_nowait(request)
        except queue.Full:
            logger.warning(
                "Skipped planning: the planner has not started the previous plan."
            )

    def take_plan(self) -> MapPlan | None:
        """Return the finished plan, if any, and clear it."""
        plan, self._plan = self._plan, None
        return plan

    def _run(self) -> None:
        while (request := self._plan_requests.get()) is not None:
            try:
                self._plan = plan_map(
                    request.current_map, request.estimate, request.weights
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
    """Return the load of each expert, summed over the ranks that hold it."""
    layers = []
    for number, layer in enumerate(current_map.layers):
        load = [0.0] * current_map.expert_count
        for rank, reply in reply_by_rank.items():
            for expert, count in zip(layer[rank], reply.counts[number], strict=True):
                load[expert] += count
        layers.append(tuple(load))
    return tuple(layers)
