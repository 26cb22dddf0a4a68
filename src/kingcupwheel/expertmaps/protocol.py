"""Orders of a group's coordinator to its ranks, and the ranks' replies.

A change of the map is a two-phase commit. ``StageOrder`` loads weights,
``PrepareOrder`` holds a rank before a step, ``CommitOrder`` or ``AbortOrder`` releases
it. A coordinator that takes over sends ``SupersedeOrder`` in place of a prepare: it
invalidates every lower version that the rank has not committed, holds the rank at once
and returns what the rank has committed.
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
    """An expert map and the version it was first staged under, its identifier."""

    origin_version: MapVersion = msgspec.field(name="origin")
    map: ExpertMap


class MapSchedule(msgspec.Struct, frozen=True, array_like=True):
    """Committed maps of a rank: ``old_map`` before ``from_step``, then ``new_map``."""

    version: MapVersion
    old_map: VersionedMap = msgspec.field(name="before")
    new_map: VersionedMap = msgspec.field(name="after")
    from_step: int

    def map_at(self, step: int) -> VersionedMap:
        """Return the map in force in ``step``."""
        return self.old_map if step < self.from_step else self.new_map


class Order(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all orders."""


class StageOrder(Order, frozen=True, tag="Stage"):
    """Load the weights that a new map needs on this rank.

    The new map is the committed map of ``base_version`` with ``placements`` replaced.
    Only the difference is sent because a whole map for each rank and change would be
    most of a coordinator's traffic.
    """

    version: MapVersion
    base_version: MapVersion = msgspec.field(name="base")
    placements: tuple[RankPlacement, ...] = msgspec.field(name="cells")


class PrepareOrder(Order, frozen=True, tag="Prepare"):
    """Hold the rank before ``step`` until this version is committed or aborted."""

    version: MapVersion
    step: int


class SupersedeOrder(Order, frozen=True, tag="Supersede"):
    """Invalidate lower uncommitted versions, hold the rank, return its schedule."""

    version: MapVersion


class CommitOrder(Order, frozen=True, tag="Commit"):
    """Commit the prepared version.

    ``schedule`` is set only after a ``SupersedeOrder``. It replaces the rank's own
    schedule, and a restarted rank loads its weights by it. It is valid only for the
    ``incarnation`` in the rank's ``SupersedeReply``: duplicates of both orders that
    arrive after another restart would otherwise activate an outdated map on this rank
    alone.
    """

    version: MapVersion
    schedule: MapSchedule | None
    incarnation: str = msgspec.field(default="", name="life")


class AbortOrder(Order, frozen=True, tag="Abort"):
    """Abort the version, even if its ``PrepareOrder`` has not arrived yet."""

    version: MapVersion


class StateRequest(Order, frozen=True, tag="ReadState"):
    """Request the rank's state; the reply repeats ``round``."""

    round: int
    include_schedule: bool = msgspec.field(default=False, name="whole")


class ExpertLoadsRequest(Order, frozen=True, tag="ReadLoads"):
    """Request the load of each expert since the previous request."""

    round: int


class RankStatus(msgspec.Struct, frozen=True, array_like=True):
    """State of a rank; ``step`` is the next to run.

    ``committed_version`` is None for a restarted rank that has not received its map
    yet. ``held_version`` is the version, neither committed nor aborted, that holds the
    rank.
    """

    step: int
    committed_version: MapVersion | None = msgspec.field(name="committed")
    from_step: int
    held_version: MapVersion | None = msgspec.field(name="held")


class Reply(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all replies."""


class StageReply(Reply, frozen=True, tag="Staged"):
    """Weights of ``version`` are loaded; ``step`` is the next to run."""

    version: MapVersion
    step: int


class PrepareReply(Reply, frozen=True, tag="Prepared"):
    """The rank is held before the step in its ``PrepareOrder``."""

    version: MapVersion


class SupersedeReply(Reply, frozen=True, tag="Held"):
    """Reply to ``SupersedeOrder``; ``schedule`` is None for a restarted rank.

    ``incarnation`` identifies the rank's process from one start to the next.
    """

    version: MapVersion
    schedule: MapSchedule | None
    incarnation: str = msgspec.field(default="", name="life")


class CommitReply(Reply, frozen=True, tag="Committed"):
    """The version is committed on this rank."""

    version: MapVersion


class AbortReply(Reply, frozen=True, tag="Aborted"):
    """The version will never be prepared or committed on this rank."""

    version: MapVersion


class StateReply(Reply, frozen=True, tag="StateRead"):
    """Reply to ``StateRequest``; ``schedule`` is set only if it was requested."""

    round: int
    status: RankStatus
    schedule: MapSchedule | None = None


class ExpertLoadsReply(Reply, frozen=True, tag="LoadsRead"):
    """Reply to ``ExpertLoadsRequest``.

    ``counts`` has, for each layer, the tokens processed by each expert in this rank's
    slots, in the order of the map of ``origin_version``, since that map took effect or
    since the previous request. A rank reports only its own slots; otherwise a
    coordinator of 32 ranks would receive the counts of every expert 32 times.
    """

    round: int
    origin_version: MapVersion = msgspec.field(name="origin")
    counts: tuple[tuple[int, ...], ...]


class RefusalReason(StrEnum):
    """Why a rank or its agent refused an order."""

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
    """The order for ``version`` was refused and had no effect."""

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
    """Return the version of ``order``, or ``NO_VERSION`` for a request."""
    match order:
        case StateRequest() | ExpertLoadsRequest():
            return NO_VERSION
        case _:
            return order.version


def encode(item: AnyOrder | AnyReply) -> bytes:
    """Encode an order or reply as msgpack."""
    return _ENCODER.encode(item)


def _decode(decode: Callable[[bytes], Any], data: bytes) -> Result[Any, DecodeFailure]:
    try:
        return Ok(decode(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Error(DecodeFailure(str(error)))


def decode_order(data: bytes) -> Result[AnyOrder, DecodeFailure]:
    """Decode an order."""
    return _decode(_ORDER_DECODER.decode, data)


def decode_reply(data: bytes) -> Result[AnyReply, DecodeFailure]:
    """Decode a reply."""
    return _decode(_REPLY_DECODER.decode, data)
