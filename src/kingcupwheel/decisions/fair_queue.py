"""Bounded queue with fair scheduling between organisations and load shedding."""

from __future__ import annotations

from collections import deque
from heapq import heappop
from heapq import heappush
from typing import NamedTuple

from kingcupwheel.decisions.admission import MAX_RETRY_AFTER_S
from kingcupwheel.decisions.admission import MIN_RETRY_AFTER_S
from kingcupwheel.decisions.admission import LimitRefusal
from kingcupwheel.decisions.drain_rate import DrainRate
from kingcupwheel.decisions.hashing import stable_fraction


# Work granted per turn to a flow of the lowest priority; priority 5 gets 384 tokens,
# about one short request. A larger quantum lets one flow dequeue much work at once
# while others' short requests wait; a smaller one needs more rounds per decision.
QUANTUM_TOKENS = 64.0

# A flow may queue this many requests per free slot. One flow alone gets two thirds of
# the queue, and however many flows flood it, a slot stays free for another
# organisation.
MAX_FLOW_PER_FREE_SLOT = 2

# A request is queued if twice its predicted wait is within its deadline. Actual waits
# are above the prediction as often as below, and one far above would end in a refusal
# after the wait. The shorter queue keeps the servers just as busy.
PREDICTED_WAIT_FACTOR = 2.0

# How often another flow's backlog may be refilled within a predicted wait. With 1,
# waits are predicted too short at saturation. Without a limit, a long request is
# refused for a wait that never occurs when many flows have one short request each.
MAX_BACKLOG_REFILLS = 3.0

# Longest predicted wait that is queued, whatever the deadline: a short queue keeps the
# servers just as busy, and the goal for the first token is about a second.
MAX_WAIT_S = 4.0

# The weight of priority p is p + 1: priority 9 gets ten times the work of priority 0,
# and no priority is starved.
_LOWEST_PRIORITY_WEIGHT = 1.0


class QueuedRequest(NamedTuple):
    """A request that waits for a server.

    ``work`` is predicted work in tokens; times are monotonic seconds, and
    ``deadline_at`` is the latest time to leave the queue.
    """

    request_id: str
    organisation: str
    priority: int
    work: float
    deadline_at: float
    queued_at: float


class Enqueued(NamedTuple):
    """A request was queued behind ``requests_ahead`` others."""

    requests_ahead: int
    predicted_wait_s: float = 0.0


class _Flow:
    """Queued requests of one organisation and priority."""

    __slots__ = ("backlog", "deficit", "has_turn", "requests", "weight")

    def __init__(self, priority: int) -> None:
        self.requests: deque[QueuedRequest] = deque()
        self.weight = max(0, priority) + _LOWEST_PRIORITY_WEIGHT
        self.deficit = 0.0
        self.has_turn = False
        self.backlog = 0.0

    def try_take_turn(self, quantum: float) -> bool:
        """Start a turn if needed; return whether the first request may be dequeued."""
        if not self.has_turn:
            self.has_turn = True
            self.deficit += quantum * self.weight
        if self.deficit >= self.requests[0].work:
            return True
        self.has_turn = False
        return False


