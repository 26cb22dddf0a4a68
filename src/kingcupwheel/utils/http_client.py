"""HTTP client for calls whose responses are read as a whole."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import urllib3
from urllib3.util import parse_url

from kingcupwheel.utils.http_responses import CheckedHttpConnection
from kingcupwheel.utils.http_responses import CheckedHttpsConnection
from kingcupwheel.utils.response_limits import BodyLimitError
from kingcupwheel.utils.response_limits import find_exceeded_limit


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from urllib3 import BaseHTTPResponse
    from urllib3 import HTTPHeaderDict

    from kingcupwheel.utils.response_limits import ResponseLimit

_READ_BYTES = 65_536


class _HttpPool(urllib3.HTTPConnectionPool):
    ConnectionCls = CheckedHttpConnection


class _HttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = CheckedHttpsConnection


_POOL_CLASS_BY_SCHEME = {"http": _HttpPool, "https": _HttpsPool}


class HttpReply(NamedTuple):
    """A complete response."""

    status: int
    reason: str
    headers: HTTPHeaderDict
    data: bytes


class HttpClient:
    """Sends calls to one host and reads their whole responses; thread-safe.

    A body may have ``max_body_bytes``. The timeout of a call is for its whole response;
    a long one has up to ``transfer_s`` more, while its bytes come fast. ``on_limit`` is
    called with each limit that a response has exceeded. ``options`` are those of
    ``urllib3.HTTPConnectionPool``. Raises LocationValueError for a URL of another
    scheme than HTTP or HTTPS, or without a host.
    """

    def __init__(
        self,
        url: str,
        *,
        max_body_bytes: int,
        transfer_s: float = 0.0,
        on_limit: Callable[[ResponseLimit], None] = lambda _: None,
        **options: Any,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._on_limit = on_limit
        self._open_pool = partial(
            open_connection_pool, url, transfer_s=transfer_s, **options
        )
        self._pool = self._open_pool()

    def replace_idle(self) -> None:
        """Let the next calls use new connections.

        Failure: a device between two machines loses track of their connections.
        Symptom: all that are open stay silent for good, and after the time-out of one
        the next call waits for an answer on another of them.
        """
        # The former pool closes its connections once no call uses it.
        self._pool = self._open_pool()

    def call(
        self,
        method: str,
        path: str,
        *,
        timeout: urllib3.Timeout,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpReply:
        """Return the response; raises ``urllib3.exceptions.HTTPError``."""
        try:
            response = self._pool.request(
                method,
                path,
                body=body,
                headers=headers,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
            data = _read_to_end(response, self._max_body_bytes)
        except urllib3.exceptions.HTTPError as error:
            limit = find_exceeded_limit(error)
            if limit is not None:
                self._on_limit(limit)
            raise
        reason = response.reason or ""
        return HttpReply(response.status, reason, response.headers, data)


def open_connection_pool(url: str, **options: Any) -> urllib3.HTTPConnectionPool:
    """Return a pool of checked connections to the host of ``url``.

    ``options`` are those of the pool and of its connections. Raises LocationValueError
    for a URL of another scheme or without a host.
    """
    parsed = parse_url(url)
    pool_class = _POOL_CLASS_BY_SCHEME.get(parsed.scheme or "")
    if pool_class is None or not parsed.host:
        raise urllib3.exceptions.LocationValueError(f"{url!r} is no HTTP URL")
    pool: urllib3.HTTPConnectionPool = pool_class(
        parsed.host, port=parsed.port, **options
    )
    return pool


def _read_to_end(response: BaseHTTPResponse, max_bytes: int) -> bytes:
    """Return the body and release the connection, closed unless it can be reused."""
    body = bytearray()
    is_complete = False
    try:
        while data := response.read1(_READ_BYTES, decode_content=False):
            body += data
            if len(body) > max_bytes:
                raise BodyLimitError(f"over {max_bytes} bytes of a body")
        is_complete = True
    finally:
        if not is_complete:
            response.close()
        response.release_conn()
    return bytes(body)
