"""Orders of a group's coordinator to its ranks, and the ranks' replies.

``Stage`` loads weights, ``Prepare`` holds a rank before a step, ``Commit`` or ``Abort``
ends that. ``Supersede`` is the prepare of a successor: it ends every lower version that
the rank has not committed, holds the rank at once, and asks what it has committed.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.expertmaps.exceptions import DecodeFailure
from kingcupwheel.expertmaps.maps import NO_VERSION
from kingcupwheel.expertmaps.maps import ExpertMap
from kingcupwheel.expertmaps.maps import MapVersion
from kingcupwheel.expertmaps.maps import RankPlacement


if TYPE_CHECKING:
    from collections.abc import Callable


class VersionedMap(msgspec.Struct, frozen=True, array_like=True):
    """A map and the version it was first staged under, which identifies it."""

    origin_version: MapVersion = msgspec.field(name="origin")
    map: ExpertMap


class MapSchedule(msgspec.Struct, frozen=True, array_like=True):
    """What a rank has committed: ``before`` up to ``from_step``, then ``after``."""

    version: MapVersion
    old_map: VersionedMap = msgspec.field(name="before")
    new_map: VersionedMap = msgspec.field(name="after")
    from_step: int

    def map_at(self, step: int) -> VersionedMap:
        """Return the map in force in ``step``."""
        return self.old_map if step < self.from_step else self.new_map


class Order(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all orders."""


class StageOrder(Order, frozen=True, tag="Stage"):
    """Load the weights that a new map needs on this rank.

    The map is that of ``base``, which the rank has committed, with ``cells`` replaced:
    a whole map for each rank and change would be most of a coordinator's traffic.
    """

    version: MapVersion
    base_version: MapVersion = msgspec.field(name="base")
    placements: tuple[RankPlacement, ...] = msgspec.field(name="cells")


class PrepareOrder(Order, frozen=True, tag="Prepare"):
    """Run no step from ``step`` on until this version is committed or aborted."""

    version: MapVersion
    step: int


class SupersedeOrder(Order, frozen=True, tag="Supersede"):
    """End lower versions not committed, run no step, say what is committed."""

    version: MapVersion


class CommitOrder(Order, frozen=True, tag="Commit"):
    """Make the prepared version final.

    ``schedule`` is given after ``Supersede`` and takes the place of the rank's own; a
    rank that has restarted loads its weights by it. It is meant for the ``life`` of the
    rank that answered ``Held``: a copy of both orders that comes after one more restart
    would otherwise put a map of long ago in force on this rank alone.
    """

    version: MapVersion
    schedule: MapSchedule | None
    incarnation: str = msgspec.field(default="", name="life")


class AbortOrder(Order, frozen=True, tag="Abort"):
    """Give the version up; also when its ``Prepare`` has not arrived yet."""

    version: MapVersion


class StateRequest(Order, frozen=True, tag="ReadState"):
    """Ask for the rank's state, ``whole`` with its maps; ``round`` pairs the reply."""

    round: int
    include_schedule: bool = msgspec.field(default=False, name="whole")


class ExpertLoadsRequest(Order, frozen=True, tag="ReadLoads"):
    """Ask how much work each expert had since the last asking."""

    round: int


class RankStatus(msgspec.Struct, frozen=True, array_like=True):
    """A rank's state: ``step`` is the next to run, ``held`` a version not yet ended.

    ``committed`` is None for a rank that has restarted and was not told its map.
    """

    step: int
    committed_version: MapVersion | None = msgspec.field(name="committed")
    from_step: int
    held_version: MapVersion | None = msgspec.field(name="held")


class Reply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all replies."""


class StageReply(Reply, frozen=True, tag="Staged"):
    """The weights of ``version`` are loaded; ``step`` is the next to run."""

    version: MapVersion
    step: int


class PrepareReply(Reply, frozen=True, tag="Prepared"):
    """The rank will not run the step until told."""

    version: MapVersion


class SupersedeReply(Reply, frozen=True, tag="Held"):
    """Answers ``Supersede``; ``schedule`` is None for a rank that has restarted.

    ``life`` names the rank's life, from one start to the next.
    """

    version: MapVersion
    schedule: MapSchedule | None
    incarnation: str = msgspec.field(default="", name="life")


class CommitReply(Reply, frozen=True, tag="Committed"):
    """The version is final on this rank."""

    version: MapVersion


class AbortReply(Reply, frozen=True, tag="Aborted"):
    """The version will never be prepared or committed on this rank."""

    version: MapVersion


class StateReply(Reply, frozen=True, tag="StateRead"):
    """Answers ``ReadState``; ``schedule`` only if it was asked for."""

    round: int
    status: RankStatus
    schedule: MapSchedule | None = None


class ExpertLoadsReply(Reply, frozen=True, tag="LoadsRead"):
    """Answers ``ReadLoads``.

    ``counts`` are, for each layer, the tokens that passed each expert in this rank's
    slots, in the order of the map of ``origin``, since it is in force or was last asked
    for. A rank tells of its own slots only: a coordinator of 32 ranks would otherwise
    hear of every expert 32 times.
    """

    round: int
    origin_version: MapVersion = msgspec.field(name="origin")
    counts: tuple[tuple[int, ...], ...]


class RefusalReason(StrEnum):
    """Why an order changed nothing."""

    STALE_FENCE = "stale-fence"
    STALE_VERSION = "stale-version"
    RESTARTED = "restarted"
    BASE_MISMATCH = "other-base"
    NOT_STAGED = "not-staged"
    STEP_PASSED = "step-passed"
    EARLIER_CHANGE_PENDING = "earlier-change"
    NOT_PREPARED = "not-prepared"
    ALREADY_COMMITTED = "already-committed"
    ENGINE_REFUSED = "engine"


class RefusalReply(Reply, frozen=True, tag="Refused"):
    """The order that named ``version`` changed nothing."""

    version: MapVersion
    reason: RefusalReason


RankOrder = (
    StageOrder | PrepareOrder | SupersedeOrder | CommitOrder | AbortOrder | StateRequest
)
AnyOrder = RankOrder | ExpertLoadsRequest
RankReply = (
    StageReply
    | PrepareReply
    | SupersedeReply
    | CommitReply
    | AbortReply
    | StateReply
    | RefusalReply
)
AnyReply = RankReply | ExpertLoadsReply

_ENCODER = msgspec.msgpack.Encoder()
_ORDER_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(AnyOrder)
_REPLY_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(AnyReply)


def version_of(order: AnyOrder) -> MapVersion:
    """Return the version that ``order`` names; ``ReadState`` names none."""
    match order:
        case StateRequest() | ExpertLoadsRequest():
            return NO_VERSION
        case _:
            return order.version


def encode(item: AnyOrder | AnyReply) -> bytes:
    """Return an order or reply as msgpack."""
    return _ENCODER.encode(item)


def _decode(decode: Callable[[bytes], Any], data: bytes) -> Result[Any, DecodeFailure]:
    try:
        return Ok(decode(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Error(DecodeFailure(str(error)))


def decode_order(data: bytes) -> Result[AnyOrder, DecodeFailure]:
    """Return the order in ``data``."""
    return _decode(_ORDER_DECODER.decode, data)


def decode_reply(data: bytes) -> Result[AnyReply, DecodeFailure]:
    """Return the reply in ``data``."""
    return _decode(_REPLY_DECODER.decode, data)
