"""Measures the cost of a manifest by its number of organisations.

``python -m tools.measure_manifest [ORGANISATIONS ...]`` prints a table, by default for
10,750, 21,500 and 43,000 organisations, with the platform stand-in on this machine.
"""

from __future__ import annotations

import sys
import tracemalloc
from hashlib import sha256
from time import perf_counter
from time import process_time
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar

import msgspec
import yaml
from expression import Ok
from expression import Result
from tests.standins.platform import PlatformStandIn

from kingcupwheel.manifest.assembly import AssembledManifest
from kingcupwheel.manifest.assembly import assemble_manifest
from kingcupwheel.manifest.compiled_manifest import CompiledManifest
from kingcupwheel.manifest.loader import load_manifest
from kingcupwheel.manifest.schema import Allowance
from kingcupwheel.manifest.schema import Manifest
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.manifest.schema import Route
from kingcupwheel.manifest.schema import ServerGroup
from kingcupwheel.manifest.shards import INDEX_KEY
from kingcupwheel.manifest.store import ManifestStore
from kingcupwheel.manifest.store import read_object
from kingcupwheel.manifest.synchronizer import ManifestSynchronizer
from kingcupwheel.platform.http import HttpPlatformClient
from kingcupwheel.settings.schema import PlatformSettings


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.manifest.exceptions import FetchError

T = TypeVar("T")

DEFAULT_SIZES = (10_750, 21_500, 43_000)
_MODEL_COUNT = 5
_LOOKUP_COUNT = 20_000
_TIMEOUT_S = 60.0


class CheckCost(NamedTuple):
    """Cost of validating the manifest file; times are processor time."""

    yaml_bytes: int
    check_yaml_s: float
    check_json_s: float


class SubmitCost(NamedTuple):
    """Cost of the first submission of a manifest; ``submit_s`` is wall-clock time."""

    writes: int
    submit_s: float
    shards: int
    shard_mean_bytes: int
    shard_max_bytes: int
    index_bytes: int


class StartCost(NamedTuple):
    """Cost of starting an entry that has no manifest.

    ``start_s`` is the wall-clock time until the manifest is adopted, ``compile_s`` the
    processor time to decode and compile it, and ``memory_bytes`` the memory that it
    holds afterwards.
    """

    start_reads: int
    start_bytes: int
    start_s: float
    compile_s: float
    memory_bytes: int
    lookup_us: float


class ChangeCost(NamedTuple):
    """Cost of changing one organisation, for the submitter and for each process."""

    change_writes: int
    entry_reads: int
    entry_bytes: int
    agent_bytes: int
    change_compile_s: float


class ManifestFigures(NamedTuple):
    """All costs of a manifest of one size."""

    organisations: int
    check: CheckCost
    submit: SubmitCost
    start: StartCost
    change: ChangeCost

    @property
    def by_name(self) -> dict[str, float]:
        """All figures in one dictionary."""
        figures: dict[str, float] = {"organisations": self.organisations}
        for cost in (self.check, self.submit, self.start, self.change):
            figures |= cost._asdict()
        return figures


def build_manifest(organisations: int, *, work_per_s: float = 500.0) -> Manifest:
    """Return a manifest; ``work_per_s`` is the allowance of the first organisation."""
    return Manifest(
        organisations=tuple(
            _build_organisation(index, work_per_s if index == 0 else 500.0 + index % 40)
            for index in range(organisations)
        ),
        groups=tuple(ServerGroup(name=f"model-{n}") for n in range(_MODEL_COUNT)),
        routes=tuple(
            Route(path=f"/model-{n}/v1/completions", group=f"model-{n}")
            for n in range(_MODEL_COUNT)
        ),
    )


def _build_organisation(index: int, work_per_s: float) -> Organisation:
    return Organisation(
        name=f"organisation-{index:05d}",
        key_digests=(sha256(f"key-{index}".encode()).hexdigest(),),
        allowance=Allowance(work_per_s=work_per_s, concurrency=5 + index % 7),
        priority=index % 10,
    )


def measure_sizes(
    sizes: tuple[int, ...] = DEFAULT_SIZES,
) -> tuple[ManifestFigures, ...]:
    """Return the figures of each number of organisations."""
    return tuple(_measure_size(size) for size in sizes)


def main() -> None:
    """Print a row for each figure and a column for each size."""
    sizes = tuple(int(text) for text in sys.argv[1:]) or DEFAULT_SIZES
    columns = [figures.by_name for figures in measure_sizes(sizes)]
    for row, name in enumerate(columns[0]):
        cells = " | ".join(f"{column[name]:,.6g}" for column in columns)
        print(f"| {name} | {cells} |")
        if row == 0:
            print("|---" * (1 + len(columns)) + "|")


