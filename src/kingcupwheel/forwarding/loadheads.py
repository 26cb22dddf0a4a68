"""Which agents an entry asks for servers' loads. Pure: times are arguments.

Small fleets are asked agent by agent. In larger ones one agent of each data centre
tells for all of it; see ``lockstep.load_aggregator`` for the load and the harm
prevented.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

# Agents that are greeted one by one; the messages of so many are 100 a second.
DIRECT_AGENTS = 24
# Between two words of a head, in seconds: as often as an agent tells its own load, and
# half as often from other data centres, whose bytes have a price.
_NEAR_S = 0.25
_FAR_S = 0.5
# A head that was asked and said nothing for so long is passed over, in seconds: five of
# its words.
_SILENT_S = 1.25
# How long it is passed over; a killed process is back within that.
_PASSED_OVER_S = 5.0


class HeadAsk(NamedTuple):
    """Ask ``head`` for the loads of ``members``, each ``every_s`` seconds."""

    head: str
    members: tuple[str, ...]
    every_s: float


class LoadHeads:
    """The heads in use by an entry of a data centre; belongs to one thread."""

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._heard_at: dict[str, float] = {}
        self._asked_since: dict[str, float] = {}
        self._passed_until: dict[str, float] = {}

    def heard(self, head: str, now: float) -> None:
        """Note that a head told something."""
        self._heard_at[head] = now

    def asks(
        self, agents_by_data_centre: Mapping[str, Sequence[str]], now: float
    ) -> tuple[HeadAsk, ...]:
        """Return whom to ask now; a head that fell silent is replaced by the next."""
        found: list[HeadAsk] = []
        for data_centre, agents in agents_by_data_centre.items():
            members = tuple(sorted(agents))
            head = next(
                (one for one in members if not self._is_silent(one, now)), members[0]
            )
            self._asked_since.setdefault(head, now)
            every_s = _NEAR_S if data_centre == self._data_centre else _FAR_S
            found.append(HeadAsk(head, members, every_s))
        return tuple(found)

    def _is_silent(self, head: str, now: float) -> bool:
        if now < self._passed_until.get(head, float("-inf")):
            return True
        asked_since = self._asked_since.get(head)
        if asked_since is None:
            return False
        heard_at = max(asked_since, self._heard_at.get(head, float("-inf")))
        if now - heard_at <= _SILENT_S:
            return False
        del self._asked_since[head]
        self._passed_until[head] = now + _PASSED_OVER_S
        return True
