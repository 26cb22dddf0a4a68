"""Executes orders at the local backend server and reads its reports."""

from __future__ import annotations

import time
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.lockstep.order_status import is_carried_out
from kingcupwheel.lockstep.order_status import is_obsolete
from kingcupwheel.lockstep.orders import Prepare
from kingcupwheel.messages.lockstep import RankStateReply
from kingcupwheel.messages.lockstep import ReplyContent
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.lockstep.rank_reports import RankCounts
    from kingcupwheel.lockstep.rank_reports import RankState
    from kingcupwheel.messages.lockstep import RankStateRequest
    from kingcupwheel.platform.rank_client import RankClient
    from kingcupwheel.telemetry.metrics import RankMetrics

log = lines_of("maps")

# An acknowledged order without effect is sent again after this interval. Duplicates are
# harmless: the server refuses a late one as outdated.
_RESEND_INTERVAL_S = 0.1
# Poll intervals of the report: copying takes tenths of a second, arming one call.
_PREPARE_POLL_INTERVAL_S = 0.03
_POLL_INTERVAL_S = 0.004

_MAX_BYTE = 255


class OrderExecutor:
    """Executes a coordinator's requests at one server; not thread-safe."""

    def __init__(self, client: RankClient, metrics: RankMetrics | None = None) -> None:
        self._client = client
        self._metrics = metrics
        self._last_counts: RankCounts | None = None

    def execute(self, request: RankStateRequest) -> RankStateReply:
        """Execute the order of ``request``, if any; return the requested content."""
        state = self._read_state()
        if request.order is not None:
            state = self._execute_order(request, state)
        match request.content:
            case ReplyContent.COUNTS:
                scale, counts = self._read_new_counts()
                return RankStateReply(request.number, state, counts, scale)
            case ReplyContent.PLACES:
                places = self._client.fetch_placement()
                return RankStateReply(
                    request.number, state, placement=places.default_value(())
                )
            case ReplyContent.STATE:
                return RankStateReply(request.number, state)

    def _execute_order(
        self, request: RankStateRequest, state: RankState | None
    ) -> RankState | None:
        order = request.order
        assert order is not None, "the request must hold an order"
        deadline = monotonic() + request.wait_ms / 1000
        poll_interval_s = (
            _PREPARE_POLL_INTERVAL_S if isinstance(order, Prepare) else _POLL_INTERVAL_S
        )
        sent_at = float("-inf")
        while state is None or not (
            is_carried_out(order, state) or is_obsolete(order, state)
        ):
            now = monotonic()
            if now >= deadline:
                break
            if now - sent_at >= _RESEND_INTERVAL_S:
                result = self._client.send_order(order)
                kind = type(order).__name__
                log.debug("order-given", order=kind, answer=str(result))
                if self._metrics is not None:
                    answer = str(result.ok) if result.is_ok() else "none"
                    self._metrics.orders.labels(kind.lower(), answer).inc()
                # An unanswered order is sent again as soon as the report shows that it
                # was not carried out, a refused one after the interval.
                sent_at = now if result.is_ok() else float("-inf")
            else:
                time.sleep(poll_interval_s)
            state = self._read_state()
        return state

    def _read_state(self) -> RankState | None:
        result = self._client.fetch_state()
        return result.ok if result.is_ok() else None

    def _read_new_counts(self) -> tuple[int, bytes]:
        result = self._client.fetch_counts()
        if result.is_error():
            return 1, b""
        now = result.ok
        before, self._last_counts = self._last_counts, now
        if before is None or not _is_continuation(before, now):
            return 1, b""
        return pack_counts(
            [a - b for a, b in zip(now.counts, before.counts, strict=True)]
        )


def _is_continuation(before: RankCounts, now: RankCounts) -> bool:
    """Return whether ``now`` continues the counters of ``before``.

    A rank that restarts under the same id and epoch counts from 0 again. The difference
    would be negative or, once the new counts exceed the old ones, a demand that never
    existed, and experts would be moved needlessly.
    """
    if (before.epoch, before.born_ms) != (now.epoch, now.born_ms):
        return False
    if len(before.counts) != len(now.counts):
        return False
    return all(a >= b for a, b in zip(now.counts, before.counts, strict=True))


def pack_counts(counts: Sequence[int]) -> tuple[int, bytes]:
    """Return a scale and the counts divided by it, one byte each.

    Traffic between data centres costs by the byte, and a resolution of a 255th of the
    largest count is sufficient for the shares that a plan is made from.
    """
    scale = max(1, -(-max(counts, default=0) // _MAX_BYTE))
    return scale, bytes((count + scale // 2) // scale for count in counts)
