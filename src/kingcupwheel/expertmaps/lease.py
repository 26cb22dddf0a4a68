"""Lease of a group's coordinator, stored as an object on the platform.

The fence (fencing token) is the object's version at the time the lease was acquired.
Each process uses its own monotonic clock; clocks of two machines are never compared.
Two holders at once are safe, because ranks order all changes by version. The lease only
keeps coordinators from interrupting each other's changes.
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
from kingcupwheel.utils.structs import StrictStruct


if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.platform.client import VersionedValue
    from kingcupwheel.platform.errors import PlatformError

logger = logging.getLogger("kingcupwheel.expertmaps")

# A watcher waits longer than the TTL by this factor, to allow for clock drift.
_CLOCK_DRIFT_FACTOR = 1.1
_NONCE_BYTES = 8


class LeaseRecord(StrictStruct, frozen=True):
    """Stored value of the lease.

    ``fence`` is 0 until the first renewal, then the version at which the lease was
    acquired. ``holder`` is empty after a release.
    """

    holder: str
    nonce: str
    fence: int


class HeldLease(NamedTuple):
    """Lease held under ``fence``; ``valid_until`` is the holder's monotonic time."""

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
    """Return the platform key of a group's lease."""
    return f"leases/{group}"


def get_lease_fence(found: VersionedValue | None) -> int:
    """Return the fence of the lease read from the platform, 0 if there is none."""
    if found is None:
        return 0
    return _decode_record(found).fence or found.version


class Lease:
    """Acquires, renews and releases a group's lease; used by one thread.

    Calls block for as long as the platform client does. Other threads may call
    ``get_held_lease``.
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
        """Return the lease if it is certainly held at ``now``.

        Guards against a holder that is paused for longer than the lease lasts and then
        continues, which would let two coordinators send orders. The holder counts the
        TTL from before the write that renewed the lease, while a watcher counts from
        when it saw that write, so the holder stops first; ranks refuse any remaining
        order by its fence.
        """
        held_lease = self._held_lease
        return (
            held_lease
            if held_lease is not None and now < held_lease.valid_until
            else None
        )

    def renew(self) -> None:
        """Renew the lease if it is held."""
        held_lease = self.get_held_lease(self._clock())
        if held_lease is None:
            self._held_lease = None
            return
        self._write_record(held_lease.version, fence=held_lease.fence)

    def try_acquire(self) -> int | None:
        """Acquire the lease if it has expired.

        Returns the fence that was read, or None if the lease could not be read.
        """
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
        has_expired = (
            now - self._observed.first_seen_at >= self._ttl_s * _CLOCK_DRIFT_FACTOR
        )
        if found is None or not _decode_record(found).holder or has_expired:
            self._write_record(version, fence=0)
        return get_lease_fence(found)

    def release(self) -> None:
        """Release the lease, so that another process need not wait until it expires.

        The fence remains stored. The next holder's fence is a later version of the
        object and therefore higher.
        """
        held_lease = self._held_lease
        self._held_lease = None
        self._attempts.clear()
        if held_lease is not None:
            record = LeaseRecord(holder="", nonce="", fence=held_lease.fence)
            value = msgspec.json.encode(record)
            self._platform.update(self._key, value, version=held_lease.version)

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
        """Find out by its nonce whether a write of unknown outcome took effect."""
        result = self._platform.read(self._key)
        if result.is_ok() and not self._adopt_own_write(result.ok):
            if self._held_lease is not None:
                logger.warning("Lease %s is held by another process.", self._key)
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
        """Return the writes that hold the lease if they took effect."""
        since = self._clock() - self._ttl_s
        return [attempt for attempt in self._attempts if attempt.started_at > since]

    def _record_held_lease(self, attempt: _WriteAttempt, version: int) -> None:
        valid_until = attempt.started_at + self._ttl_s
        self._held_lease = HeldLease(attempt.fence or version, version, valid_until)


def _decode_record(found: VersionedValue) -> LeaseRecord:
    try:
        return msgspec.json.decode(found.value, type=LeaseRecord)
    except (msgspec.DecodeError, msgspec.ValidationError):
        # An unreadable value counts as held by another process and has to expire.
        return LeaseRecord(holder="?", nonce="", fence=0)
