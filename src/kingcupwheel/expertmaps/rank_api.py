"""Rank API: the plug-in interface through which an agent sends orders to its rank.

The HTTP plug-in uses JSON over ``POST /rank/stage``, ``prepare`` (without a step:
supersede), ``commit``, ``abort`` and ``GET /rank/state``, ``loads``. Each order carries
the fence; the response body is the reply.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Protocol
from urllib.parse import urlsplit

import msgspec
import urllib3
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.expertmaps.exceptions import RankUnreachable
from kingcupwheel.expertmaps.protocol import AbortOrder
from kingcupwheel.expertmaps.protocol import AnyReply
from kingcupwheel.expertmaps.protocol import CommitOrder
from kingcupwheel.expertmaps.protocol import ExpertLoadsRequest
from kingcupwheel.expertmaps.protocol import PrepareOrder
from kingcupwheel.expertmaps.protocol import StageOrder
from kingcupwheel.expertmaps.protocol import StateRequest
from kingcupwheel.expertmaps.protocol import SupersedeOrder
from kingcupwheel.plugins.registries import rank_apis
from kingcupwheel.utils.http_client import HttpClient


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.protocol import AnyOrder
    from kingcupwheel.utils.http_client import HttpReply

# Fits a schedule of two maps of the largest group.
_MAX_REPLY_BYTES = 4_000_000
# A rank answers between two steps. An order that times out is retried, and may still
# take effect.
RANK_TIMEOUT_S = 2.0
_REPLY_DECODER: msgspec.json.Decoder[Any] = msgspec.json.Decoder(AnyReply)


class RankApi(Protocol):
    """Client of one kind of rank; calls block for a bounded time."""

    def send_order(
        self, order: AnyOrder, *, fence: int
    ) -> Result[AnyReply, RankUnreachable]:
        """Send ``order`` to the rank, whose engine may check ``fence`` or ignore it."""


class RankCall(msgspec.Struct, frozen=True):
    """Request body: an order and its fence."""

    fence: int
    order: Any


class _Endpoint(NamedTuple):
    method: str
    path: str


def get_endpoint(order: AnyOrder) -> _Endpoint:
    """Return the method and path for ``order``."""
    match order:
        case StageOrder():
            return _Endpoint("POST", "/rank/stage")
        case PrepareOrder() | SupersedeOrder():
            return _Endpoint("POST", "/rank/prepare")
        case CommitOrder():
            return _Endpoint("POST", "/rank/commit")
        case AbortOrder():
            return _Endpoint("POST", "/rank/abort")
        case StateRequest(number, include_schedule):
            return _Endpoint(
                "GET", f"/rank/state?round={number}&whole={int(include_schedule)}"
            )
        case ExpertLoadsRequest(number):
            return _Endpoint("GET", f"/rank/loads?round={number}")


@rank_apis.register("http")
class HttpRankApi:
    """Client of the rank at ``url``; each call takes ``timeout_s`` at most."""

    def __init__(self, url: str, *, timeout_s: float = RANK_TIMEOUT_S) -> None:
        self._base = urlsplit(url).path.rstrip("/")
        self._timeout = urllib3.Timeout(total=timeout_s)
        self._http = HttpClient(url, max_body_bytes=_MAX_REPLY_BYTES, maxsize=2)

    def send_order(
        self, order: AnyOrder, *, fence: int
    ) -> Result[AnyReply, RankUnreachable]:
        """Send ``order`` to the rank."""
        method, path = get_endpoint(order)
        body = None
        if method == "POST":
            body = msgspec.json.encode(RankCall(fence, order))
        try:
            response = self._http.call(
                method, self._base + path, body=body, timeout=self._timeout
            )
        except urllib3.exceptions.NewConnectionError as error:
            return Error(RankUnreachable(str(error), was_sent=False))
        except urllib3.exceptions.HTTPError as error:
            return Error(RankUnreachable(str(error), was_sent=True))
        return _decode_response(response)


def _decode_response(response: HttpReply) -> Result[AnyReply, RankUnreachable]:
    if response.status != 200:
        detail = f"status {response.status}, {len(response.data)} bytes"
        return Error(RankUnreachable(detail, was_sent=True))
    try:
        return Ok(_REPLY_DECODER.decode(response.data))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Error(RankUnreachable(str(error), was_sent=True))
