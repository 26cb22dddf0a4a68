"""Messages between the coordinator of a group's expert map and the group's agents.

Each carries the coordinator's ``fence``, a fencing token (the version of its lease); an
agent refuses a fence lower than the highest it has seen. A map version is
``(fence, counter)`` and is never reused.
"""

from __future__ import annotations

from kingcupwheel.messages.base import Message


class MapOrder(Message, frozen=True):
    """Coordinator to agent: one order for the agent's rank.

    ``order`` is an encoded order of ``expertmaps.protocol``. ``serial`` is the
    correlation number that the reply repeats.
    """

    group: str
    fence: int
    serial: int
    coordinator: str
    order: bytes


class MapReply(Message, frozen=True):
    """Agent to coordinator: the reply of ``rank`` to the order with that ``serial``.

    ``fence`` repeats the order's, which identifies replies to a former lease holder.
    """

    group: str
    fence: int
    serial: int
    agent: str
    rank: int
    reply: bytes
