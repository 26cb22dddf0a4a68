"""A bounded queue that is fair by organisation and refuses what cannot make it."""

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


# Work that a flow of the lowest priority is given in a turn, in tokens; one of priority
# 5 gets 384, about a short request. More lets one flow take many turns' work at once,
# so that others' short requests wait; less costs more rounds for each decision.
QUANTUM_TOKENS = 64.0

# A flow may hold so many times the places that are free. Reason: one flow alone gets
# two thirds of the queue, and however many flood it, a free place is left for the next
# organisation.
MAX_FLOW_PER_FREE_SLOT = 2

# A request is queued if twice its predicted wait is within its deadline: a wait is as
# often above its prediction as below, and one far above ends in a refusal after the
# wait. The servers stay as busy with the shorter queue.
PREDICTED_WAIT_FACTOR = 2.0

# What another flow has waiting may be filled up this often before the turn comes. With
# once, waits are predicted too short at saturation; without bound, a long request is
# refused for a wait that never comes if many flows have a short one each.
MAX_BACKLOG_REFILLS = 3.0

# Longest such wait that is queued, however patient the caller: the servers are as busy
# with a short queue, and the goal for the first token is about a second.
MAX_WAIT_S = 4.0

# Weight of priority p is (p + 1): priority 9 gets ten times the work of priority 0, and
# none is given nothing, so that no priority starves another.
_LOWEST_PRIORITY_WEIGHT = 1.0


class QueuedRequest(NamedTuple):
    """A request that waits for a place on a server.

    ``work`` is predicted work in tokens; the times are monotonic seconds, and
    ``deadline_at`` is when it must have left the queue at the latest.
    """

    request_id: str
    organisation: str
    priority: int
    work: float
    deadline_at: float
    queued_at: float


class Enqueued(NamedTuple):
    """The request waits; ``ahead`` others were in the queue."""

    requests_ahead: int
    predicted_wait_s: float = 0.0


class _Flow:
    """The waiting requests of one organisation and priority."""

    __slots__ = ("backlog", "deficit", "has_turn", "requests", "weight")

    def __init__(self, priority: int) -> None:
        self.requests: deque[QueuedRequest] = deque()
        self.weight = max(0, priority) + _LOWEST_PRIORITY_WEIGHT
        self.deficit = 0.0
        self.has_turn = False
        self.backlog = 0.0

    def try_take_turn(self, quantum: float) -> bool:
        """Return whether its first request may be taken in this turn."""
        if not self.has_turn:
            self.has_turn = True
            self.deficit += quantum * self.weight
        if self.deficit >= self.requests[0].work:
            return True
        self.has_turn = False
        return False


