"""Messages between the coordinator of a group's expert map and the group's agents.

Each carries the coordinator's ``fence`` (its lease's version); an agent refuses one
that is lower than it has seen. A map version is ``(fence, counter)`` and never reused.
"""

from __future__ import annotations

from kingcupwheel.messages.base import Message


class MapOrder(Message, frozen=True):
    """Coordinator to agent: one order for the agent's rank.

    ``order`` is an encoded ``expertmaps.protocol`` order; ``serial`` pairs the reply.
    """

    group: str
    fence: int
    serial: int
    coordinator: str
    order: bytes


class MapReply(Message, frozen=True):
    """Agent to coordinator: the answer of ``rank`` to the order with that ``serial``.

    ``fence`` is that of the order, so that an answer to a former holder is told apart.
    """

    group: str
    fence: int
    serial: int
    agent: str
    rank: int
    reply: bytes
