"""Counts executed requests, so that tests can check at-most-once execution."""

from __future__ import annotations

import re
from collections import Counter
from threading import Lock
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping

_ATTEMPT_SUFFIX = re.compile(r"-\d+(\.\d+)?$")


class RunCounters:
    """Runs by the agent's attempt id, by request id and by idempotency key."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._by_attempt: Counter[str] = Counter()
        self._by_request_id: Counter[str] = Counter()
        self._by_idempotency_key: Counter[str] = Counter()

    def record_run(self, headers: Mapping[str, str]) -> None:
        by_name = {name.lower(): value for name, value in headers.items()}
        attempt = by_name.get("x-request-id", "")
        key = by_name.get("idempotency-key", "")
        with self._lock:
            self._by_attempt[attempt] += 1
            self._by_request_id[_ATTEMPT_SUFFIX.sub("", attempt)] += 1
            if key:
                self._by_idempotency_key[key] += 1

    def get_counts(self) -> dict[str, dict[str, int]]:
        with self._lock:
            return {
                "by_attempt": dict(self._by_attempt),
                "by_request_id": dict(self._by_request_id),
                "by_idempotency_key": dict(self._by_idempotency_key),
            }
