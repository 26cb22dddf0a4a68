from __future__ import annotations

from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok

from kingcupwheel.platform.client import MAX_VALUE_BYTES
from kingcupwheel.platform.client import Instance
from kingcupwheel.platform.client import VersionedValue
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.platform.http import HttpPlatformClient
from kingcupwheel.settings.schema import PlatformSettings


if TYPE_CHECKING:
    from expression import Result

    from kingcupwheel.platform.errors import PlatformError
    from tests.standins.platform import PlatformStandIn


def _may_have_taken_effect(result: Result[Any, PlatformError]) -> bool:
    assert isinstance(result.error, Unavailable)
    return result.error.sent


def test_writes_are_conditional_on_the_version(client: HttpPlatformClient) -> None:
    first = client.create("claims/a b", b"1").ok

    assert client.create("claims/a b", b"2") == Error(Conflict("claims/a b", first))
    second = client.update("claims/a b", b"3", version=first).ok
    assert client.update("claims/a b", b"4", version=first) == Error(
        Conflict("claims/a b", second)
    )
    assert client.read("claims/a b") == Ok(VersionedValue("claims/a b", second, b"3"))
    assert client.keys("claims/") == Ok(("claims/a b",))
    assert client.delete("claims/a b", version=first).error == Conflict(
        "claims/a b", second
    )
    assert client.delete("claims/a b", version=second) == Ok(None)
    assert client.read("claims/a b") == Ok(None)
    assert client.update("claims/a b", b"5", version=second).error == Conflict(
        "claims/a b", 0
    )
    assert client.create("claims/a b", b"6").ok > second


def test_permanent_and_temporary_refusals_are_distinguished(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    assert isinstance(client.create("k", b"x" * (MAX_VALUE_BYTES + 1)).error, Rejected)
    platform.state.set_switches(writes_per_s=1)

    assert client.create("k", b"1").error == RateLimited(1.0)
    assert client.read("k") == Ok(None)


def test_a_write_without_a_response_may_have_taken_effect(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    """The platform applies a write, then closes the connection without a response.

    The error must say that the write may have taken effect, and reading back shows that
    it has. An unreachable platform and a failed read leave no such doubt.
    """
    platform.state.set_switches(lose_answers=1)

    assert _may_have_taken_effect(client.create("k", b"mine"))

    found = client.read("k").ok
    assert found is not None
    assert found.value == b"mine"
    unreachable = HttpPlatformClient(PlatformSettings(url="http://127.0.0.1:9"))
    assert not _may_have_taken_effect(unreachable.create("k", b"1"))
    platform.state.set_switches(outage="down")
    assert not _may_have_taken_effect(client.read("k"))
    assert _may_have_taken_effect(client.update("k", b"2", version=1))


def test_calls_to_a_hanging_platform_end_within_the_timeout(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    """The platform accepts connections but never responds; 24 calls share two.

    Each call ends at its own timeout, including the wait for a connection. If calls
    waited in turn, 12 calls of 0.5 s each would exceed the bound of this test.
    """
    platform.state.set_switches(outage="hang")
    errors: list[PlatformError] = []

    def call() -> None:
        errors.append(client.read("k").error)

    threads = [Thread(target=call, daemon=True) for _ in range(24)]
    for thread in threads:
        thread.start()
    deadline = monotonic() + 4.0
    for thread in threads:
        thread.join(max(0.0, deadline - monotonic()))

    assert len(errors) == 24
    assert all(isinstance(error, Unavailable) for error in errors)


def test_waiting_watches_leave_the_calls_connections_free(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    """Three watches wait while the client has two connections for calls.

    Calls still succeed, and a write makes every watch return the new value.
    """
    seen: list[VersionedValue | None] = []

    def watch() -> None:
        seen.append(client.watch("k", after=0, timeout_s=10.0).ok)

    threads = [Thread(target=watch) for _ in range(3)]
    for thread in threads:
        thread.start()
    with platform.state.changed:
        platform.state.changed.wait_for(
            lambda: platform.state.call_counts["watch"] == 3, timeout=5.0
        )

    version = client.create("k", b"new").ok
    for thread in threads:
        thread.join(10.0)

    assert seen == [VersionedValue("k", version, b"new")] * 3
    assert client.watch("k", after=version, timeout_s=0.05) == Ok(None)


def test_a_lagging_list_of_instances_is_returned_as_it_is(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    entry = Instance("e1", "entry", "", "Heredia", "127.0.0.1:1", "127.0.0.1:2", False)
    platform.state.set_instance("e1", entry._asdict())
    assert client.instances() == Ok((entry,))

    platform.state.set_switches(lag_s=60.0)
    platform.state.set_instance("e1", None)

    assert client.instances() == Ok((entry,))
    platform.state.set_instance("e2", {"name": "e2"})
    platform.state.set_switches(lag_s=0.0)
    platform.state.set_instance("e3", {"name": "e3"})
    assert isinstance(client.instances().error, Rejected)
