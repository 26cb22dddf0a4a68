"""The answer of a server that is still being read."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.forwarding.event_reader import EventReader
    from kingcupwheel.forwarding.server_answer import ServerAnswer


class PlacedAnswer(NamedTuple):
    """An answer whose body is not read yet, its events and its reservation."""

    reservation: Reservation
    answer: ServerAnswer
    events: EventReader
