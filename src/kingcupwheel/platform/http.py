"""HTTP client of the platform's object API.

Versions are ETags. Writes are conditional on ``If-Match`` or, for the first one, on
``If-None-Match: *``; watches are long polls. All assumptions about the platform's
protocol are in this module.
"""

from __future__ import annotations

from contextlib import contextmanager
from threading import BoundedSemaphore
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar
from urllib.parse import quote
from urllib.parse import urlencode
from urllib.parse import urlsplit

import msgspec
import urllib3
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.platform.client import Instance
from kingcupwheel.platform.client import VersionedValue
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import PlatformError
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.plugins.registries import platform_clients
from kingcupwheel.utils.http_client import HttpClient
from kingcupwheel.utils.response_limits import find_exceeded_limit


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.settings.schema import PlatformSettings
    from kingcupwheel.utils.http_client import HttpReply

T = TypeVar("T")

# A process needs one for the manifest and a few for leases; more are opened and closed
# as needed.
_MAX_IDLE_WATCH_CONNECTIONS = 4
# For a call that waited for a connection for almost its whole timeout.
_MIN_CALL_TIMEOUT_S = 0.05
_DEFAULT_RETRY_AFTER_S = 1.0
# Several times the largest value and the list of all instances.
_MAX_RESPONSE_BYTES = 8_000_000
# Added to a call's timeout while a long body comes over a slow link.
_TRANSFER_TIMEOUT_S = 6.0
_NOT_MODIFIED = 304
# Errors raised before the request can have reached the platform.
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NameResolutionError,
    urllib3.exceptions.EmptyPoolError,
    urllib3.exceptions.ClosedPoolError,
    urllib3.exceptions.LocationValueError,
)


class _HttpCall(NamedTuple):
    """An HTTP call; a lost response to a write leaves its effect unknown."""

    method: str
    path: str
    key: str = ""
    body: bytes | None = None
    headers: dict[str, str] | None = None

    @property
    def is_write(self) -> bool:
        return self.method != "GET"


class _InstanceListCache(NamedTuple):
    """The last list of instances; ``etag`` is empty if the platform sent none."""

    etag: str
    instances: tuple[Instance, ...]


@platform_clients.register("http")
class HttpPlatformClient:
    """Platform client over HTTP; thread-safe.

    At most ``settings.connections`` calls are in progress at once. Waiting for a free
    connection counts against the call's timeout, so a hanging platform can't block a
    thread for longer. Watches have connections of their own, since waiting watches
    would otherwise use up those for calls.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        url = urlsplit(settings.url)
        origin = f"{url.scheme}://{url.netloc}"
        self._base = url.path.rstrip("/")
        self._timeout_s = settings.timeout_s
        self._calls = _open_client(origin, settings.connections)
        self._watches = _open_client(origin, _MAX_IDLE_WATCH_CONNECTIONS)
        self._free_connections = BoundedSemaphore(settings.connections)
        self._instance_cache = _InstanceListCache("", ())

    def read(self, key: str) -> Result[VersionedValue | None, PlatformError]:
        """Return the object, or None if it does not exist."""
        return self._call(_HttpCall("GET", _object_path(key), key)).bind(
            lambda response: _read_versioned_value(key, response, 404)
        )

    def create(self, key: str, value: bytes) -> Result[int, PlatformError]:
        """Create the object and return its version; ``Conflict`` if it exists."""
        return self._write(key, value, {"If-None-Match": "*"})

    def update(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, PlatformError]:
        """Replace the object if it is at ``version``; return the new version."""
        return self._write(key, value, {"If-Match": f'"{version}"'})

    def delete(self, key: str, *, version: int) -> Result[None, PlatformError]:
        """Delete the object if it is at ``version``."""
        headers = {"If-Match": f'"{version}"'}
        call = _HttpCall("DELETE", _object_path(key), key, headers=headers)
        return self._call(call).bind(lambda response: _check_status(response, 200, 204))

    def keys(self, prefix: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the keys that start with ``prefix``, sorted."""
        call = _HttpCall("GET", f"/v1/objects?{urlencode({'prefix': prefix})}")
        return self._call(call).bind(
            lambda response: _decode_body(response, tuple[str, ...])
        )

    def watch(
        self, key: str, *, after: int, timeout_s: float
    ) -> Result[VersionedValue | None, PlatformError]:
        """Wait for a version later than ``after``; return None on timeout."""
        query = urlencode({"watch": after, "timeout": timeout_s})
        call = _HttpCall("GET", f"{_object_path(key)}?{query}", key)
        timeout = urllib3.Timeout(
            connect=self._timeout_s, read=timeout_s + self._timeout_s
        )
        return self._send(self._watches, call, timeout).bind(
            lambda response: _read_versioned_value(key, response, 304, 404)
        )

    def instances(self) -> Result[tuple[Instance, ...], PlatformError]:
        """Return live and leaving instances; the platform's list lags behind.

        The list is only transferred if it has changed (``If-None-Match``): 1,370
        instances are about 150 KB, a few of them change in an hour, and every entry
        reads the list every few seconds.
        """
        cached = self._instance_cache
        headers = {"If-None-Match": cached.etag} if cached.etag else {}
        result = self._call(_HttpCall("GET", "/v1/instances", headers=headers))
        if result.is_ok() and result.ok.status == _NOT_MODIFIED:
            return Ok(cached.instances)
        return result.bind(_decode_instances).map(
            lambda instances: self._cache_instances(instances, result.ok)
        )

    def _cache_instances(
        self, instances: tuple[Instance, ...], response: HttpReply
    ) -> tuple[Instance, ...]:
        self._instance_cache = _InstanceListCache(
            response.headers.get("ETag", ""), instances
        )
        return instances

    def _write(
        self, key: str, value: bytes, headers: dict[str, str]
    ) -> Result[int, PlatformError]:
        call = _HttpCall("PUT", _object_path(key), key, value, headers)
        return self._call(call).bind(_read_new_version)

    def _call(self, call: _HttpCall) -> Result[HttpReply, PlatformError]:
        deadline = monotonic() + self._timeout_s
        with self._reserve_connection() as is_reserved:
            if not is_reserved:
                return Error(
                    Unavailable("no free connection within the timeout", sent=False)
                )
            left_s = max(_MIN_CALL_TIMEOUT_S, deadline - monotonic())
            timeout = urllib3.Timeout(total=left_s)
            return self._send(self._calls, call, timeout)

    @contextmanager
    def _reserve_connection(self) -> Iterator[bool]:
        is_reserved = self._free_connections.acquire(timeout=self._timeout_s)
        try:
            yield is_reserved
        finally:
            if is_reserved:
                self._free_connections.release()

    def _send(
        self,
        client: HttpClient,
        call: _HttpCall,
        timeout: urllib3.Timeout,
    ) -> Result[HttpReply, PlatformError]:
        try:
            response = client.call(
                call.method,
                self._base + call.path,
                body=call.body,
                headers=call.headers,
                timeout=timeout,
            )
        except _NOT_SENT_ERRORS as error:
            return Error(Unavailable(_describe_error(error), sent=False))
        except urllib3.exceptions.HTTPError as error:
            return Error(Unavailable(_describe_error(error), sent=call.is_write))
        platform_error = _response_error(call, response)
        return Ok(response) if platform_error is None else Error(platform_error)