class _RecordingSource:
    """Object source that reads from the platform and keeps what it read."""

    def __init__(self, client: HttpPlatformClient) -> None:
        self._client = client
        self.value_by_key: dict[str, bytes] = {}

    def __call__(self, key: str) -> Result[bytes, FetchError]:
        value = read_object(self._client, key)
        if value.is_ok():
            self.value_by_key[key] = value.ok
        return value

    @property
    def total_bytes(self) -> int:
        return sum(len(value) for value in self.value_by_key.values())

    def assemble(self, reuse: AssembledManifest | None = None) -> AssembledManifest:
        return assemble_manifest(self(INDEX_KEY).ok, self, previous=reuse).ok

    def compile_read_objects(
        self, reuse: AssembledManifest | None = None
    ) -> CompiledManifest:
        def read_from_memory(key: str) -> Result[bytes, FetchError]:
            return Ok(self.value_by_key[key])

        return CompiledManifest(
            1,
            assemble_manifest(
                read_from_memory(INDEX_KEY).ok, read_from_memory, previous=reuse
            ).ok,
        )


def _measure_size(size: int) -> ManifestFigures:
    manifest = build_manifest(size)
    with PlatformStandIn() as platform:
        client = HttpPlatformClient(PlatformSettings(url=platform.url))
        check = _measure_check(manifest)
        submit = _measure_submit(client, platform, manifest)
        source = _RecordingSource(client)
        assembly = source.assemble()
        start = _measure_start(client, source)
        changed = build_manifest(size, work_per_s=9.0)
        change = _measure_change(client, platform, changed, assembly)
    return ManifestFigures(size, check, submit, start, change)


def _measure_check(manifest: Manifest) -> CheckCost:
    json = msgspec.json.encode(manifest).decode()
    text = yaml.safe_dump(msgspec.json.decode(json), sort_keys=False)
    return CheckCost(
        yaml_bytes=len(text),
        check_yaml_s=_measure_cpu_s(lambda: load_manifest(text).ok),
        check_json_s=_measure_cpu_s(lambda: load_manifest(json).ok),
    )


def _measure_submit(
    client: HttpPlatformClient, platform: PlatformStandIn, manifest: Manifest
) -> SubmitCost:
    started = perf_counter()
    _submit(client, manifest, "first")
    submit_s = perf_counter() - started
    source = _RecordingSource(client)
    source.assemble()
    index_bytes = len(source.value_by_key.pop(INDEX_KEY))
    sizes = [len(value) for value in source.value_by_key.values()]
    return SubmitCost(
        writes=platform.state.call_counts["write"],
        submit_s=submit_s,
        shards=len(sizes),
        shard_mean_bytes=sum(sizes) // len(sizes),
        shard_max_bytes=max(sizes),
        index_bytes=index_bytes,
    )


def _measure_start(client: HttpPlatformClient, source: _RecordingSource) -> StartCost:
    start_s = _measure_synchronizer_start_s(client)
    compile_s = _measure_cpu_s(source.compile_read_objects)
    tracemalloc.start()
    compiled = source.compile_read_objects()
    compiled_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    keys = [f"key-{index}" for index in range(_LOOKUP_COUNT)]
    lookups_s = _measure_cpu_s(
        lambda: [compiled.find_organisation_by_key(k) for k in keys]
    )
    return StartCost(
        start_reads=len(source.value_by_key),
        start_bytes=source.total_bytes,
        start_s=start_s,
        compile_s=compile_s,
        # A synchronizer keeps the stored values to serve them to peers; here the source
        # holds them.
        memory_bytes=compiled_bytes + source.total_bytes,
        lookup_us=lookups_s / _LOOKUP_COUNT * 1e6,
    )


def _measure_change(
    client: HttpPlatformClient,
    platform: PlatformStandIn,
    changed: Manifest,
    previous: AssembledManifest,
) -> ChangeCost:
    writes_before = platform.state.call_counts["write"]
    _submit(client, changed, "second")
    source = _RecordingSource(client)
    source.assemble(reuse=previous)
    return ChangeCost(
        change_writes=platform.state.call_counts["write"] - writes_before,
        entry_reads=len(source.value_by_key),
        entry_bytes=source.total_bytes,
        agent_bytes=len(source.value_by_key[INDEX_KEY]),
        change_compile_s=_measure_cpu_s(
            lambda: source.compile_read_objects(reuse=previous)
        ),
    )


def _submit(client: HttpPlatformClient, manifest: Manifest, submission: str) -> None:
    store = ManifestStore(client, retry_timeout_s=_TIMEOUT_S)
    result = store.submit(manifest, submission_id=submission)
    if result.is_error():
        raise RuntimeError(str(result.error))


def _measure_synchronizer_start_s(client: HttpPlatformClient) -> float:
    synchronizer = ManifestSynchronizer(
        client,
        fetch_from_peer=lambda _address, _key: Ok(None),
        on_change=lambda _: None,
        watch_s=1.0,
    )
    started = perf_counter()
    synchronizer.start()
    if not synchronizer.wait_for_version(1, _TIMEOUT_S):
        raise TimeoutError("the synchronizer adopted no manifest version")
    duration_s = perf_counter() - started
    synchronizer.stop()
    return duration_s


def _measure_cpu_s(action: Callable[[], T]) -> float:
    started = process_time()
    action()
    return process_time() - started


if __name__ == "__main__":
    main()
