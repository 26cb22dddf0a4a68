"""The agent's side: passes a coordinator's orders on to the rank beside it."""

from __future__ import annotations

import logging
import queue
from threading import Thread
from typing import TYPE_CHECKING

from kingcupwheel.expertmaps.fence_guard import FenceGuard
from kingcupwheel.expertmaps.protocol import RefusalReason
from kingcupwheel.expertmaps.protocol import RefusalReply
from kingcupwheel.expertmaps.protocol import decode_order
from kingcupwheel.expertmaps.protocol import encode
from kingcupwheel.expertmaps.protocol import version_of
from kingcupwheel.messages.expertmaps import MapReply


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.expertmaps.protocol import AnyOrder
    from kingcupwheel.expertmaps.protocol import AnyReply
    from kingcupwheel.expertmaps.rank_api import RankApi
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.expertmaps import MapOrder

logger = logging.getLogger("kingcupwheel.expertmaps")

# Orders that wait for a slow rank. Coordinators repeat theirs, so more would only be
# copies, and what is dropped here comes again.
_MAX_WAITING_ORDERS = 8


class OrderForwarder:
    """Gives orders to the rank one at a time, on a thread of its own.

    One at a time, so that an order of a former coordinator reaches the rank before
    those of its successor do, or not at all. ``learn_fence`` reads the lease's fence
    from the platform and returns None if it cannot: then no order is taken.
    """

    def __init__(
        self,
        *,
        hub: MessageHub,
        rank_api: RankApi,
        read_fence: Callable[[], int | None],
        agent_name: str,
        rank: int,
    ) -> None:
        self._hub = hub
        self._rank_api = rank_api
        self._read_fence = read_fence
        self._agent_name = agent_name
        self._rank = rank
        self._guard = FenceGuard()
        self._queue: queue.Queue[tuple[Link, MapOrder] | None] = queue.Queue(
            _MAX_WAITING_ORDERS
        )
        self._thread = Thread(target=self._run, name="rank", daemon=True)

    @property
    def highest_fence(self) -> int | None:
        """The highest fence seen, None before any was learnt."""
        return self._guard.highest_fence

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread after the order in hand."""
        self._queue.put(None)
        self._thread.join()

    def enqueue(self, link: Link, message: MapOrder) -> None:
        """Queue an order; returns at once."""
        try:
            self._queue.put_nowait((link, message))
        except queue.Full:
            logger.debug("Order %d dropped, rank is slow.", message.serial)

    def _run(self) -> None:
        while (item := self._queue.get()) is not None:
            link, message = item
            try:
                self._handle(link, message)
            except Exception:
                logger.exception("Order %d failed.", message.serial)

    def _handle(self, link: Link, message: MapOrder) -> None:
        decoded = decode_order(message.order)
        if decoded.is_error():
            logger.warning("Bad order: %s.", decoded.error.detail)
            return
        if not self._ensure_fence():
            return
        if not self._guard.admit(message.fence):
            logger.info("Refused order under old fence %d.", message.fence)
            version = version_of(decoded.ok)
            refusal = RefusalReply(version, RefusalReason.STALE_FENCE)
            self._send_reply(link, message, refusal)
            return
        self._forward(link, message, decoded.ok)

    def _ensure_fence(self) -> bool:
        if self._guard.highest_fence is None:
            fence = self._read_fence()
            if fence is None:
                # Without it an order of a former coordinator could pass: silence makes
                # the present one ask again.
                return False
            self._guard.raise_to(fence)
        return True

    def _forward(self, link: Link, message: MapOrder, order: AnyOrder) -> None:
        result = self._rank_api.send_order(order, fence=message.fence)
        if result.is_error():
            logger.debug("Rank did not answer: %s.", result.error.detail)
            return
        self._send_reply(link, message, result.ok)

    def _send_reply(self, link: Link, message: MapOrder, reply: AnyReply) -> None:
        answer = MapReply(
            message.group,
            message.fence,
            message.serial,
            self._agent_name,
            self._rank,
            encode(reply),
        )
        self._hub.send(link, answer)
