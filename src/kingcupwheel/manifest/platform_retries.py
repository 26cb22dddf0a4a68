"""Retries of calls to the platform within a time limit."""

from __future__ import annotations

from time import monotonic
from time import sleep
from typing import TYPE_CHECKING
from typing import TypeVar

from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import PlatformError
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable


if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

T = TypeVar("T")

_RETRY_DELAY_S = 0.25


class PlatformRetrier:
    """Retries calls until ``timeout_s`` from its creation."""

    def __init__(self, timeout_s: float) -> None:
        self._deadline = monotonic() + timeout_s

    def call_with_retries(
        self, call: Callable[[], Result[T, PlatformError]]
    ) -> Result[T, PlatformError]:
        """Repeat an idempotent call until it gets a definite result or times out."""
        while True:
            result = call()
            if result.is_ok() or isinstance(result.error, Conflict | Rejected):
                return result
            if not self.wait_before_retry(result.error):
                return result

    def wait_before_retry(self, error: PlatformError) -> bool:
        """Wait for the delay of ``error``; return False at once if it is too long."""
        delay_s = (
            error.retry_after_s if isinstance(error, RateLimited) else _RETRY_DELAY_S
        )
        if monotonic() + delay_s >= self._deadline:
            return False
        sleep(delay_s)
        return True


def describe_platform_error(error: PlatformError) -> str:
    """Return a short description of ``error`` for an operator."""
    match error:
        case Unavailable(detail, _):
            return f"no response ({detail})"
        case Conflict(key, version):
            return f"{key} is at version {version}"
        case RateLimited(retry_after_s):
            return f"rate limit exceeded, retry after {retry_after_s:g} s"
        case Rejected(status, detail):
            return f"rejected with status {status} {detail}".rstrip()
