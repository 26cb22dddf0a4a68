"""Servers that a request crashes, or that lose power, and their replacements."""

from __future__ import annotations

import time
from itertools import count
from threading import Thread
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.standins.backend import BackendStandIn
from tests.standins.backend import Behaviour


if TYPE_CHECKING:
    from tests.forwarding.fleet import Fleet
    from tests.standins.backend import ReceivedRequest


class RestartTimes(NamedTuple):
    """Seconds from a server's end to its removal from the list and to its successor."""

    removal_s: float
    restart_s: float


class CrashingService:
    """Replaces each server that ends by a new incarnation at the same address."""

    def __init__(
        self, fleet: Fleet, behaviour: Behaviour, times: RestartTimes, *, size: int = 6
    ) -> None:
        self._fleet = fleet
        self._behaviour = behaviour
        self._times = times
        self._numbers = count()
        self._is_over = False
        self.ended_at: list[float] = []
        self.servers: list[BackendStandIn] = []
        for _ in range(size):
            self._add(port=0)

    def _add(self, port: int) -> None:
        server = BackendStandIn(f"i-{next(self._numbers)}", port=port)
        server.behaviour = self._behaviour
        server.start()
        self.servers.append(server)
        self._fleet.servers.append(server)
        self._fleet.store.put(
            "servers", server.instance, server.build_store_entry("app")
        )
        Thread(target=self._replace_after_end, args=(server,), daemon=True).start()

    def _replace_after_end(self, server: BackendStandIn) -> None:
        server.stopping.wait()
        if self._is_over:
            return
        ended_at = time.monotonic()
        self.ended_at.append(ended_at)
        steps = sorted(
            (
                (self._times.removal_s, self._remove),
                (self._times.restart_s, self._restart),
            ),
            key=lambda step: step[0],
        )
        for delay_s, step in steps:
            time.sleep(max(0.0, ended_at + delay_s - time.monotonic()))
            if not self._is_over:
                step(server)

    def _remove(self, server: BackendStandIn) -> None:
        self._fleet.store.remove("servers", server.instance)

    def _restart(self, server: BackendStandIn) -> None:
        self._add(int(server.address.rpartition(":")[2]))

    def stop(self) -> None:
        """Replace no more servers."""
        self._is_over = True

    def arrivals(self, target: str) -> list[ReceivedRequest]:
        """Return the sends of a request that reached servers, in order of arrival."""
        found = [
            request
            for server in tuple(self.servers)
            for request in server.received_requests
            if request.target == target
        ]
        return sorted(found, key=lambda request: request.arrived_at)

    def arrivals_with_part(self, part: str) -> list[ReceivedRequest]:
        """Return the sends whose prompts have a part, in order of arrival."""
        found = [
            request
            for server in tuple(self.servers)
            for request in server.received_requests
            if f"{part}:" in request.headers.get("x-prompt-prefix", "")
        ]
        return sorted(found, key=lambda request: request.arrived_at)

    def late_arrivals(self, target: str, window_s: float) -> list[ReceivedRequest]:
        """Return the sends later than ``window_s`` after the third server's end."""
        if len(self.ended_at) < 3:
            return []
        since = sorted(self.ended_at)[2] + window_s
        return [one for one in self.arrivals(target) if one.arrived_at > since]
