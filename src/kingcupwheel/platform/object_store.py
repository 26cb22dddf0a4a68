"""Client of the users' object store: kinds of named objects with lists and watches.

Bodies are JSON. One counter supplies the revisions of all objects. Every call counts
against the store's rate limits; a waiting watch counts as one call.
"""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from urllib.parse import quote
from urllib.parse import urlencode

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import HistoryGone
from kingcupwheel.platform.errors import PlatformError
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.platform.errors import WatchError
from kingcupwheel.platform.store_client import StoreHttpClient
from kingcupwheel.platform.store_client import decode_response
from kingcupwheel.platform.store_codec import decode_changes
from kingcupwheel.platform.store_codec import decode_object
from kingcupwheel.platform.store_codec import decode_page
from kingcupwheel.platform.store_codec import encode_object
from kingcupwheel.platform.store_types import ObjectChange
from kingcupwheel.platform.store_types import ObjectList
from kingcupwheel.platform.store_types import StoredObject
from kingcupwheel.platform.store_types import WatchResult
from kingcupwheel.utils.response_limits import ResponseLimit


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from kingcupwheel.platform.store_types import ObjectPage
    from kingcupwheel.utils.http_client import HttpReply

# Re-exports the types that the store returns.
__all__ = [
    "DEFAULT_CALL_TIMEOUT_S",
    "ObjectChange",
    "WatchResult",
    "ObjectList",
    "ObjectStore",
    "StoredObject",
]

# Three hundred times the store's usual response time.
DEFAULT_CALL_TIMEOUT_S = 1.2
# Added to the waiting time of a watch on a kept connection, which may have gone silent:
# the call after it is sent on a new one and tells.
WATCH_ANSWER_TIMEOUT_S = 0.6
# End a list whose last page never comes. A page has about 500 objects or 1 MB.
_MAX_PAGES = 400
_MAX_LIST_BYTES = 64_000_000
_LIST_TIMEOUT_S = 30.0


class ObjectStore:
    """Store client; calls block for at most their timeout; thread-safe.

    The pages of a list have a timeout together too. ``on_limit`` is called with each
    limit that a response has exceeded.
    """

    def __init__(
        self,
        url: str,
        *,
        call_timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
        on_limit: Callable[[ResponseLimit], None] = lambda _: None,
    ) -> None:
        self._calls = StoreHttpClient(
            url, connect_timeout_s=call_timeout_s, on_limit=on_limit
        )
        self._on_limit = on_limit
        self._call_timeout_s = call_timeout_s

    def read(self, kind: str, name: str) -> Result[StoredObject | None, PlatformError]:
        """Return the object, or None if it does not exist."""
        path = _object_path(kind, name)
        result = self._calls.call("GET", path, self._call_timeout_s)
        if result.is_ok() and result.ok.status == 404:
            return Ok(None)
        return result.bind(lambda response: decode_response(response, decode_object))

    def list_objects(
        self, kind: str, *, stale: bool = False
    ) -> Result[ObjectList, PlatformError]:
        """Return every object of the kind, read page by page.

        A ``stale`` list is cheap and may be seconds old. The result has the first
        page's revision: a watch from a later page's would miss changes to the pages
        read before it.
        """
        objects: list[StoredObject] = []
        revision = 0
        size = 0
        after = ""
        deadline = monotonic() + _LIST_TIMEOUT_S
        for _ in range(_MAX_PAGES):
            query = {"After": after} if after else {}
            if stale:
                query["StaleOk"] = "1"
            page = self._read_page(kind, query)
            if page.is_error():
                return Error(page.error)
            revision = revision or page.ok.revision
            objects.extend(page.ok.objects)
            if page.ok.after in ("", after):
                break
            size += sum(len(found.body) for found in page.ok.objects)
            limit = _exceeded_limit(size, deadline)
            if limit is not None:
                self._on_limit(limit)
                return Error(Unavailable(f"list over the limit {limit}", sent=False))
            after = page.ok.after
        return Ok(ObjectList(tuple(objects), revision))

    def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[WatchResult, WatchError]:
        """Return the changes after revision ``after`` as soon as there are any."""
        query = urlencode({"Watch": after, "WaitMs": int(wait_s * 1000)})
        path = f"{_kind_path(kind)}?{query}"
        timeout_s = min(self._call_timeout_s, WATCH_ANSWER_TIMEOUT_S)
        result = self._calls.call("GET", path, wait_s + timeout_s)
        if result.is_error():
            return Error(result.error)
        if result.ok.status == 410:
            return Error(HistoryGone(after))
        changes = decode_response(result.ok, decode_changes)
        return Error(changes.error) if changes.is_error() else Ok(changes.ok)

    def create(
        self, kind: str, name: str, body: bytes
    ) -> Result[StoredObject, PlatformError]:
        """Create an object; ``Conflict`` if one of that name exists."""
        metadata = {"Name": name}
        return self._write("POST", _kind_path(kind), name, metadata, body)

    def replace(
        self, kind: str, name: str, body: bytes, *, revision: int
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object's specification if it is at ``revision``."""
        metadata = {"Name": name, "Revision": revision}
        path = _object_path(kind, name)
        return self._write("PUT", path, name, metadata, body)

    def delete(
        self, kind: str, name: str, *, revision: int
    ) -> Result[None, PlatformError]:
        """Delete an object at ``revision``; no error if it does not exist."""
        path = f"{_object_path(kind, name)}?Revision={revision}"
        result = self._calls.call("DELETE", path, self._call_timeout_s)
        if result.is_error():
            return Error(result.error)
        if result.ok.status == 409:
            return Error(Conflict(name, 0))
        return Ok(None)

    def _read_page(
        self, kind: str, query: dict[str, str]
    ) -> Result[ObjectPage, PlatformError]:
        path = _kind_path(kind)
        if query:
            path = f"{path}?{urlencode(query)}"
        result = self._calls.call("GET", path, self._call_timeout_s)
        return result.bind(lambda response: decode_response(response, decode_page))

    def _write(
        self,
        method: str,
        path: str,
        name: str,
        metadata: Mapping[str, object],
        body: bytes,
    ) -> Result[StoredObject, PlatformError]:
        encoded = encode_object(metadata, body)
        result = self._calls.call(method, path, self._call_timeout_s, encoded)
        if result.is_ok() and result.ok.status in (404, 409):
            return Error(Conflict(name, _conflicting_revision(result.ok)))
        return result.bind(lambda response: decode_response(response, decode_object))


def _exceeded_limit(size: int, deadline: float) -> ResponseLimit | None:
    if size > _MAX_LIST_BYTES:
        return ResponseLimit.BODY
    return ResponseLimit.DURATION if monotonic() > deadline else None


def _kind_path(kind: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}"


def _object_path(kind: str, name: str) -> str:
    return f"{_kind_path(kind)}/{quote(name, safe='')}"


def _conflicting_revision(response: HttpReply) -> int:
    """Return the revision that a write conflicts with, 0 if no object exists."""
    decoded = decode_object(response.data)
    return decoded.map(lambda stored: stored.revision).default_value(0)
