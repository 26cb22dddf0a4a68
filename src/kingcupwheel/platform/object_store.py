"""The users' object store: kinds of named objects with revisions, lists and watches.

Bodies are JSON. Revisions of all objects come from one counter. Every call counts
against the store's rates, a waiting watch as one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote
from urllib.parse import urlencode

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import HistoryGone
from kingcupwheel.platform.errors import PlatformError
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


if TYPE_CHECKING:
    from collections.abc import Mapping

    from urllib3 import BaseHTTPResponse

    from kingcupwheel.platform.store_types import ObjectPage

# Callers of the store take what it returns from here as well.
__all__ = [
    "DEFAULT_CALL_TIMEOUT_S",
    "ObjectChange",
    "WatchResult",
    "ObjectList",
    "ObjectStore",
    "StoredObject",
]

# What a call may take beyond the time that a watch waits, in seconds: three hundred
# times the store's usual answer.
DEFAULT_CALL_TIMEOUT_S = 1.2
# A list ends after so many pages, so that one that never ends holds nobody.
_MAX_PAGES = 400


class ObjectStore:
    """Calls block for at most their timeout; safe from any thread."""

    def __init__(
        self, url: str, *, call_timeout_s: float = DEFAULT_CALL_TIMEOUT_S
    ) -> None:
        self._calls = StoreHttpClient(url, connect_timeout_s=call_timeout_s)
        self._call_timeout_s = call_timeout_s

    def read(self, kind: str, name: str) -> Result[StoredObject | None, PlatformError]:
        """Return the object, or None if there is none."""
        path = _object_path(kind, name)
        asked = self._calls.call("GET", path, self._call_timeout_s)
        if asked.is_ok() and asked.ok.status == 404:
            return Ok(None)
        return asked.bind(lambda answer: decode_response(answer, decode_object))

    def list_objects(
        self, kind: str, *, stale: bool = False
    ) -> Result[ObjectList, PlatformError]:
        """Return every object of the kind, page by page.

        ``stale`` is cheap and may be seconds old. Watch from the first page's
        revision: later ones may have missed what changed on pages read before.
        """
        objects: list[StoredObject] = []
        revision = 0
        after = ""
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
            after = page.ok.after
        return Ok(ObjectList(tuple(objects), revision))

    def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[WatchResult, WatchError]:
        """Return what changed after a revision, as soon as there is something."""
        query = urlencode({"Watch": after, "WaitMs": int(wait_s * 1000)})
        path = f"{_kind_path(kind)}?{query}"
        asked = self._calls.call("GET", path, wait_s + self._call_timeout_s)
        if asked.is_error():
            return Error(asked.error)
        if asked.ok.status == 410:
            return Error(HistoryGone(after))
        changes = decode_response(asked.ok, decode_changes)
        return Error(changes.error) if changes.is_error() else Ok(changes.ok)

    def create(
        self, kind: str, name: str, body: bytes
    ) -> Result[StoredObject, PlatformError]:
        """Create an object; ``Conflict`` if there is one of that name."""
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
        """Remove an object if it is at ``revision``; one that is gone is no error."""
        path = f"{_object_path(kind, name)}?Revision={revision}"
        asked = self._calls.call("DELETE", path, self._call_timeout_s)
        if asked.is_error():
            return Error(asked.error)
        if asked.ok.status == 409:
            return Error(Conflict(name, 0))
        return Ok(None)

    def _read_page(
        self, kind: str, query: dict[str, str]
    ) -> Result[ObjectPage, PlatformError]:
        path = _kind_path(kind)
        if query:
            path = f"{path}?{urlencode(query)}"
        asked = self._calls.call("GET", path, self._call_timeout_s)
        return asked.bind(lambda answer: decode_response(answer, decode_page))

    def _write(
        self,
        method: str,
        path: str,
        name: str,
        metadata: Mapping[str, object],
        body: bytes,
    ) -> Result[StoredObject, PlatformError]:
        written = encode_object(metadata, body)
        asked = self._calls.call(method, path, self._call_timeout_s, written)
        if asked.is_ok() and asked.ok.status in (404, 409):
            return Error(Conflict(name, _conflicting_revision(asked.ok)))
        return asked.bind(lambda answer: decode_response(answer, decode_object))


def _kind_path(kind: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}"


def _object_path(kind: str, name: str) -> str:
    return f"{_kind_path(kind)}/{quote(name, safe='')}"


def _conflicting_revision(response: BaseHTTPResponse) -> int:
    """Return the revision that a refused write met, 0 if there is no object."""
    found = decode_object(response.data)
    return found.map(lambda stored: stored.revision).default_value(0)
