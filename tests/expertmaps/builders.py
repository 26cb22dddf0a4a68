from __future__ import annotations

from threading import Event
from threading import Lock
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.expertmaps.maps import ExpertMap
from kingcupwheel.expertmaps.maps import MapVersion
from kingcupwheel.expertmaps.maps import build_even_map
from kingcupwheel.expertmaps.protocol import MapSchedule
from kingcupwheel.expertmaps.protocol import VersionedMap
from kingcupwheel.manifest.schema import ExpertLayout
from kingcupwheel.platform.client import VersionedValue
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import Unavailable


if TYPE_CHECKING:
    from kingcupwheel.platform.client import Instance
    from kingcupwheel.platform.errors import PlatformError


def build_layout(*, ranks: int = 2, experts: int = 4, slots: int = 0) -> ExpertLayout:
    return ExpertLayout(ranks=ranks, experts=experts, slots=slots)


def build_first_map(ranks: int = 2) -> ExpertMap:
    return build_even_map(build_layout(ranks=ranks, experts=2 * ranks))


def rotate_ranks(expert_map: ExpertMap) -> ExpertMap:
    layers = tuple((*layer[1:], layer[0]) for layer in expert_map.layers)
    return ExpertMap(expert_map.expert_count, expert_map.slots_per_rank, layers)


def build_schedule(version: MapVersion, expert_map: ExpertMap) -> MapSchedule:
    named = VersionedMap(version, expert_map)
    return MapSchedule(version, named, named, 0)


class FakePlatform:
    """In-memory platform shared by all agents; one version counter for all keys."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.object_by_key: dict[str, VersionedValue] = {}
        self.instance_list: tuple[Instance, ...] = ()
        self.version = 0
        self.calls = 0

    def write(self, key: str, value: bytes, version: int) -> Result[int, PlatformError]:
        with self.lock:
            found = self.object_by_key.get(key)
            if (found.version if found else 0) != version:
                return Error(Conflict(key, found.version if found else 0))
            self.version += 1
            self.object_by_key[key] = VersionedValue(key, self.version, value)
            return Ok(self.version)


class FakePlatformClient:
    """Platform client of one agent.

    Calls block while ``gate`` is cleared and fail while ``is_down`` is set. The next
    ``answers_to_lose`` writes take effect without an answer.
    """

    def __init__(self, platform: FakePlatform) -> None:
        self.platform = platform
        self.gate = Event()
        self.gate.set()
        self.is_down = False
        self.answers_to_lose = 0

    def read(self, key: str) -> Result[VersionedValue | None, PlatformError]:
        self._call()
        if self.is_down:
            return Error(Unavailable("down", sent=False))
        return Ok(self.platform.object_by_key.get(key))

    def create(self, key: str, value: bytes) -> Result[int, PlatformError]:
        return self._write(key, value, 0)

    def update(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, PlatformError]:
        return self._write(key, value, version)

    def delete(self, key: str, *, version: int) -> Result[None, PlatformError]:
        raise AssertionError(key, version)

    def keys(self, prefix: str) -> Result[tuple[str, ...], PlatformError]:
        raise AssertionError(prefix)

    def watch(
        self, key: str, *, after: int, timeout_s: float
    ) -> Result[VersionedValue | None, PlatformError]:
        raise AssertionError(key, after, timeout_s)

    def instances(self) -> Result[tuple[Instance, ...], PlatformError]:
        self._call()
        if self.is_down:
            return Error(Unavailable("down", sent=False))
        return Ok(self.platform.instance_list)

    def _call(self) -> None:
        self.gate.wait()
        self.platform.calls += 1

    def _write(
        self, key: str, value: bytes, version: int
    ) -> Result[int, PlatformError]:
        self._call()
        if self.is_down:
            return Error(Unavailable("down", sent=False))
        result = self.platform.write(key, value, version)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Error(Unavailable("answer lost", sent=True))
        return result
