"""Single calls to the users' object store, and what their statuses mean."""

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


if TYPE_CHECKING:
    from collections.abc import Callable

    from urllib3 import BaseHTTPResponse

T = TypeVar("T")

# How long to stay away from a store that refuses by its rates, in seconds.
_RETRY_AFTER_S = 0.5


class StoreHttpClient:
    """Calls block for at most their timeout; safe from any thread.

    ``connect_s`` is the longest time to connect, in seconds.
    """

    def __init__(self, url: str, *, connect_timeout_s: float) -> None:
        self._pool = urllib3.connection_from_url(url, maxsize=4)
        self._connect_timeout_s = connect_timeout_s

    def call(
        self, method: str, path: str, timeout_s: float, body: bytes | None = None
    ) -> Result[BaseHTTPResponse, PlatformError]:
        """Return the answer, of any status but 429 and those from 500 on.

        The answer may take ``timeout_s`` once the store is connected.
        """
        writes = method != "GET"
        try:
            response = self._pool.request(
                method,
                path,
                body=body,
                headers={"Content-Type": "application/json"} if body else None,
                timeout=urllib3.Timeout(
                    connect=self._connect_timeout_s, read=timeout_s
                ),
                retries=False,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            detail = f"{type(error).__name__}: {error}"
            silent = isinstance(error, urllib3.exceptions.TimeoutError)
            return Error(Unavailable(detail, writes, silent))
        if response.status == 429:
            return Error(RateLimited(_RETRY_AFTER_S))
        if response.status >= 500:
            # The store says of 503, and of no other status, that nothing was done.
            in_doubt = writes and response.status != 503
            return Error(Unavailable(f"status {response.status}", sent=in_doubt))
        return Ok(response)


def decode_response(
    response: BaseHTTPResponse, decode: Callable[[bytes], Result[T, str]]
) -> Result[T, PlatformError]:
    """Return the decoded body; ``Rejected`` for another status or another shape."""
    if response.status not in (200, 201):
        return Error(Rejected(response.status, response.reason or ""))
    found = decode(response.data)
    return found.map_error(lambda why: Rejected(response.status, why))
