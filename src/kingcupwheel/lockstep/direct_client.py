"""Asks servers themselves whose agents are silent."""

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

# Servers asked side by side. A tenth of 72 agents may be killed at once; one after the
# other their servers would hold up a held pass for a second and more.
_MAX_PARALLEL_REQUESTS = 8


class DirectServerClient:
    """Questions to servers past their agents; belongs to one thread.

    Failure: an agent is frozen or killed between a hold and its release. Symptom: the
    whole group stands still until it is back. Its server takes the order from here as
    well, for a small price.
    """

    def __init__(self) -> None:
        self._pool: ThreadPoolExecutor | None = None
        self._clients_by_server: dict[str, RankClient] = {}

    def send_order(self, server: str, order: RankOrder) -> None:
        """Give an order once; whether it was carried out is for the report to show."""
        if server not in self._clients_by_server:
            self._clients_by_server = {server: RankClient(f"http://{server}")}
        result = self._clients_by_server[server].send_order(order)
        log.debug("order-given", order=type(order).__name__, answer=str(result))

    def request_all(
        self, requests_by_server: Mapping[str, RankStateRequest]
    ) -> dict[str, RankStateReply]:
        """Return what servers tell, by address; silent ones are left out."""
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
