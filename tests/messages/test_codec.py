from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from kingcupwheel.messages.codec import MsgpackCodec
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import EntryInfo
from kingcupwheel.messages.membership import ShareHeartbeat


if TYPE_CHECKING:
    from kingcupwheel.messages.base import Message


HEARTBEAT = EntryHeartbeat(
    sender=EntryInfo("entry-1", "10.0.0.1:7000", "10.0.0.1:80", "dc-1"),
    incarnation="a",
    leaving=False,
    sent_at=5.0,
    echo=4.0,
    version=3,
    age_s=0.5,
    crashed=(),
    known_entries=(),
    echo_held_s=0.1,
    echo_incarnation="b",
)
SHARES = ShareHeartbeat("entry-1", 5.0, 4.0, (), "a", "b")


@pytest.mark.parametrize("message", [HEARTBEAT, SHARES])
def test_frame_broken_off_at_any_byte_is_no_message(message: Message) -> None:
    """Guards against a message whose last fields have their defaults instead."""
    codec = MsgpackCodec()
    frame = codec.encode(message)

    assert codec.decode(frame).ok == message
    assert all(codec.decode(frame[:cut]).is_error() for cut in range(len(frame)))


@pytest.mark.parametrize(
    ("message", "added"), [(HEARTBEAT, ("b",)), (SHARES, ("a", "b"))]
)
def test_versions_side_by_side_read_each_others_heartbeats(
    message: Message, added: tuple[str, ...]
) -> None:
    """Guards against entries that are not heard while a fleet is being replaced.

    An earlier version sends fewer fields; one that is later sends more.
    """
    codec = MsgpackCodec()
    fields = msgspec.msgpack.decode(codec.encode(message))
    assert tuple(fields[-len(added) :]) == added

    earlier = codec.decode(msgspec.msgpack.encode(fields[: -len(added)])).ok
    later = codec.decode(msgspec.msgpack.encode([*fields, "unknown"])).ok

    assert isinstance(earlier, EntryHeartbeat | ShareHeartbeat)
    assert earlier.echo_incarnation == ""
    assert earlier.echo == 4.0
    assert later == message
