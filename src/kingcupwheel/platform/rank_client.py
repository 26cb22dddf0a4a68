"""HTTP client of a backend server's API for expert maps."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import urllib3
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.lockstep.orders import Arm
from kingcupwheel.lockstep.orders import Disarm
from kingcupwheel.lockstep.orders import Hold
from kingcupwheel.lockstep.orders import Prepare
from kingcupwheel.lockstep.orders import Release
from kingcupwheel.lockstep.rank_reports import RankCounts
from kingcupwheel.lockstep.rank_reports import RankState
from kingcupwheel.platform.decoding import StartTimeMs
from kingcupwheel.platform.decoding import decode_json
from kingcupwheel.utils.http_client import HttpClient
from kingcupwheel.utils.response_limits import describe_error


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.lockstep.orders import RankOrder
    from kingcupwheel.utils.response_limits import ResponseLimit

# Servers respond within two milliseconds.
_CALL_TIMEOUT_S = 0.25
# Orders without a response are resent, so a short timeout costs nothing, while each
# lost one delays the map change of its whole group by the timeout.
_ORDER_TIMEOUT_S = 0.05
# Counts of a hundred sets of layers with a thousand experts each.
_MAX_REPLY_BYTES = 1_000_000


class _Group(msgspec.Struct):
    name: str = msgspec.field(default="", name="Name")
    epoch: int = 0
    rank: int = 0
    # Either ``open`` or ``broken``.
    state: str = msgspec.field(default="broken", name="State")


class _Armed(msgspec.Struct):
    version: int = msgspec.field(default=0, name="Version")


class _Report(msgspec.Struct):
    # The last pass that has started.
    step: int = 0
    group: _Group | None = None
    size: int = 0
    # Versions of maps, not maps; null if there is none.
    map_version: int | None = msgspec.field(default=0, name="Map")
    prepared_version: int | None = msgspec.field(default=None, name="Prepared")
    # An object, unlike the other two: the version and the pass it is armed for.
    armed: _Armed | None = msgspec.field(default=None, name="Armed")
    # The pass that is held, not a boolean.
    held: int | None = None
    running: int = msgspec.field(default=0, name="InFlight")
    waiting: int = msgspec.field(default=0, name="QueueDepth")
    pace: float = 1.0
    # Identifies the server's incarnation.
    born: StartTimeMs = 0


class _Counts(msgspec.Struct):
    epoch: int = 0
    # One list for all sets of layers, set by set.
    counts: list[int] = msgspec.field(default_factory=list, name="Counts")
    born: StartTimeMs = 0


class _HeldExperts(msgspec.Struct):
    # This rank's experts by set of layers.
    experts: list[list[int]] = msgspec.field(default_factory=list, name="Experts")


class _PlacementReport(msgspec.Struct):
    held_experts: _HeldExperts | None = msgspec.field(default=None, name="Map")


class RankClient:
    """Client of one backend server; thread-safe.

    ``on_limit`` is called with each limit that a response has exceeded.
    """

    def __init__(
        self, url: str, on_limit: Callable[[ResponseLimit], None] = lambda _: None
    ) -> None:
        self._http = HttpClient(
            url, max_body_bytes=_MAX_REPLY_BYTES, on_limit=on_limit, maxsize=2
        )

    def fetch_state(self) -> Result[RankState, str]:
        """Return the state that the server reports."""
        return self._get("/v1/report").bind(decode_state)

    def fetch_counts(self) -> Result[RankCounts, str]:
        """Return how often the rank's requests chose each expert since its start."""
        return self._get("/v1/picked").bind(decode_counts)

    def fetch_placement(self) -> Result[tuple[tuple[int, ...], ...], str]:
        """Return the rank's experts by layer in the map in force."""
        return self._get("/v1/picked?Lists=1").bind(decode_placement)

    def send_order(self, order: RankOrder) -> Result[int, str]:
        """Return the status; an order without a response may still take effect."""
        body = msgspec.json.encode(_order_body(order))
        headers = {"Content-Type": "application/json"}
        try:
            response = self._http.call(
                "POST",
                "/v1/order",
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(total=_ORDER_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError as error:
            return Error(describe_error(error))
        return Ok(response.status)

    def _get(self, path: str) -> Result[bytes, str]:
        try:
            response = self._http.call(
                "GET", path, timeout=urllib3.Timeout(total=_CALL_TIMEOUT_S)
            )
        except urllib3.exceptions.HTTPError as error:
            return Error(describe_error(error))
        if response.status != 200:
            return Error(f"status {response.status}")
        return Ok(response.data)


def decode_state(raw: bytes) -> Result[RankState, str]:
    """Return the decoded state report of a server, or why it is invalid."""
    return decode_json(raw, _Report).map(_build_state)


def decode_counts(raw: bytes) -> Result[RankCounts, str]:
    """Return the decoded expert counts of a rank, or why they are invalid."""
    return decode_json(raw, _Counts).map(
        lambda counts: RankCounts(counts.epoch, tuple(counts.counts), counts.born)
    )


def decode_placement(raw: bytes) -> Result[tuple[tuple[int, ...], ...], str]:
    """Return the decoded experts of a rank by layer, or why they are invalid."""
    return decode_json(raw, _PlacementReport).map(_build_placement)


def _build_state(report: _Report) -> RankState:
    group = report.group or _Group()
    return RankState(
        group=group.name,
        epoch=group.epoch,
        rank=group.rank,
        ranks=report.size,
        is_open=group.state == "open",
        step=report.step,
        version=report.map_version or 0,
        prepared=report.prepared_version or 0,
        armed=report.armed.version if report.armed else 0,
        held=report.held,
        running=report.running,
        waiting=report.waiting,
        pace=report.pace,
        born_ms=report.born,
    )


def _build_placement(report: _PlacementReport) -> tuple[tuple[int, ...], ...]:
    if report.held_experts is None:
        return ()
    return tuple(tuple(layer) for layer in report.held_experts.experts)


def _order_body(order: RankOrder) -> dict[str, object]:
    match order:
        case Prepare(epoch, version, layers):
            return {"Op": "prepare", "epoch": epoch, "Version": version, "Map": layers}
        case Arm(epoch, version, step):
            return {"Op": "arm", "epoch": epoch, "Version": version, "step": step}
        case Disarm(epoch, version):
            return {"Op": "disarm", "epoch": epoch, "Version": version}
        case Hold(epoch, step):
            # The only operation that the protocol capitalises.
            return {"Op": "Hold", "epoch": epoch, "step": step}
        case Release(epoch, step):
            return {"Op": "go", "epoch": epoch, "step": step}
