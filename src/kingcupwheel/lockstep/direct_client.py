"""Sends requests and orders to servers directly, bypassing their agents."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from kingcupwheel.lockstep.order_executor import OrderExecutor
from kingcupwheel.platform.rank_client import RankClient
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.lockstep.orders import RankOrder
    from kingcupwheel.messages.lockstep import RankStateReply
    from kingcupwheel.messages.lockstep import RankStateRequest

log = lines_of("maps")

# Servers queried in parallel. A tenth of 72 agents may be killed at once; querying
# their servers one by one would delay a held pass by more than a second.
_MAX_PARALLEL_REQUESTS = 8


class DirectServerClient:
    """Client of backend servers whose agents do not respond; not thread-safe.

    If an agent is frozen or killed between a hold and its release, the whole group
    would stop until it is back. Its server accepts the orders from here as well, at a
    small cost.
    """

    def __init__(self) -> None:
        self._pool: ThreadPoolExecutor | None = None
        self._clients_by_server: dict[str, RankClient] = {}

    def send_order(self, server: str, order: RankOrder) -> None:
        """Send an order once; only a later report shows whether it was carried out."""
        if server not in self._clients_by_server:
            self._clients_by_server = {server: RankClient(f"http://{server}")}
        result = self._clients_by_server[server].send_order(order)
        log.debug("order-given", order=type(order).__name__, answer=str(result))

    def request_all(
        self, requests_by_server: Mapping[str, RankStateRequest]
    ) -> dict[str, RankStateReply]:
        """Return the replies by server address, without silent servers."""
        if not requests_by_server:
            return {}
        if len(requests_by_server) == 1:
            replies = [_request(*one) for one in requests_by_server.items()]
        else:
            if self._pool is None:
                self._pool = ThreadPoolExecutor(_MAX_PARALLEL_REQUESTS, "direct")
            replies = list(
                self._pool.map(_request, *zip(*requests_by_server.items(), strict=True))
            )
        replies_by_server = dict(zip(requests_by_server, replies, strict=True))
        log.info(
            "asked-directly",
            servers=len(requests_by_server),
            answered=sum(one.state is not None for one in replies),
        )
        return {
            server: one
            for server, one in replies_by_server.items()
            if one.state is not None
        }


def _request(server: str, request: RankStateRequest) -> RankStateReply:
    return OrderExecutor(RankClient(f"http://{server}")).execute(request)
