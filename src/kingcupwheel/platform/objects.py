"""The users' object store: kinds of named objects with revisions, lists and watches.

Bodies are JSON. Revisions of all objects come from one counter. Every call counts
against the store's rates, a waiting watch as one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar
from urllib.parse import quote
from urllib.parse import urlencode

import msgspec
import urllib3
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.platform.decoding import decoded
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import HistoryGone
from kingcupwheel.platform.errors import PlatformError
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.platform.errors import WatchError
from kingcupwheel.telemetry.lines import lines_of


if TYPE_CHECKING:
    from collections.abc import Mapping

    from urllib3 import BaseHTTPResponse

T = TypeVar("T")

log = lines_of("store")

# What a call may take beyond the time that a watch waits, in seconds: three hundred
# times the store's usual answer.
DEFAULT_CALL_S = 1.2
_RETRY_AFTER_S = 0.5
_PAGES_AT_MOST = 400
# Of an object that can't be read so much goes into the log.
_LOGGED_BYTES = 120


class StoredObject(NamedTuple):
    """An object: ``body`` is its specification, still encoded.

    ``created`` is the store's revision when it was made, ``revision`` that of its last
    change.
    """

    name: str
    revision: int
    created: int
    body: bytes
    leaving: bool


class Listing(NamedTuple):
    """The objects of a kind and the revision to watch from."""

    objects: tuple[StoredObject, ...]
    revision: int


class Change(NamedTuple):
    """An object that was written, or with ``removed`` is gone."""

    object: StoredObject
    removed: bool


class Changes(NamedTuple):
    """What happened since a revision, and the one to go on from."""

    changes: tuple[Change, ...]
    revision: int


class _Metadata(msgspec.Struct, rename="pascal"):
    name: str = ""
    revision: int = 0
    # A revision too, not a time.
    created: int = 0
    # Marked for removal, held back by its finalizers.
    deleting: bool = False


class _Object(msgspec.Struct, rename="pascal"):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="pascal"):
    # Decoded one by one: an object of another shape must not cost the others.
    items: list[msgspec.Raw] = []
    more: bool = False
    # The revision of the whole store, not of an object.
    store_revision: int = 0


class _Event(msgspec.Struct, rename="pascal"):
    object: _Object
    # The object is gone; it is sent as it was last.
    tombstone: bool = False


class _Events(msgspec.Struct):
    events: list[msgspec.Raw] = []
    store_revision: int = msgspec.field(default=0, name="StoreRevision")


class Page(NamedTuple):
    """A part of a list; the next one begins after the name ``after``, if any."""

    objects: tuple[StoredObject, ...]
    revision: int
    after: str


class ObjectStore:
    """Calls block for at most their timeout; safe from any thread."""

    def __init__(self, url: str, *, call_s: float = DEFAULT_CALL_S) -> None:
        self._pool = urllib3.connection_from_url(url, maxsize=4)
        self._call_s = call_s

    def read(self, kind: str, name: str) -> Result[StoredObject | None, PlatformError]:
        """Return the object, or None if there is none."""
        path = f"{_kind_path(kind)}/{quote(name, safe='')}"
        asked = self._call("GET", path, self._call_s)
        if asked.is_ok() and asked.ok.status == 404:
            return Ok(None)
        return asked.bind(_one)

    def listing(
        self, kind: str, *, stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """Return every object of the kind, page by page.

        ``stale`` is cheap and may be seconds old. Watch from the first page's
        revision: later ones may have missed what changed on pages read before.
        """
        objects: list[StoredObject] = []
        revision = 0
        after = ""
        for _ in range(_PAGES_AT_MOST):
            query = {"After": after} if after else {}
            if stale:
                query["StaleOk"] = "1"
            page = self._page(kind, query)
            if page.is_error():
                return Error(page.error)
            revision = revision or page.ok.revision
            objects.extend(page.ok.objects)
            if page.ok.after in ("", after):
                break
            after = page.ok.after
        return Ok(Listing(tuple(objects), revision))

    def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[Changes, WatchError]:
        """Return what changed after a revision, as soon as there is something."""
        query = urlencode({"Watch": after, "WaitMs": int(wait_s * 1000)})
        path = f"{_kind_path(kind)}?{query}"
        asked = self._call("GET", path, wait_s + self._call_s)
        if asked.is_error():
            return Error(asked.error)
        if asked.ok.status == 410:
            return Error(HistoryGone(after))
        changes = _answered(asked.ok).bind(
            lambda got: _or_rejected(asked.ok, decode_changes(got))
        )
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
        path = f"{_kind_path(kind)}/{quote(name, safe='')}"
        return self._write("PUT", path, name, metadata, body)

    def delete(
        self, kind: str, name: str, *, revision: int
    ) -> Result[None, PlatformError]:
        """Remove an object if it is at ``revision``; one that is gone is no error."""
        path = f"{_kind_path(kind)}/{quote(name, safe='')}?Revision={revision}"
        asked = self._call("DELETE", path, self._call_s)
        if asked.is_error():
            return Error(asked.error)
        if asked.ok.status == 409:
            return Error(Conflict(name, 0))
        return Ok(None)

    def _page(self, kind: str, query: dict[str, str]) -> Result[Page, PlatformError]:
        path = _kind_path(kind)
        if query:
            path = f"{path}?{urlencode(query)}"
        asked = self._call("GET", path, self._call_s)
        return asked.bind(_answered).bind(
            lambda got: _or_rejected(asked.ok, decode_page(got))
        )

    def _write(
        self,
        method: str,
        path: str,
        name: str,
        metadata: Mapping[str, object],
        body: bytes,
    ) -> Result[StoredObject, PlatformError]:
        written = {"Metadata": metadata, "Spec": msgspec.Raw(body)}
        asked = self._call(method, path, self._call_s, msgspec.json.encode(written))
        if asked.is_ok() and asked.ok.status in (404, 409):
            return Error(Conflict(name, _revision_found(asked.ok)))
        return asked.bind(_one)

    def _call(
        self, method: str, path: str, timeout_s: float, body: bytes | None = None
    ) -> Result[BaseHTTPResponse, PlatformError]:
        writes = method != "GET"
        try:
            response = self._pool.request(
                method,
                path,
                body=body,
                headers={"Content-Type": "application/json"} if body else None,
                timeout=urllib3.Timeout(connect=self._call_s, read=timeout_s),
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


def _kind_path(kind: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}"


def decode_page(raw: bytes) -> Result[Page, str]:
    """Return a part of a list; objects that can't be read are left out."""
    return decoded(raw, _Page).map(_page)


