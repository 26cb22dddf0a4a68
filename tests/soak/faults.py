"""Injects random faults by seed: signals, store, links, servers, orders, changes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.soak.fleet import HEALTHY_BEHAVIOUR
from tests.standins.object_store import StoreFaults
from tests.standins.relay import RelayMode


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tests.soak.fleet import SoakFleet

# Pause between two faults: some faults overlap, others meet a fleet that has
# recovered.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.6
# Longer than a revoked key may still work: requests that waited for the frozen process
# must not run with it.
REVOCATION_FREEZE_S = 7.0
_RELAY_MODES = (
    RelayMode.PASS,
    RelayMode.CUT,
    RelayMode.FREEZE_OPEN,
    RelayMode.FREEZE_OPEN,
    RelayMode.FREEZE_ALL,
)
_BEHAVIOURS = (
    HEALTHY_BEHAVIOUR._replace(closes_connection=True),
    HEALTHY_BEHAVIOUR._replace(resets_connection=True),
    HEALTHY_BEHAVIOUR._replace(rejects_requests=True),
    HEALTHY_BEHAVIOUR._replace(status=500),
    HEALTHY_BEHAVIOUR._replace(sends_wrong_id=True),
    HEALTHY_BEHAVIOUR._replace(omits_signature=True),
    HEALTHY_BEHAVIOUR._replace(truncates_body=True),
    HEALTHY_BEHAVIOUR._replace(sends_extra_response=True),
    HEALTHY_BEHAVIOUR._replace(omits_length=True),
    HEALTHY_BEHAVIOUR._replace(delay_s=3.0),
    HEALTHY_BEHAVIOUR._replace(truncate_after_events=4),
)
_STORE_FAULTS = (
    StoreFaults(error_status=503),
    StoreFaults(error_status=429),
    StoreFaults(is_silent=True),
    StoreFaults(drops_write_responses=True),
    StoreFaults(watch_delay_s=2.0),
)


class FaultInjector:
    """Injects one fault after another; ``event_log`` lists them for the report."""

    def __init__(self, fleet: SoakFleet, rng: Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self.event_log: list[str] = []
        self._fault_kinds: tuple[Callable[[], str], ...] = (
            self._kill,
            self._terminate,
            self._freeze,
            self._send_sighup,
            self._set_store_fault,
            self._kill_many,
            self._freeze_and_revoke,
            self._set_relay_mode,
            self._set_relay_mode,
            self._set_server_behaviour,
            self._set_server_behaviour,
            self._replace_server,
            self._lose_server,
            self._change_configuration,
            self._set_order_loss,
            self._set_popularity,
            self._compact_history,
        )

    def inject(self, count: int) -> None:
        """Inject ``count`` faults."""
        for _ in range(count):
            inject_fault = self._rng.choice(self._fault_kinds)
            self.event_log.append(inject_fault())
            time.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    def _kill(self) -> str:
        process = self._rng.choice(self._fleet.processes)
        process.kill()
        return f"kill {process.name}"

    def _terminate(self) -> str:
        process = self._rng.choice(self._fleet.processes)
        process.terminate()
        return f"terminate {process.name}"

    def _freeze(self) -> str:
        process = self._rng.choice(self._fleet.processes)
        seconds = self._rng.uniform(0.2, 2.0)
        process.freeze(seconds)
        return f"freeze {process.name} for {seconds:.1f} s"

    def _send_sighup(self) -> str:
        process = self._rng.choice(self._fleet.processes)
        process.send_sighup()
        return f"hang up {process.name}"

    def _set_store_fault(self) -> str:
        name, store_server = self._rng.choice(sorted(self._fleet.store_servers.items()))
        store_server.faults = self._rng.choice(
            (StoreFaults(), StoreFaults(), *_STORE_FAULTS)
        )
        return f"store for {name}: {store_server.faults}"

    def _kill_many(self) -> str:
        processes = self._rng.choice(
            (self._fleet.entries, self._fleet.agents, self._fleet.processes)
        )
        for process in processes:
            process.kill()
        return f"kill {', '.join(process.name for process in processes)}"

    def _freeze_and_revoke(self) -> str:
        """Freeze an entry until the key of its waiting callers is revoked."""
        process = self._rng.choice(self._fleet.entries)
        process.freeze(REVOCATION_FREEZE_S)
        self._fleet.revoke_second_key()
        return (
            f"freeze {process.name} for {REVOCATION_FREEZE_S} s "
            "and revoke the second key"
        )

    def _set_relay_mode(self) -> str:
        name, relay = self._rng.choice(sorted(self._fleet.relays.items()))
        mode = self._rng.choice(_RELAY_MODES)
        delay_ms = self._rng.choice((0.0, 0.0, 30.0))
        relay.set_mode(mode, delay_ms=delay_ms)
        return f"way to {name}: {mode}, {delay_ms} ms"

    def _lose_server(self) -> str:
        number = self._rng.randrange(len(self._fleet.servers))
        self._fleet.lose_server(number)
        return f"lose server {number}"

    def _set_server_behaviour(self) -> str:
        # At most half of the servers have a fault, so that the others can answer.
        server = self._rng.choice(self._fleet.servers[: len(self._fleet.servers) // 2])
        server.behaviour = self._rng.choice((HEALTHY_BEHAVIOUR, *_BEHAVIOURS))
        return f"server {server.instance}: {server.behaviour}"

    def _replace_server(self) -> str:
        number = self._rng.randrange(len(self._fleet.servers))
        self._fleet.replace_server(number)
        return f"replace server {number}"

    def _change_configuration(self) -> str:
        if self._rng.random() < 0.3:
            self._fleet.revoke_second_key()
            return "revoke the second key"
        self._fleet.write_configuration()
        return f"configuration {self._fleet.configuration_version}"

    def _set_order_loss(self) -> str:
        loss_rate = self._rng.choice((0.0, 0.1, 0.5))
        for rank in self._fleet.group.ranks:
            rank.order_loss_rate = loss_rate
        return f"orders lost: {loss_rate}"

    def _set_popularity(self) -> str:
        hot_expert = self._rng.randrange(6)
        self._fleet.group.expert_weights = [
            20 if expert == hot_expert else 1 for expert in range(6)
        ]
        return f"expert {hot_expert} is popular"

    def _compact_history(self) -> str:
        self._fleet.objects.compact_history()
        return "the store forgets its history"
