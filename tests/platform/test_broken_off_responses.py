"""Responses of the store, the platform and the ranks that break off at any byte."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
import pytest

from kingcupwheel.expertmaps.maps import MapVersion
from kingcupwheel.expertmaps.protocol import AbortOrder
from kingcupwheel.expertmaps.protocol import AbortReply
from kingcupwheel.expertmaps.rank_api import HttpRankApi
from kingcupwheel.lockstep.orders import Release
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.platform.http import HttpPlatformClient
from kingcupwheel.platform.object_store import ObjectStore
from kingcupwheel.platform.rank_client import RankClient
from kingcupwheel.settings.schema import PlatformSettings
from tests.standins.cut_answers import CutAnswerServer


if TYPE_CHECKING:
    from collections.abc import Callable

VERSION = MapVersion(1, 2)
STORED = {"Metadata": {"Name": "a", "Revision": 7}, "Spec": {"x": 1}}
PAGE = {"Items": [STORED], "More": False, "StoreRevision": 9}
FRAMINGS = ("length", "chunked", "until-close")


class Call(NamedTuple):
    """A call, and the response that it reads."""

    run: Callable[[str], Any]
    status: str
    body: bytes
    headers: bytes = b""


def store(url: str) -> ObjectStore:
    return ObjectStore(url, call_timeout_s=2.0)


def platform(url: str) -> HttpPlatformClient:
    return HttpPlatformClient(PlatformSettings(url=url, timeout_s=2.0))


CALLS = {
    "store-list": Call(
        lambda url: store(url).list_objects("k"), "200 OK", json.dumps(PAGE).encode()
    ),
    "store-watch": Call(
        lambda url: store(url).watch("k", after=3, wait_s=0.1),
        "200 OK",
        b'{"events":[],"StoreRevision":9}',
    ),
    "store-create": Call(
        lambda url: store(url).create("k", "a", b"1"),
        "201 Created",
        json.dumps(STORED).encode(),
    ),
    "store-conflict": Call(
        lambda url: store(url).create("k", "a", b"1"),
        "409 Conflict",
        json.dumps(STORED).encode(),
    ),
    "store-history-gone": Call(
        lambda url: store(url).watch("k", after=3, wait_s=0.1), "410 Gone", b"{}"
    ),
    "store-absent": Call(lambda url: store(url).read("k", "a"), "404 Not Found", b"{}"),
    "store-delete": Call(
        lambda url: store(url).delete("k", "a", revision=7), "200 OK", b"{}"
    ),
    "rank-report": Call(
        lambda url: RankClient(url).fetch_state(), "200 OK", b'{"step":4,"size":2}'
    ),
    "rank-order": Call(
        lambda url: RankClient(url).send_order(Release(1, 4)), "202 Accepted", b"{}"
    ),
    "own-rank": Call(
        lambda url: HttpRankApi(url).send_order(AbortOrder(VERSION), fence=1),
        "200 OK",
        msgspec.json.encode(AbortReply(VERSION)),
    ),
    "own-platform-absent": Call(
        lambda url: platform(url).read("a"), "404 Not Found", b""
    ),
    "own-platform-read": Call(
        lambda url: platform(url).read("a"), "200 OK", b"value", b'ETag: "31"\r\n'
    ),
    "own-platform-create": Call(
        lambda url: platform(url).create("a", b"v"),
        "201 Created",
        b"",
        b'ETag: "31"\r\n',
    ),
    "own-platform-conflict": Call(
        lambda url: platform(url).update("a", b"v", version=3),
        "412 Precondition Failed",
        b"",
        b'ETag: "31"\r\n',
    ),
}


def build_head(call: Call, framing: str) -> bytes:
    """Return a response's head, with the framing at its end."""
    framing_header = {
        "length": f"Content-Length: {len(call.body)}\r\n",
        "chunked": "Transfer-Encoding: chunked\r\n",
        "until-close": "",
    }[framing]
    return (
        f"HTTP/1.1 {call.status}\r\n".encode()
        + call.headers
        + framing_header.encode()
        + b"\r\n"
    )


def build_body(call: Call, framing: str) -> bytes:
    """Return a response's body; sizes of chunks begin with a zero."""
    if framing != "chunked":
        return call.body
    chunk = b"%04x\r\n%b\r\n" % (len(call.body), call.body) if call.body else b""
    return chunk + b"0\r\n\r\n"


def is_lost(result: Any) -> bool:
    """Return whether a result says no more than that there was no whole response."""
    if result.is_ok():
        return False
    return not isinstance(result.error, Conflict) and "HistoryGone" not in repr(
        result.error
    )


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", CALLS)
def test_response_broken_off_at_any_byte_is_no_response(
    name: str, framing: str
) -> None:
    """Guards against a write, a conflict or an absence that nobody has confirmed."""
    call = CALLS[name]
    head, body = build_head(call, framing), build_body(call, framing)
    whole = head + body
    known_broken = len(head) if framing == "until-close" else len(whole)
    believed = []

    with CutAnswerServer() as server:
        for cut in range(known_broken):
            server.answer = whole[:cut]
            result = call.run(server.url)
            if not is_lost(result):
                believed.append((cut, result))

    assert believed == []


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", CALLS)
def test_sound_response_is_read_in_each_framing(name: str, framing: str) -> None:
    call = CALLS[name]
    with CutAnswerServer(
        build_head(call, framing) + build_body(call, framing)
    ) as server:
        result = call.run(server.url)

    assert not is_lost(result)


def test_write_whose_response_breaks_off_may_have_been_done() -> None:
    """Guards against a second write in place of reading the first one back."""
    with CutAnswerServer(b"HTTP/1.1 503 Unavailable\r\nRetry-") as server:
        written = store(server.url).create("k", "a", b"1")

    assert isinstance(written.error, Unavailable)
    assert written.error.sent
