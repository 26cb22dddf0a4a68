from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.forwarding.events import EventSplitter


STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


@given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_come_out_whole_however_their_bytes_arrive(cuts: list[int]) -> None:
    splitter = EventSplitter()
    found = []
    edges = [0, *sorted(cuts), len(STREAM)]
    for start, end in zip(edges, edges[1:], strict=False):
        found += splitter.feed(STREAM[start:end])

    assert b"".join(event.raw for event in found) == STREAM
    assert [event.id for event in found] == ["1", "2", "3", "4", "5"]
    assert splitter.is_between_events


def test_incomplete_event_is_buffered() -> None:
    """Guards against sending a part of an event when a server fails in the middle."""
    splitter = EventSplitter()

    found = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")

    assert [event.id for event in found] == ["1"]
    assert not splitter.is_between_events
