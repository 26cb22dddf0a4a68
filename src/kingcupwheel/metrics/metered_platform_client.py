"""A platform client with metrics of its calls."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import TypeVar

from kingcupwheel.metrics.metric_names import CounterName
from kingcupwheel.metrics.metric_names import TimerName
from kingcupwheel.platform.errors import Conflict


if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from kingcupwheel.metrics.statsd_client import MetricsClient
    from kingcupwheel.platform.client import Instance
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.platform.client import VersionedValue
    from kingcupwheel.platform.errors import PlatformError

T = TypeVar("T")


class MeteredPlatformClient:
    """Counts and times the calls of another client; see ``PlatformClient``."""

    def __init__(self, client: PlatformClient, metrics: MetricsClient) -> None:
        self._client = client
        self._metrics = metrics

    def read(self, key: str) -> Result[VersionedValue | None, PlatformError]:
        """Return the object, or None if it does not exist."""
        return self._measure_call("read", lambda: self._client.read(key))

    def create(self, key: str, value: bytes) -> Result[int, PlatformError]:
        """Create the object if absent."""
        return self._measure_call("create", lambda: self._client.create(key, value))

    def update(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, PlatformError]:
        """Replace the object if it is at ``version``."""
        return self._measure_call(
            "update", lambda: self._client.update(key, value, version=version)
        )

    def delete(self, key: str, *, version: int) -> Result[None, PlatformError]:
        """Delete the object if it is at ``version``."""
        return self._measure_call(
            "delete", lambda: self._client.delete(key, version=version)
        )

    def keys(self, prefix: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the keys that start with ``prefix``, sorted."""
        return self._measure_call("keys", lambda: self._client.keys(prefix))

    def watch(
        self, key: str, *, after: int, timeout_s: float
    ) -> Result[VersionedValue | None, PlatformError]:
        """Wait until the object's version exceeds ``after``; not timed."""
        result = self._client.watch(key, after=after, timeout_s=timeout_s)
        self._count_call("watch", result)
        return result

    def instances(self) -> Result[tuple[Instance, ...], PlatformError]:
        """Return the platform's list of live and leaving instances, which may lag."""
        return self._measure_call("instances", self._client.instances)

    def _measure_call(
        self, operation: str, call: Callable[[], Result[T, PlatformError]]
    ) -> Result[T, PlatformError]:
        started_at = monotonic()
        result = call()
        self._metrics.record_duration(TimerName.PLATFORM_CALL, monotonic() - started_at)
        self._count_call(operation, result)
        return result

    def _count_call(self, operation: str, result: Result[T, PlatformError]) -> None:
        self._metrics.increment(CounterName.PLATFORM_CALLS, label=operation)
        # A conflict is a valid answer: another writer was first.
        if result.is_error() and not isinstance(result.error, Conflict):
            self._metrics.increment(CounterName.PLATFORM_ERRORS, label=operation)
