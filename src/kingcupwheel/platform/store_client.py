"""HTTP calls to the users' object store, and the mapping of statuses to errors."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import urllib3
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.platform.errors import PlatformError
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.utils.http_client import HttpClient
from kingcupwheel.utils.response_limits import find_exceeded_limit


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.utils.http_client import HttpReply
    from kingcupwheel.utils.response_limits import ResponseLimit

T = TypeVar("T")

# Backoff after a call that exceeded the store's rate limits.
_RETRY_AFTER_S = 0.5
# Several times the largest page of a list; a watch may return more than a page.
_MAX_RESPONSE_BYTES = 8_000_000
# Added to a call's timeout while a long body comes: the largest page takes a third of
# it on a link of 4 Mbit/s.
_TRANSFER_TIMEOUT_S = 6.0


class StoreHttpClient:
    """HTTP client of the store; calls block for at most their timeout; thread-safe.

    ``connect_timeout_s`` limits the time to connect. ``on_limit`` is called with each
    limit that a response has exceeded.
    """

    def __init__(
        self,
        url: str,
        *,
        connect_timeout_s: float,
        on_limit: Callable[[ResponseLimit], None] = lambda _: None,
    ) -> None:
        self._http = HttpClient(
            url,
            max_body_bytes=_MAX_RESPONSE_BYTES,
            transfer_s=_TRANSFER_TIMEOUT_S,
            on_limit=on_limit,
            maxsize=4,
        )
        self._connect_timeout_s = connect_timeout_s

    def call(
        self, method: str, path: str, timeout_s: float, body: bytes | None = None
    ) -> Result[HttpReply, PlatformError]:
        """Return the response, unless its status is 429 or from 500 on.

        ``timeout_s`` limits the wait for the response once the store is connected.
        """
        is_write = method != "GET"
        try:
            response = self._http.call(
                method,
                path,
                body=body,
                headers={"Content-Type": "application/json"} if body else None,
                timeout=urllib3.Timeout(
                    connect=self._connect_timeout_s, read=timeout_s
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            detail = f"{type(error).__name__}: {error}"
            limit = find_exceeded_limit(error)
            if limit is not None:
                detail = f"over the limit {limit.value}: {detail}"
            timed_out = isinstance(error, urllib3.exceptions.TimeoutError)
            if timed_out:
                self._http.replace_idle()
            return Error(Unavailable(detail, is_write, timed_out))
        if response.status == 429:
            return Error(RateLimited(_RETRY_AFTER_S))
        if response.status >= 500:
            # The store guarantees for 503 only that nothing was done.
            may_have_applied = is_write and response.status != 503
            return Error(
                Unavailable(f"status {response.status}", sent=may_have_applied)
            )
        return Ok(response)


def decode_response(
    response: HttpReply, decode: Callable[[bytes], Result[T, str]]
) -> Result[T, PlatformError]:
    """Return the decoded body; ``Rejected`` if status or body is not as expected."""
    if response.status not in (200, 201):
        return Error(Rejected(response.status, response.reason))
    decoded = decode(response.data)
    return decoded.map_error(lambda detail: Rejected(response.status, detail))
