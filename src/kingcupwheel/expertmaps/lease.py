"""The lease of a group's coordinator, an object on the platform.

The lease's fence is the object's version at the time it was taken. Times are each
process's own monotonic clock; clocks of two machines are never compared. Two holders at
once do no harm, since ranks settle every change by its version: the lease only keeps
coordinators from getting in each other's way.
"""

from __future__ import annotations

import logging
import secrets
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.utils.structs import Record


if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.platform.client import VersionedValue
    from kingcupwheel.platform.errors import PlatformError

logger = logging.getLogger("kingcupwheel.expertmaps")

# How much longer a watcher waits than the holder counts on, for clocks that run apart.
_CLOCK_DRIFT_FACTOR = 1.1
_NONCE_BYTES = 8


class LeaseRecord(Record, frozen=True):
    """The lease's value.

    ``fence`` is 0 until the first renewal, then the version at which the lease was
    taken. ``holder`` is empty once it was given back.
    """

    holder: str
    nonce: str
    fence: int


class HeldLease(NamedTuple):
    """A lease held under ``fence``; ``until`` by the holder's monotonic clock."""

    fence: int
    version: int
    valid_until: float


class _WriteAttempt(NamedTuple):
    nonce: str
    started_at: float
    fence: int


class _ObservedVersion(NamedTuple):
    version: int
    first_seen_at: float


def lease_key(group: str) -> str:
    """Return the key of a group's lease."""
    return f"leases/{group}"


def get_lease_fence(found: VersionedValue | None) -> int:
    """Return the fence of the lease as read from the platform, 0 without a lease."""
    if found is None:
        return 0
    return _decode_record(found).fence or found.version


class Lease:
    """Takes, renews and gives back a group's lease; used by one thread.

    Calls block for as long as the platform's client does. ``held_until`` may be read by
    other threads.
    """

    def __init__(
        self,
        platform: PlatformClient,
        *,
        group: str,
        holder: str,
        ttl_s: float,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._platform = platform
        self._key = lease_key(group)
        self._holder = holder
        self._ttl_s = ttl_s
        self._clock = clock
        self._held_lease: HeldLease | None = None
        self._observed: _ObservedVersion | None = None
        self._attempts: list[_WriteAttempt] = []

    def get_held_lease(self, now: float) -> HeldLease | None:
        """Return the lease if it is surely held at ``now``.

        Failure: the holder is paused for longer than the lease runs and goes on as if
        nothing had happened. Symptom: two coordinators give orders. Enough, because the
        time is counted from before the write that renewed it, while a watcher counts
        from when it saw that write, and the fence stops what slips through.
        """
        holding = self._held_lease
        return holding if holding is not None and now < holding.valid_until else None

    def renew(self) -> None:
        """Extend the lease if it is held."""
        holding = self.get_held_lease(self._clock())
        if holding is None:
            self._held_lease = None
            return
        self._write_record(holding.version, fence=holding.fence)

    def try_acquire(self) -> int | None:
        """Read the lease and take it if it has lapsed; return its fence if readable."""
        result = self._platform.read(self._key)
        if result.is_error():
            return None
        found = result.ok
        now = self._clock()
        version = found.version if found is not None else 0
        if self._adopt_own_write(found):
            return get_lease_fence(found)
        if self._observed is None or self._observed.version != version:
            self._observed = _ObservedVersion(version, now)
        lapsed = now - self._observed.first_seen_at >= self._ttl_s * _CLOCK_DRIFT_FACTOR
        if found is None or not _decode_record(found).holder or lapsed:
            self._write_record(version, fence=0)
        return get_lease_fence(found)

    def release(self) -> None:
        """Give the lease back, so that another process need not wait for it to lapse.

        The fence stays on record; the next holder's is higher, being a later version.
        """
        holding = self._held_lease
        self._held_lease = None
        self._attempts.clear()
        if holding is not None:
            record = LeaseRecord(holder="", nonce="", fence=holding.fence)
            value = msgspec.json.encode(record)
            self._platform.update(self._key, value, version=holding.version)

    def _write_record(self, version: int, *, fence: int) -> None:
        attempt = _WriteAttempt(secrets.token_hex(_NONCE_BYTES), self._clock(), fence)
        self._attempts = [*self._recent_attempts(), attempt]
        record = LeaseRecord(holder=self._holder, nonce=attempt.nonce, fence=fence)
        result = self._write_value(msgspec.json.encode(record), version)
        if result.is_ok():
            self._record_held_lease(attempt, result.ok)
            return
        match result.error:
            case Unavailable(sent=True) | Conflict():
                self._read_back()

    def _write_value(self, value: bytes, version: int) -> Result[int, PlatformError]:
        if version:
            return self._platform.update(self._key, value, version=version)
        return self._platform.create(self._key, value)

    def _read_back(self) -> None:
        """Settle a write whose confirmation may be lost, by the nonce it carries."""
        result = self._platform.read(self._key)
        if result.is_ok() and not self._adopt_own_write(result.ok):
            if self._held_lease is not None:
                logger.warning("Lease %s passed to another process.", self._key)
            self._held_lease = None

    def _adopt_own_write(self, found: VersionedValue | None) -> bool:
        if found is None:
            return False
        nonce = _decode_record(found).nonce
        for attempt in self._recent_attempts():
            if attempt.nonce == nonce:
                self._record_held_lease(attempt, found.version)
                return True
        return False

    def _recent_attempts(self) -> list[_WriteAttempt]:
        """Return the writes that, if they took effect, still give the lease."""
        since = self._clock() - self._ttl_s
        return [attempt for attempt in self._attempts if attempt.started_at > since]

    def _record_held_lease(self, attempt: _WriteAttempt, version: int) -> None:
        until = attempt.started_at + self._ttl_s
        self._held_lease = HeldLease(attempt.fence or version, version, until)


def _decode_record(found: VersionedValue) -> LeaseRecord:
    try:
        return msgspec.json.decode(found.value, type=LeaseRecord)
    except (msgspec.DecodeError, msgspec.ValidationError):
        # A value that nobody here wrote: treated as held, so it has to lapse.
        return LeaseRecord(holder="?", nonce="", fence=0)
