"""Going on with calls to the platform for a bounded time."""

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
    """The ``seconds`` from now on in which calls are repeated."""

    def __init__(self, timeout_s: float) -> None:
        self._deadline = monotonic() + timeout_s

    def call_with_retries(
        self, call: Callable[[], Result[T, PlatformError]]
    ) -> Result[T, PlatformError]:
        """Repeat an idempotent call until it is answered or time runs out."""
        while True:
            result = call()
            if result.is_ok() or isinstance(result.error, Conflict | Rejected):
                return result
            if not self.wait_before_retry(result.error):
                return result

    def wait_before_retry(self, error: PlatformError) -> bool:
        """Wait as ``error`` asks; False at once if time would run out."""
        wait_s = (
            error.retry_after_s if isinstance(error, RateLimited) else _RETRY_DELAY_S
        )
        if monotonic() + wait_s >= self._deadline:
            return False
        sleep(wait_s)
        return True


def describe_platform_error(error: PlatformError) -> str:
    """Return ``error`` in a few words for an operator."""
    match error:
        case Unavailable(detail, _):
            return f"no answer ({detail})"
        case Conflict(key, version):
            return f"{key} is at version {version}"
        case RateLimited(retry_after_s):
            return f"too many calls, again in {retry_after_s:g} s"
        case Rejected(status, detail):
            return f"refused with status {status} {detail}".rstrip()