class FairQueue:
    """Deficit round robin by predicted work over organisations and priorities.

    In a single FIFO queue, an organisation with ten times the requests or the work of
    others would delay all of them, and in a long queue every answer is late.
    ``max_requests`` bounds the queued requests, and with them memory and threads.
    """

    def __init__(
        self,
        max_requests: int,
        *,
        quantum: float = QUANTUM_TOKENS,
        max_wait_s: float = MAX_WAIT_S,
    ) -> None:
        self._max_requests = max_requests
        self._max_wait_s = max_wait_s
        self._quantum = quantum
        self._flow_by_key: dict[tuple[str, int], _Flow] = {}
        self._active_keys: deque[tuple[str, int]] = deque()
        self._request_by_id: dict[str, QueuedRequest] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._expired: list[QueuedRequest] = []
        self._drain_rate = DrainRate()
        self._next_retry_at = 0.0

    def __len__(self) -> int:
        return len(self._request_by_id)

    @property
    def queued_work(self) -> float:
        """Predicted work of all queued requests, in tokens."""
        return sum(flow.backlog for flow in self._flow_by_key.values())

    def push(self, request: QueuedRequest, now: float) -> Enqueued | LimitRefusal:
        """Queue a request, or refuse it immediately with a Retry-After."""
        ahead = len(self)
        key = (request.organisation, request.priority)
        flow = self._flow_by_key.get(key) or _Flow(request.priority)
        if len(flow.requests) >= MAX_FLOW_PER_FREE_SLOT * (self._max_requests - ahead):
            wait_s = self._drain_rate.estimate_drain_s(self.queued_work, now)
            return self._build_refusal(
                "queue", f"{ahead} requests wait", wait_s, request, now
            )
        wait_s = self._predict_wait_s(flow, request.work, now)
        remaining_s = request.deadline_at - now
        if wait_s > remaining_s:
            detail = f"predicted wait {wait_s:.1f} s, deadline in {remaining_s:.1f} s"
            return self._build_refusal(
                "deadline", detail, wait_s - remaining_s, request, now
            )
        if wait_s > self._max_wait_s:
            detail = f"predicted wait {wait_s:.1f} s"
            return self._build_refusal("wait", detail, wait_s, request, now)
        if not self._request_by_id:
            self._drain_rate.mark_nonempty(now)
        self._enqueue(key, flow, request)
        return Enqueued(ahead, wait_s)

    def peek(self, now: float) -> QueuedRequest | None:
        """Return the next request, or None if none is queued before its deadline."""
        self._drop_expired(now)
        passed = 0
        while self._active_keys:
            flow = self._flow_by_key[self._active_keys[0]]
            if flow.try_take_turn(self._quantum):
                return flow.requests[0]
            self._active_keys.rotate(-1)
            passed += 1
            if passed == len(self._active_keys):
                self._skip_rounds()
        return None

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request."""
        request = self.peek(now)
        if request is None:
            return None
        key = self._active_keys[0]
        flow = self._flow_by_key[key]
        flow.requests.popleft()
        flow.deficit -= request.work
        flow.backlog -= request.work
        del self._request_by_id[request.request_id]
        self._drop_if_empty(key, flow)
        # A request that did not wait says nothing about how fast a backlog drains.
        if now > request.queued_at:
            self._drain_rate.record_dequeue(request.work, now)
        self._mark_if_empty(now)
        return request

    def remove(self, request_id: str, now: float) -> QueuedRequest | None:
        """Remove a request, for example when its caller has disconnected."""
        request = self._request_by_id.pop(request_id, None)
        if request is None:
            return None
        key = (request.organisation, request.priority)
        flow = self._flow_by_key[key]
        flow.requests.remove(request)
        flow.backlog -= request.work
        self._drop_if_empty(key, flow)
        self._mark_if_empty(now)
        return request

    def take_expired(self, now: float) -> list[QueuedRequest]:
        """Return the requests that expired in the queue, each only once."""
        self._drop_expired(now)
        expired = self._expired
        self._expired = []
        return expired

    def _enqueue(
        self, key: tuple[str, int], flow: _Flow, request: QueuedRequest
    ) -> None:
        if not flow.requests:
            self._flow_by_key[key] = flow
            self._active_keys.append(key)
        flow.requests.append(request)
        flow.backlog += request.work
        self._request_by_id[request.request_id] = request
        heappush(self._deadlines, (request.deadline_at, request.request_id))

    def _skip_rounds(self) -> None:
        """Grant all rounds at once in which no flow's deficit would suffice.

        With only requests of some 100,000 tokens in the queue, one decision would
        otherwise take hundreds of rounds over all flows.
        """
        flows = self._flow_by_key.values()
        rounds = min(
            (flow.requests[0].work - flow.deficit) // (self._quantum * flow.weight)
            for flow in flows
        )
        for flow in flows:
            flow.deficit += max(0.0, rounds) * self._quantum * flow.weight

    def _drop_if_empty(self, key: tuple[str, int], flow: _Flow) -> None:
        if flow.requests:
            return
        del self._flow_by_key[key]
        self._active_keys.remove(key)

    def _mark_if_empty(self, now: float) -> None:
        if not self._request_by_id:
            self._drain_rate.mark_empty(now)

    def _drop_expired(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heappop(self._deadlines)
            request = self._request_by_id.get(request_id)
            if request is not None and request.deadline_at <= now:
                self.remove(request_id, now)
                self._expired.append(request)

    def _predict_wait_s(self, own_flow: _Flow, work: float, now: float) -> float:
        """Return the predicted wait of a new request in ``own_flow``, in seconds.

        In this time every other flow is served in proportion to its weight, but at most
        ``MAX_BACKLOG_REFILLS`` times its backlog.
        """
        own_work = own_flow.backlog + work
        work_before = own_flow.backlog
        for flow in self._flow_by_key.values():
            if flow is not own_flow:
                work_before += min(
                    MAX_BACKLOG_REFILLS * flow.backlog,
                    own_work * flow.weight / own_flow.weight,
                )
        return PREDICTED_WAIT_FACTOR * self._drain_rate.estimate_drain_s(
            work_before, now
        )

    def _build_refusal(
        self, limit: str, detail: str, wait_s: float, request: QueuedRequest, now: float
    ) -> LimitRefusal:
        """Return a refusal whose Retry-After is when there may be capacity.

        If hundreds of refused callers got the same short Retry-After, they would retry
        together into the same overload until they give up. Each refusal therefore
        reserves the next time at the rate at which the queue drains. The jitter is a
        hash of the request id, so that a trace can be reproduced.
        """
        retry_at = max(now + wait_s, self._next_retry_at)
        base_s = min(max(MIN_RETRY_AFTER_S, retry_at - now), MAX_RETRY_AFTER_S / 2)
        self._next_retry_at = (
            now + base_s + self._drain_rate.estimate_drain_s(request.work, now)
        )
        retry_after_s = base_s * (1.0 + stable_fraction(request.request_id))
        return LimitRefusal(limit, detail, retry_after_s)
