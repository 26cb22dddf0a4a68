"""State of the platform stand-in: objects, instance list, switches and counters."""

from __future__ import annotations

from collections import Counter
from collections import deque
from threading import Condition
from time import monotonic
from typing import NamedTuple

import msgspec


MAX_VALUE_BYTES = 1_000_000
_RATE_WINDOW_S = 1.0


class Switches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that a test turns on; all off by default.

    ``outage`` is ``off``, ``down`` (answers 503) or ``hang`` (accepts requests and does
    not answer). The next ``lose_answers`` writes take effect without an answer;
    ``slow_answer_s`` delays the answers of writes that have taken effect. Reads are
    ``stale`` versions behind, the instance list is ``lag_s`` behind. Rates of 0 mean no
    limit.
    """

    outage: str = "off"
    slow_s: float = 0.0
    slow_answer_s: float = 0.0
    lose_answers: int = 0
    stale: int = 0
    lag_s: float = 0.0
    reads_per_s: int = 0
    writes_per_s: int = 0


class ObjectVersion(NamedTuple):
    """One version of an object; ``value`` is None once deleted."""

    version: int
    value: bytes | None


class WriteResult(NamedTuple):
    """Result of a write; ``version`` is the object's version after it."""

    is_written: bool
    version: int


_ABSENT = ObjectVersion(0, None)


class PlatformState:
    """State of the stand-in; thread-safe, watches wait on ``changed``."""

    def __init__(self) -> None:
        self.changed = Condition()
        self.switches = Switches()
        self.call_counts: Counter[str] = Counter()
        self._revision = 0
        self._history_by_key: dict[str, list[ObjectVersion]] = {}
        self._times_by_kind: dict[str, deque[float]] = {}
        self._instances_by_name: dict[str, dict[str, object]] = {}
        self._pending_changes: list[tuple[float, str, dict[str, object] | None]] = []

    def set_switches(self, **changes: object) -> None:
        """Change some switches and wake all waiting threads."""
        with self.changed:
            self.switches = msgspec.structs.replace(self.switches, **changes)
            self.changed.notify_all()

    def admit_call(self, kind: str) -> bool:
        """Count a call; return False if it exceeds the rate limit."""
        limit_name = (
            "reads_per_s" if kind in ("read", "watch", "list") else "writes_per_s"
        )
        with self.changed:
            self.call_counts[kind] += 1
            limit = getattr(self.switches, limit_name)
            times = self._times_by_kind.setdefault(limit_name, deque())
            now = monotonic()
            while times and times[0] <= now - _RATE_WINDOW_S:
                times.popleft()
            if limit and len(times) >= limit:
                self.call_counts["refused"] += 1
                return False
            times.append(now)
            return True

    def read(self, key: str) -> ObjectVersion:
        """Return the object as reads see it; see ``Switches.stale``."""
        with self.changed:
            history = self._history_by_key.get(key, [])
            visible = len(history) - self.switches.stale
            return history[visible - 1] if visible > 0 else _ABSENT

    def write(self, key: str, value: bytes | None, *, version: int) -> WriteResult:
        """Write, or delete if None, when the object is at ``version``, 0 if absent."""
        with self.changed:
            history = self._history_by_key.setdefault(key, [_ABSENT])
            latest = history[-1]
            current = 0 if latest.value is None else latest.version
            if current != version:
                return WriteResult(False, current)
            self._revision += 1
            history.append(ObjectVersion(self._revision, value))
            self.changed.notify_all()
            return WriteResult(True, self._revision)

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that exist under ``prefix``, sorted."""
        with self.changed:
            return sorted(
                key
                for key, history in self._history_by_key.items()
                if key.startswith(prefix) and history[-1].value is not None
            )

    def wait_for_newer(self, key: str, after: int, timeout_s: float) -> ObjectVersion:
        """Wait for a version above ``after``, an outage, or the timeout.

        The returned version may still be ``after`` or lower.
        """
        with self.changed:
            self.changed.wait_for(
                lambda: self.read(key).version > after or self.switches.outage != "off",
                timeout_s,
            )
            return self.read(key)

    def consume_lost_answer(self) -> bool:
        """Return whether the answer of this write is lost, and count it."""
        with self.changed:
            remaining = self.switches.lose_answers
            if remaining > 0:
                self.set_switches(lose_answers=remaining - 1)
            return remaining > 0

    def set_instance(self, name: str, instance: dict[str, object] | None) -> None:
        """List an instance, or remove it if None; visible after ``lag_s``."""
        with self.changed:
            visible_at = monotonic() + self.switches.lag_s
            self._pending_changes.append((visible_at, name, instance))

    def list_instances(self) -> list[dict[str, object]]:
        """Return the instance list, which lags behind the changes."""
        with self.changed:
            now = monotonic()
            for _, name, instance in [
                due for due in self._pending_changes if due[0] <= now
            ]:
                self._instances_by_name.pop(name, None)
                if instance is not None:
                    self._instances_by_name[name] = instance
            self._pending_changes = [
                due for due in self._pending_changes if due[0] > now
            ]
            return list(self._instances_by_name.values())
