"""Chooses the agents that an entry queries for servers' loads; does not read the clock.

In small fleets every agent is queried. In larger ones one agent of each data centre,
the aggregator, reports all its loads; the reason is given in
``kingcupwheel.lockstep.load_aggregator``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

# Agents that are queried one by one; this many send 100 messages a second.
MAX_DIRECT_AGENTS = 24
# Report interval of an aggregator: that of an agent's own load, and twice as long from
# other data centres, since traffic between them has a cost.
_LOCAL_INTERVAL_S = 0.25
_REMOTE_INTERVAL_S = 0.5
# An aggregator that has not reported for this long, five intervals, is replaced.
_SILENCE_TIMEOUT_S = 1.25
# Time until it may be chosen again; a killed process has restarted by then.
_EXCLUSION_S = 5.0


class LoadQuery(NamedTuple):
    """A query to ``aggregator`` for the loads of ``members`` every ``interval_s``."""

    aggregator: str
    members: tuple[str, ...]
    interval_s: float


class LoadAggregators:
    """Aggregators that the entry of a data centre uses; not thread-safe."""

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._replied_at: dict[str, float] = {}
        self._queried_since: dict[str, float] = {}
        self._excluded_until: dict[str, float] = {}

    def record_reply(self, aggregator: str, now: float) -> None:
        """Record a report of an aggregator."""
        self._replied_at[aggregator] = now

    def queries(
        self, agents_by_data_centre: Mapping[str, Sequence[str]], now: float
    ) -> tuple[LoadQuery, ...]:
        """Return the queries to send now; silent aggregators are replaced."""
        result: list[LoadQuery] = []
        for data_centre, agents in agents_by_data_centre.items():
            members = tuple(sorted(agents))
            aggregator = next(
                (one for one in members if not self._is_silent(one, now)), members[0]
            )
            self._queried_since.setdefault(aggregator, now)
            interval_s = (
                _LOCAL_INTERVAL_S
                if data_centre == self._data_centre
                else _REMOTE_INTERVAL_S
            )
            result.append(LoadQuery(aggregator, members, interval_s))
        return tuple(result)

    def _is_silent(self, aggregator: str, now: float) -> bool:
        if now < self._excluded_until.get(aggregator, float("-inf")):
            return True
        queried_since = self._queried_since.get(aggregator)
        if queried_since is None:
            return False
        active_at = max(queried_since, self._replied_at.get(aggregator, float("-inf")))
        if now - active_at <= _SILENCE_TIMEOUT_S:
            return False
        del self._queried_since[aggregator]
        self._excluded_until[aggregator] = now + _EXCLUSION_S
        return True
