"""A mapping whose entries expire after a fixed time."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Hashable

K = TypeVar("K", bound="Hashable")
V = TypeVar("V")


class ExpiringMap(Generic[K, V]):
    """Mapping that keeps each entry for ``ttl_s`` seconds after it was last set."""

    def __init__(self, *, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._by_key: OrderedDict[K, tuple[float, V]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_key)

    def put(self, key: K, value: V, *, now: float) -> None:
        """Set the entry and restart its time to live."""
        self._by_key[key] = (now, value)
        self._by_key.move_to_end(key)

    def get(self, key: K) -> V | None:
        """Return the value, or None."""
        entry = self._by_key.get(key)
        return None if entry is None else entry[1]

    def pop(self, key: K) -> V | None:
        """Remove the entry and return its value, or None."""
        entry = self._by_key.pop(key, None)
        return None if entry is None else entry[1]

    def expire(self, *, now: float) -> list[tuple[K, V]]:
        """Remove and return expired entries, in time linear in their number."""
        expired = []
        while self._by_key:
            key, (put_at, value) = next(iter(self._by_key.items()))
            if now - put_at <= self._ttl_s:
                break
            del self._by_key[key]
            expired.append((key, value))
        return expired