def _object_path(key: str) -> str:
    return "/v1/objects/" + quote(key, safe="/")


def _open_client(origin: str, connections: int) -> HttpClient:
    return HttpClient(
        origin,
        max_body_bytes=_MAX_RESPONSE_BYTES,
        transfer_s=_TRANSFER_TIMEOUT_S,
        maxsize=connections,
    )


def _describe_error(error: Exception) -> str:
    limit = find_exceeded_limit(error)
    described = f"{type(error).__name__}: {error}"
    return described if limit is None else f"over the limit {limit.value}: {described}"


def _response_error(call: _HttpCall, response: HttpReply) -> PlatformError | None:
    status = response.status
    if status in (409, 412):
        return Conflict(call.key, _parse_version(response))
    if status == 429:
        return RateLimited(_parse_retry_after_s(response))
    if status >= 500:
        # A gateway may respond so after it forwarded the write: its effect is unknown.
        return Unavailable(f"status {status}", sent=call.is_write)
    if status >= 400 and status != 404:
        return Rejected(status, response.reason)
    return None


def _parse_version(response: HttpReply) -> int:
    tag = response.headers.get("ETag", "").removeprefix("W/").strip('"')
    return int(tag) if tag.isdecimal() else 0


def _parse_retry_after_s(response: HttpReply) -> float:
    text = response.headers.get("Retry-After", "")
    return float(text) if text.isdecimal() else _DEFAULT_RETRY_AFTER_S


def _unexpected_status_error(response: HttpReply) -> PlatformError:
    return Rejected(response.status, response.reason or "unexpected response")


def _check_status(response: HttpReply, *statuses: int) -> Result[None, PlatformError]:
    if response.status in statuses:
        return Ok(None)
    return Error(_unexpected_status_error(response))


def _read_versioned_value(
    key: str, response: HttpReply, *absent: int
) -> Result[VersionedValue | None, PlatformError]:
    if response.status in absent:
        return Ok(None)
    version = _parse_version(response)
    if response.status != 200 or version == 0:
        return Error(_unexpected_status_error(response))
    return Ok(VersionedValue(key, version, response.data))


def _read_new_version(response: HttpReply) -> Result[int, PlatformError]:
    version = _parse_version(response)
    if response.status not in (200, 201, 204) or version == 0:
        return Error(_unexpected_status_error(response))
    return Ok(version)


def _decode_instances(
    response: HttpReply,
) -> Result[tuple[Instance, ...], PlatformError]:
    # msgspec decodes NamedTuples from arrays, but the list contains objects.
    return _decode_body(response, list[dict[str, str | bool]]).bind(_convert_instances)


def _convert_instances(
    items: list[dict[str, str | bool]],
) -> Result[tuple[Instance, ...], PlatformError]:
    try:
        rows = [[item[field] for field in Instance._fields] for item in items]
        return Ok(msgspec.convert(rows, tuple[Instance, ...]))
    except (KeyError, msgspec.ValidationError) as error:
        return Error(Rejected(200, f"invalid instance list: {error}"))


def _decode_body(response: HttpReply, kind: type[T]) -> Result[T, PlatformError]:
    if response.status != 200:
        return Error(_unexpected_status_error(response))
    try:
        return Ok(msgspec.json.decode(response.data, type=kind))
    except msgspec.DecodeError as error:
        return Error(Rejected(response.status, str(error)))
