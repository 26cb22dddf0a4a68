from __future__ import annotations

from kingcupwheel.manifest.version_hints import PeerHint
from kingcupwheel.manifest.version_hints import PlatformHint
from kingcupwheel.manifest.version_hints import VersionHints


def test_peers_with_later_versions_come_first() -> None:
    hints = VersionHints()
    hints.record(5, peer=None, now=0.0)
    hints.record(6, peer="b", now=0.0)
    hints.record(5, peer="a", now=0.0)

    assert hints.pop_next(4, now=9.0) == PeerHint("b", 6)
    assert hints.pop_next(5, now=9.0) == PlatformHint(6)
    assert hints.pop_next(6, now=99.0) is None
    assert not hints.is_behind


def test_heartbeats_cause_at_most_one_platform_read_per_second() -> None:
    """24 agents report a change ten times a second for 60 seconds of an outage.

    After a delay for the watch, the process reads the platform once a second, not for
    each heartbeat, so that it adds little to the load of the platform.
    """
    hints = VersionHints()
    reads = []
    for tick in range(600):
        now = tick / 10
        for _ in range(24):
            hints.record(2, peer=None, now=now)
        if hints.pop_next(1, now=now) is not None:
            reads.append(now)

    assert reads[0] >= 2.0
    assert 50 <= len(reads) <= 60
