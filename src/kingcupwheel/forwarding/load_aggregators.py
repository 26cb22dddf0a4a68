"""Which agents an entry asks for servers' loads. Pure: times are arguments.

Small fleets are asked agent by agent. In larger ones one agent of each data centre
tells for all of it; see ``lockstep.boards`` for the load and the harm prevented.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

# Agents that are greeted one by one; the messages of so many are 100 a second.
MAX_DIRECT_AGENTS = 24
# Between two words of a head, in seconds: as often as an agent tells its own load, and
# half as often from other data centres, whose bytes have a price.
_LOCAL_INTERVAL_S = 0.25
_REMOTE_INTERVAL_S = 0.5
# A head that was asked and said nothing for so long is passed over, in seconds: five of
# its words.
_SILENCE_TIMEOUT_S = 1.25
# How long it is passed over; a killed process is back within that.
_EXCLUSION_S = 5.0


class LoadQuery(NamedTuple):
    """Ask ``head`` for the loads of ``members``, each ``every_s`` seconds."""

    aggregator: str
    members: tuple[str, ...]
    interval_s: float


class LoadAggregators:
    """The heads in use by an entry of a data centre; belongs to one thread."""

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._replied_at: dict[str, float] = {}
        self._queried_since: dict[str, float] = {}
        self._excluded_until: dict[str, float] = {}

    def record_reply(self, aggregator: str, now: float) -> None:
        """Note that a head told something."""
        self._replied_at[aggregator] = now

    def queries(
        self, agents_by_data_centre: Mapping[str, Sequence[str]], now: float
    ) -> tuple[LoadQuery, ...]:
        """Return whom to ask now; a head that fell silent is replaced by the next."""
        result: list[LoadQuery] = []
        for data_centre, agents in agents_by_data_centre.items():
            members = tuple(sorted(agents))
            aggregator = next(
                (one for one in members if not self._is_silent(one, now)), members[0]
            )
            self._queried_since.setdefault(aggregator, now)
            every_s = (
                _LOCAL_INTERVAL_S
                if data_centre == self._data_centre
                else _REMOTE_INTERVAL_S
            )
            result.append(LoadQuery(aggregator, members, every_s))
        return tuple(result)

    def _is_silent(self, aggregator: str, now: float) -> bool:
        if now < self._excluded_until.get(aggregator, float("-inf")):
            return True
        asked_since = self._queried_since.get(aggregator)
        if asked_since is None:
            return False
        heard_at = max(asked_since, self._replied_at.get(aggregator, float("-inf")))
        if now - heard_at <= _SILENCE_TIMEOUT_S:
            return False
        del self._queried_since[aggregator]
        self._excluded_until[aggregator] = now + _EXCLUSION_S
        return True
