"""Stand-in of the users' object store: kinds, revisions, pages, watches, faults."""

from __future__ import annotations

import json
from threading import Condition
from time import monotonic
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from tests.standins.http_server import Handler
from tests.standins.http_server import HttpStandIn


# Small, so that tests read more than one page.
PAGE_SIZE = 3


class StoreFaults(NamedTuple):
    """Faults of one store server.

    Every call gets ``error_status`` unless it is 0. With ``is_silent`` no call gets an
    answer. ``drops_write_responses`` executes writes and closes the connection.
    Watches are delayed by ``watch_delay_s``.
    """

    error_status: int = 0
    is_silent: bool = False
    drops_write_responses: bool = False
    watch_delay_s: float = 0.0


class _Handler(Handler):
    stand_in: StoreServer

    def do_GET(self) -> None:  # noqa: N802
        self._handle_call("GET", b"")

    def do_PUT(self) -> None:  # noqa: N802
        self._handle_call("PUT", self.read_body())

    def do_POST(self) -> None:  # noqa: N802
        self._handle_call("POST", self.read_body())

    def do_DELETE(self) -> None:  # noqa: N802
        self._handle_call("DELETE", b"")

    def _handle_call(self, method: str, body: bytes) -> None:
        store = self.stand_in
        faults = store.faults
        store.call_count += 1
        if faults.is_silent:
            store.stopping.wait(30.0)
            self.close_connection = True
            return
        if faults.error_status:
            self.reply(faults.error_status, b"")
            return
        if "Watch=" in self.path and faults.watch_delay_s:
            store.stopping.wait(faults.watch_delay_s)
        status, value = store.objects.handle_call(method, self.path, body)
        if faults.drops_write_responses and method != "GET":
            self.close_connection = True
            return
        self.reply_json(value, status)


class StoreServer(HttpStandIn):
    """A server of the store; clients of different servers see different faults."""

    def __init__(
        self, objects: StoredObjects, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        super().__init__(_Handler, host, port)
        self.objects = objects
        self.faults = StoreFaults()
        self.call_count = 0


class StoredObjects:
    """The objects by kind and name; tests change them by ``put`` and ``remove``."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._compacted_revision = 0
        self._revision = 1
        self._changed = Condition()

    @property
    def revision(self) -> int:
        return self._revision

    def put(self, kind: str, name: str, spec: Any) -> None:
        with self._changed:
            self._write(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        with self._changed:
            self._remove(kind, name)

    def list_names(self, kind: str) -> list[str]:
        with self._changed:
            return sorted(
                name for object_kind, name in self._objects if object_kind == kind
            )

    def compact_history(self) -> None:
        """Drop the history: watches from earlier revisions get status 410."""
        with self._changed:
            self._compacted_revision = self._revision
            self._history.clear()
            self._changed.notify_all()

    def handle_call(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.removeprefix("/v1/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        submitted = json.loads(body) if body else {}
        with self._changed:
            if method == "GET" and "Watch" in query:
                return self._watch(kind, query)
            if method == "GET" and not name:
                return 200, self._page(kind, query.get("After", ""))
            if method == "POST":
                name = submitted["Metadata"]["Name"]
                if (kind, name) in self._objects:
                    return 409, self._objects[kind, name]
                return 201, self._write(kind, name, submitted["Spec"])
            stored = self._objects.get((kind, name))
            if stored is None:
                return 404, {}
            if method == "GET":
                return 200, stored
            expected = query.get("Revision") or submitted.get("Metadata", {}).get(
                "Revision"
            )
            if expected is not None and int(expected) != stored["Metadata"]["Revision"]:
                return 409, stored
            if method == "DELETE":
                self._remove(kind, name)
                return 200, stored
            return 200, self._write(kind, name, submitted["Spec"])

    def _page(self, kind: str, after: str) -> dict[str, Any]:
        names = sorted(
            name for object_kind, name in self._objects if object_kind == kind
        )
        remaining = [name for name in names if name > after]
        return {
            "Items": [self._objects[kind, name] for name in remaining[:PAGE_SIZE]],
            "More": len(remaining) > PAGE_SIZE,
            "StoreRevision": self._revision,
        }

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["Watch"])
        deadline = monotonic() + int(query["WaitMs"]) / 1000
        while True:
            if after < self._compacted_revision:
                return 410, {}
            events = [
                {"Object": changed, "Tombstone": is_tombstone}
                for revision, object_kind, changed, is_tombstone in self._history
                if object_kind == kind and revision > after
            ]
            remaining_s = deadline - monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "StoreRevision": self._revision}
            self._changed.wait(remaining_s)

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self._revision += 1
        before = self._objects.get((kind, name))
        created = before["Metadata"]["Created"] if before else self._revision
        metadata: dict[str, Any] = {
            "Name": name,
            "Revision": self._revision,
            "Created": created,
            "Finalizers": [],
            "Deleting": False,
        }
        stored = {"Metadata": metadata, "Spec": spec, "Status": None}
        self._objects[kind, name] = stored
        self._record_change(kind, stored, is_tombstone=False)
        return stored

    def _remove(self, kind: str, name: str) -> None:
        removed = self._objects.pop((kind, name), None)
        if removed is not None:
            self._revision += 1
            self._record_change(kind, removed, is_tombstone=True)

    def _record_change(
        self, kind: str, changed: dict[str, Any], *, is_tombstone: bool
    ) -> None:
        self._history.append((self._revision, kind, changed, is_tombstone))
        self._changed.notify_all()
