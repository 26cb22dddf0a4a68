"""Carries orders to the server beside this process and reads what it reports."""

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

# An order that was answered and has no effect is given again after this long. Copies do
# no harm: one that is carried out late is refused as old.
_RESEND_INTERVAL_S = 0.1
# Between two looks at the report: copying takes tenths of a second, arming a call.
_PREPARE_POLL_INTERVAL_S = 0.03
_POLL_INTERVAL_S = 0.004

_MAX_BYTE = 255


class OrderExecutor:
    """Answers the coordinator's questions; belongs to one thread."""

    def __init__(self, client: RankClient, metrics: RankMetrics | None = None) -> None:
        self._client = client
        self._metrics = metrics
        self._last_counts: RankCounts | None = None

    def execute(self, request: RankStateRequest) -> RankStateReply:
        """Carry out the order of ``ask``, if any, and tell what it asks for."""
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
        assert order is not None, "only asks with an order are given"
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
                # One without an answer is given again as soon as the report shows that
                # it was not carried out; one that was refused, after a while.
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
    """Return whether ``now`` counts on from ``before``.

    Failure: a rank starts anew, under its id and in the same epoch. Symptom: its counts
    begin at 0, and the difference would be a negative or, once they have grown past the
    old ones, a demand that never was, which moves experts for nothing.
    """
    if (before.epoch, before.born_ms) != (now.epoch, now.born_ms):
        return False
    if len(before.counts) != len(now.counts):
        return False
    return all(a >= b for a, b in zip(now.counts, before.counts, strict=True))


def pack_counts(counts: Sequence[int]) -> tuple[int, bytes]:
    """Return a scale and the counts divided by it, one byte each.

    Between data centres every byte costs; the map is planned from shares, for which a
    255th of the largest count is exact enough.
    """
    scale = max(1, -(-max(counts, default=0) // _MAX_BYTE))
    return scale, bytes((count + scale // 2) // scale for count in counts)
