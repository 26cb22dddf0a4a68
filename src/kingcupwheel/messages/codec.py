"""msgpack codec of the messages between processes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.messages.attempts import Ack
from kingcupwheel.messages.attempts import AttemptAccepted
from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import AttemptRefused
from kingcupwheel.messages.attempts import AttemptUnknown
from kingcupwheel.messages.attempts import CancelRequest
from kingcupwheel.messages.attempts import Dispatch
from kingcupwheel.messages.attempts import ResponseData
from kingcupwheel.messages.attempts import ResponseHead
from kingcupwheel.messages.attempts import ResumeRequest
from kingcupwheel.messages.attempts import RunningAttempts
from kingcupwheel.messages.attempts import TombstoneReply
from kingcupwheel.messages.attempts import TombstoneRequest
from kingcupwheel.messages.exceptions import BadMessage
from kingcupwheel.messages.expertmaps import MapOrder
from kingcupwheel.messages.expertmaps import MapReply
from kingcupwheel.messages.lockstep import BranchReply
from kingcupwheel.messages.lockstep import BranchRequest
from kingcupwheel.messages.lockstep import RankStateReply
from kingcupwheel.messages.lockstep import RankStateRequest
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import Hello
from kingcupwheel.messages.membership import InstancesReply
from kingcupwheel.messages.membership import InstancesRequest
from kingcupwheel.messages.membership import LoadsReply
from kingcupwheel.messages.membership import LoadsRequest
from kingcupwheel.messages.membership import ManifestObject
from kingcupwheel.messages.membership import ManifestRequest
from kingcupwheel.messages.membership import PeerHeartbeat
from kingcupwheel.messages.membership import ShareHeartbeat
from kingcupwheel.messages.membership import StatusReply
from kingcupwheel.messages.membership import StatusRequest
from kingcupwheel.messages.traces import BurnReply
from kingcupwheel.messages.traces import BurnRequest
from kingcupwheel.messages.traces import TraceReply
from kingcupwheel.messages.traces import TraceRequest
from kingcupwheel.plugins.registries import codecs


if TYPE_CHECKING:
    from kingcupwheel.messages.base import Message


AnyMessage = (
    Dispatch
    | ResumeRequest
    | Ack
    | CancelRequest
    | TombstoneRequest
    | TombstoneReply
    | AttemptAccepted
    | AttemptRefused
    | ResponseHead
    | ResponseData
    | AttemptEnd
    | RunningAttempts
    | AttemptUnknown
    | Hello
    | AgentHeartbeat
    | PeerHeartbeat
    | ManifestRequest
    | ManifestObject
    | InstancesRequest
    | ShareHeartbeat
    | InstancesReply
    | StatusRequest
    | StatusReply
    | TraceRequest
    | TraceReply
    | BurnRequest
    | BurnReply
    | MapOrder
    | MapReply
    | RankStateRequest
    | RankStateReply
    | BranchRequest
    | BranchReply
    | LoadsRequest
    | LoadsReply
    | EntryHeartbeat
)


@codecs.register("msgpack")
class MsgpackCodec:
    """Encodes and decodes messages; not thread-safe."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
            AnyMessage
        )

    def encode(self, message: Message) -> bytes:
        """Return ``message`` encoded as one frame."""
        return self._encoder.encode(message)

    def decode(self, frame: bytes) -> Result[Message, BadMessage]:
        """Return the message in ``frame``, or why it can't be decoded."""
        try:
            return Ok(self._decoder.decode(frame))
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return Error(BadMessage(str(error)))
