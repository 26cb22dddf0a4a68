"""Forwarder of a coordinator's orders from an agent to its rank."""

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

# Coordinators retry their orders, so a longer queue would only hold duplicates, and an
# order dropped here is sent again.
_MAX_WAITING_ORDERS = 8


class OrderForwarder:
    """Forwards orders to the rank one at a time, on its own thread.

    This way an order of a former coordinator reaches the rank before those of its
    successor, or not at all. ``read_fence`` reads the lease's fence from the platform
    and returns None on failure; then no order is forwarded.
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
        """Highest fence seen, None before the first."""
        return self._guard.highest_fence

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread once the queued orders are handled."""
        self._queue.put(None)
        self._thread.join()

    def enqueue(self, link: Link, message: MapOrder) -> None:
        """Queue an order without blocking; drop it if the queue is full."""
        try:
            self._queue.put_nowait((link, message))
        except queue.Full:
            logger.debug(
                "Dropped order %d: the queue of the rank is full.", message.serial
            )

    def _run(self) -> None:
        while (item := self._queue.get()) is not None:
            link, message = item
            try:
                self._handle(link, message)
            except Exception:
                logger.exception("Failed to handle order %d.", message.serial)

    def _handle(self, link: Link, message: MapOrder) -> None:
        decoded = decode_order(message.order)
        if decoded.is_error():
            logger.warning("Cannot decode order: %s.", decoded.error.detail)
            return
        if not self._ensure_fence():
            return
        if not self._guard.admit(message.fence):
            logger.info("Refused order with stale fence %d.", message.fence)
            version = version_of(decoded.ok)
            refusal = RefusalReply(version, RefusalReason.STALE_FENCE)
            self._send_reply(link, message, refusal)
            return
        self._forward(link, message, decoded.ok)

    def _ensure_fence(self) -> bool:
        if self._guard.highest_fence is None:
            fence = self._read_fence()
            if fence is None:
                # Without the fence, an order of a former coordinator could be
                # accepted. The current coordinator retries an order without a reply.
                return False
            self._guard.raise_to(fence)
        return True

    def _forward(self, link: Link, message: MapOrder, order: AnyOrder) -> None:
        result = self._rank_api.send_order(order, fence=message.fence)
        if result.is_error():
            logger.debug("Call to the rank failed: %s.", result.error.detail)
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
