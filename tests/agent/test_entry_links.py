from __future__ import annotations

from kingcupwheel.agent.entry_links import EntryLinks
from kingcupwheel.link.links import IncomingLink


FIRST, SECOND = IncomingLink(b"1"), IncomingLink(b"2")


def test_heartbeats_go_to_links_with_a_recent_hello() -> None:
    links = EntryLinks(hello_ttl_s=5.0, silence_timeout_s=20.0)
    links.record_hello(FIRST, "entry-1", now=0.0)
    links.record_message(SECOND, now=0.0)

    assert links.list_heartbeat_links(now=5.0) == [FIRST]
    assert links.list_heartbeat_links(now=5.1) == []


def test_older_links_are_those_of_the_same_entry() -> None:
    links = EntryLinks(hello_ttl_s=5.0, silence_timeout_s=20.0)
    links.record_hello(FIRST, "entry-1", now=0.0)
    links.record_message(SECOND, now=1.0)
    assert links.list_older_links(SECOND) == []

    links.record_hello(SECOND, "entry-1", now=1.0)
    links.record_hello(IncomingLink(b"3"), "entry-2", now=1.0)

    assert links.list_older_links(SECOND) == [FIRST]


def test_pause_of_the_agent_is_not_counted_as_silence() -> None:
    """Guards against cancelling all attempts after the agent itself was paused.

    After a pause of a minute every link seems silent, although the messages that the
    entries sent meanwhile only wait to be read.
    """
    links = EntryLinks(hello_ttl_s=5.0, silence_timeout_s=20.0)
    links.record_hello(FIRST, "entry-1", now=0.0)
    assert links.remove_silent_links(now=1.0) == []

    assert links.remove_silent_links(now=61.0) == []
    links.record_message(FIRST, now=61.0)
    removed = [links.remove_silent_links(now=61.0 + second) for second in range(1, 25)]

    assert [FIRST] in removed
    assert removed.index([FIRST]) == 20