class FairQueue:
    """Deficit round robin by predicted work over organisations and priorities.

    Load: more requests than the servers have places for, some organisations with ten
    times the requests or the work of others. Harm prevented: in a common line the flood
    of one makes all wait; a long line answers everybody too late. ``limit`` bounds the
    requests held here, and so memory and threads.
    """

    def __init__(
        self,
        limit: int,
        *,
        quantum: float = QUANTUM_TOKENS,
        max_wait_s: float = MAX_WAIT_S,
    ) -> None:
        self._limit = limit
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
        """The predicted work that waits, in tokens."""
        return sum(flow.backlog for flow in self._flow_by_key.values())

    def push(self, waiting: QueuedRequest, now: float) -> Enqueued | LimitRefusal:
        """Queue a request, or refuse it at once with a time to come back."""
        ahead = len(self)
        key = (waiting.organisation, waiting.priority)
        flow = self._flow_by_key.get(key) or _Flow(waiting.priority)
        if len(flow.requests) >= MAX_FLOW_PER_FREE_SLOT * (self._limit - ahead):
            wait_s = self._drain_rate.estimate_drain_s(self.queued_work, now)
            return self._build_refusal(
                "queue", f"{ahead} requests wait", wait_s, waiting, now
            )
        wait_s = self._predict_wait_s(flow, waiting.work, now)
        left_s = waiting.deadline_at - now
        if wait_s > left_s:
            detail = f"predicted wait {wait_s:.1f} s, deadline in {left_s:.1f} s"
            return self._build_refusal(
                "deadline", detail, wait_s - left_s, waiting, now
            )
        if wait_s > self._max_wait_s:
            detail = f"predicted wait {wait_s:.1f} s"
            return self._build_refusal("wait", detail, wait_s, waiting, now)
        if not self._request_by_id:
            self._drain_rate.mark_nonempty(now)
        self._enqueue(key, flow, waiting)
        return Enqueued(ahead, wait_s)

    def peek(self, now: float) -> QueuedRequest | None:
        """Return the request whose turn it is, or None if none waits in time."""
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
        """Take out and return what ``peek`` returns."""
        waiting = self.peek(now)
        if waiting is None:
            return None
        key = self._active_keys[0]
        flow = self._flow_by_key[key]
        flow.requests.popleft()
        flow.deficit -= waiting.work
        flow.backlog -= waiting.work
        del self._request_by_id[waiting.request_id]
        self._drop_if_empty(key, flow)
        # What finds a place at once says nothing about how fast a backlog drains.
        if now > waiting.queued_at:
            self._drain_rate.record_dequeue(waiting.work, now)
        self._mark_if_empty(now)
        return waiting

    def remove(self, request_id: str, now: float) -> QueuedRequest | None:
        """Take a request out, for instance when its caller has left."""
        waiting = self._request_by_id.pop(request_id, None)
        if waiting is None:
            return None
        key = (waiting.organisation, waiting.priority)
        flow = self._flow_by_key[key]
        flow.requests.remove(waiting)
        flow.backlog -= waiting.work
        self._drop_if_empty(key, flow)
        self._mark_if_empty(now)
        return waiting

    def take_expired(self, now: float) -> list[QueuedRequest]:
        """Return, once, the requests whose deadline passed while they waited."""
        self._drop_expired(now)
        expired = self._expired
        self._expired = []
        return expired

    def _enqueue(
        self, key: tuple[str, int], flow: _Flow, waiting: QueuedRequest
    ) -> None:
        if not flow.requests:
            self._flow_by_key[key] = flow
            self._active_keys.append(key)
        flow.requests.append(waiting)
        flow.backlog += waiting.work
        self._request_by_id[waiting.request_id] = waiting
        heappush(self._deadlines, (waiting.deadline_at, waiting.request_id))

    def _skip_rounds(self) -> None:
        """Grant at once the rounds in which nobody's deficit would suffice.

        Load: requests of some 100,000 tokens alone in the queue. Harm prevented: some
        hundred rounds over all flows for one decision.
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
            waiting = self._request_by_id.get(request_id)
            if waiting is not None and waiting.deadline_at <= now:
                self.remove(request_id, now)
                self._expired.append(waiting)

    def _predict_wait_s(self, own: _Flow, work: float, now: float) -> float:
        """Return the seconds until a new request of ``own`` would be taken.

        Until then every other flow is served its weight's part of what ``own`` is, or
        what it has and is filled up with meanwhile.
        """
        mine = own.backlog + work
        before = own.backlog
        for flow in self._flow_by_key.values():
            if flow is not own:
                before += min(
                    MAX_BACKLOG_REFILLS * flow.backlog, mine * flow.weight / own.weight
                )
        return PREDICTED_WAIT_FACTOR * self._drain_rate.estimate_drain_s(before, now)

    def _build_refusal(
        self, limit: str, detail: str, wait_s: float, waiting: QueuedRequest, now: float
    ) -> LimitRefusal:
        """Refuse with a time to come back at which there may be room.

        Load: hundreds of requests refused, for a second or for a minute. Harm
        prevented: callers told the same short time come back together, into the same
        overload, and are refused until they give up. Each refusal therefore takes the
        next turn at the pace at which the queue drains, and is spread by its request's
        id, so that a trace can be worked out again.
        """
        turn_at = max(now + wait_s, self._next_retry_at)
        base_s = min(max(MIN_RETRY_AFTER_S, turn_at - now), MAX_RETRY_AFTER_S / 2)
        self._next_retry_at = (
            now + base_s + self._drain_rate.estimate_drain_s(waiting.work, now)
        )
        after_s = base_s * (1.0 + stable_fraction(waiting.request_id))
        return LimitRefusal(limit, detail, after_s)
