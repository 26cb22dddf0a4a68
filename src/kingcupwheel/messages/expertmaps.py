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
    """Agent to coordinator: the rank's answer to the order with that ``serial``."""

    group: str
    fence: int
    serial: int
    agent: str
    incarnation: str
    reply: bytes