def decode_changes(raw: bytes) -> Result[Changes, str]:
    """Return what a watch tells; events that can't be read are left out."""
    return decoded(raw, _Events).map(_changes)


def _answered(response: BaseHTTPResponse) -> Result[bytes, PlatformError]:
    if response.status not in (200, 201):
        return Error(Rejected(response.status, response.reason or ""))
    return Ok(response.data)


def _or_rejected(
    response: BaseHTTPResponse, found: Result[T, str]
) -> Result[T, PlatformError]:
    return found.map_error(lambda why: Rejected(response.status, why))


def _one(response: BaseHTTPResponse) -> Result[StoredObject, PlatformError]:
    return _answered(response).bind(
        lambda got: _or_rejected(response, decoded(got, _Object).map(_stored))
    )


def _revision_found(response: BaseHTTPResponse) -> int:
    return decoded(response.data, _Object).map(_revision).default_value(0)


def _revision(item: _Object) -> int:
    return item.metadata.revision


def _readable(raws: list[msgspec.Raw], kind: type[T]) -> list[T]:
    """Return those that can be read.

    Failure: another writer has put an object of another shape beside the servers'.
    Symptom: the whole list is refused, and an entry that starts knows no server. What
    can't be read names nothing that is used, so nothing is lost without it.
    """
    found: list[T] = []
    for raw in raws:
        read = decoded(raw, kind)
        if read.is_error():
            log.warning("object-unreadable", why=read.error, begins=_begins(raw))
        else:
            found.append(read.ok)
    return found


def _begins(raw: msgspec.Raw) -> str:
    return bytes(raw)[:_LOGGED_BYTES].decode(errors="replace")


def _page(found: _Page) -> Page:
    objects = tuple(map(_stored, _readable(found.items, _Object)))
    after = objects[-1].name if found.more and objects else ""
    return Page(objects, found.store_revision, after)


def _stored(item: _Object) -> StoredObject:
    metadata = item.metadata
    return StoredObject(
        name=metadata.name,
        revision=metadata.revision,
        created=metadata.created,
        body=bytes(item.spec),
        leaving=metadata.deleting,
    )


def _changes(found: _Events) -> Changes:
    events = _readable(found.events, _Event)
    changes = (Change(_stored(one.object), one.tombstone) for one in events)
    return Changes(tuple(changes), found.store_revision)
