from __future__ import annotations

from kingcupwheel.expertmaps.lease import Lease
from kingcupwheel.expertmaps.lease import get_lease_fence
from kingcupwheel.expertmaps.lease import lease_key
from tests.expertmaps.builders import FakePlatform
from tests.expertmaps.builders import FakePlatformClient


TTL_S = 4.0


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def build_lease(
    platform: FakePlatform, holder: str
) -> tuple[Lease, FakePlatformClient, Clock]:
    client, clock = FakePlatformClient(platform), Clock()
    return (
        Lease(client, group="g", holder=holder, ttl_s=TTL_S, clock=clock),
        client,
        clock,
    )


def test_a_lease_has_one_holder_and_keeps_its_fence_through_renewals() -> None:
    platform = FakePlatform()
    first, _, clock = build_lease(platform, "a")
    second, _, _ = build_lease(platform, "b")

    first.try_acquire()
    second.try_acquire()
    acquired = first.get_held_lease(clock.now)
    clock.now += 1
    first.renew()
    renewed = first.get_held_lease(clock.now)

    assert acquired is not None
    assert renewed is not None
    assert second.get_held_lease(100.0) is None
    assert renewed.fence == acquired.fence
    assert renewed.version > acquired.version
    assert get_lease_fence(platform.object_by_key[lease_key("g")]) == acquired.fence


def test_a_holder_that_was_paused_knows_that_its_lease_may_have_lapsed() -> None:
    """Guards against two coordinators that send orders to the ranks.

    The holder is paused until its lease has expired. A watcher that has seen no renewal
    for that long by its own clock acquires the lease under a higher fence. When the
    holder resumes, its own clock shows that the lease has expired, and its renewal
    fails.
    """
    platform = FakePlatform()
    paused, _, paused_clock = build_lease(platform, "a")
    watcher, _, watcher_clock = build_lease(platform, "b")
    paused.try_acquire()
    old = paused.get_held_lease(paused_clock.now)
    watcher.try_acquire()

    watcher_clock.now += TTL_S
    watcher.try_acquire()
    assert watcher.get_held_lease(watcher_clock.now) is None
    watcher_clock.now += TTL_S * 0.2
    watcher.try_acquire()
    new = watcher.get_held_lease(watcher_clock.now)
    paused_clock.now += TTL_S * 1.2

    assert old is not None
    assert new is not None
    assert new.fence > old.fence
    assert paused.get_held_lease(paused_clock.now) is None
    paused.renew()
    assert paused.get_held_lease(paused_clock.now) is None


def test_a_write_whose_confirmation_was_lost_is_settled_by_its_nonce() -> None:
    """Guards against a group that waits for a lease whose holder does not know of it.

    The writes that acquire and renew the lease take effect, but their answers are lost.
    During one renewal the platform is down, so that reading the lease back fails too.
    """
    platform = FakePlatform()
    holder, client, clock = build_lease(platform, "a")
    client.answers_to_lose = 1
    holder.try_acquire()
    acquired = holder.get_held_lease(clock.now)
    assert acquired is not None

    clock.now += 1
    client.answers_to_lose = 1
    holder.renew()
    clock.now += 1
    client.is_down = True
    holder.renew()
    client.is_down = False
    holder.renew()
    clock.now += TTL_S * 0.9

    renewed = holder.get_held_lease(clock.now)
    assert renewed is not None
    assert renewed.fence == acquired.fence


def test_a_released_lease_is_acquired_at_once_under_a_higher_fence() -> None:
    platform = FakePlatform()
    first, _, clock = build_lease(platform, "a")
    second, _, _ = build_lease(platform, "b")
    first.try_acquire()
    old = first.get_held_lease(clock.now)

    first.release()
    second.try_acquire()

    new = second.get_held_lease(clock.now)
    assert old is not None
    assert new is not None
    assert new.fence > old.fence
