"""Finds links to agents that have gone silent. Pure: times are arguments."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Collection

# A link is silent if three polls in a row, one a second, were not answered.
SILENCE_LIMIT_S = 3.0


class SilentLinks:
    """The links on which agents are polled, by their address; times are monotonic.

    Failure: a device between two machines loses track of a link. Symptom: the agent's
    reports never come again, although a new link would bring them.
    """

    def __init__(self) -> None:
        self._alive_at_by_address: dict[str, float] = {}

    def record_heard(self, address: str, now: float) -> None:
        """Record a message of an agent that has been polled."""
        if address in self._alive_at_by_address:
            self._alive_at_by_address[address] = now

    def retain(self, addresses: Collection[str]) -> None:
        """Forget all other addresses."""
        for address in self._alive_at_by_address.keys() - set(addresses):
            del self._alive_at_by_address[address]

    def take_silent(self, polled: Collection[str], now: float) -> tuple[str, ...]:
        """Return which of the agents to poll now have to be reconnected to first.

        Each of them has its full time afterwards.
        """
        for address in polled:
            self._alive_at_by_address.setdefault(address, now)
        silent = tuple(
            address
            for address in polled
            if now - self._alive_at_by_address[address] > SILENCE_LIMIT_S
        )
        self._alive_at_by_address.update(dict.fromkeys(silent, now))
        return silent
