"""Measures processor time per decision, and memory by number of organisations."""

from __future__ import annotations

import tracemalloc
from dataclasses import replace
from random import Random
from time import process_time
from typing import TYPE_CHECKING

from kingcupwheel.decisions.admission import AdmissionController
from kingcupwheel.decisions.allowance_shares import PeerShare
from kingcupwheel.decisions.allowance_shares import Share
from kingcupwheel.decisions.allowance_shares import compute_next_share
from kingcupwheel.decisions.candidates import Candidate
from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.decisions.fair_queue import FairQueue
from kingcupwheel.decisions.fair_queue import QueuedRequest
from kingcupwheel.decisions.group_health import GroupHealth
from kingcupwheel.decisions.group_health import ServerLoad
from kingcupwheel.decisions.placement import TwoChoicesPolicy
from kingcupwheel.decisions.subset_selection import Instance
from kingcupwheel.decisions.subset_selection import select_entries
from kingcupwheel.decisions.subset_selection import select_subset
from kingcupwheel.decisions.work_predictor import WorkPredictor
from kingcupwheel.manifest.schema import Allowance
from tools.tables import Table


if TYPE_CHECKING:
    from collections.abc import Callable


CANDIDATE_COUNT = 24
ORGANISATION_COUNTS = (4_300, 43_000)
CALLS_PER_RUN = 1_000
RUN_COUNT = 5


def build_cost_tables() -> list[Table]:
    """Return the tables of processor time and memory."""
    return [_build_time_table(), _build_memory_table()]


def _build_time_table() -> Table:
    entries = tuple(Instance(f"entry-{n}", f"dc-{n % 8}") for n in range(370))
    servers = tuple(Instance(f"server-{n}", f"dc-{n % 8}") for n in range(1_000))
    allowance = Allowance()
    rows = [
        ("admit and finish", _measure_us(_prepare_admission())),
        ("predict and learn", _measure_us(_prepare_prediction())),
        (
            "push and pop, 200 waiting of 50 organisations",
            _measure_us(_prepare_queue()),
        ),
        (f"place, {CANDIDATE_COUNT} candidates", _measure_us(_prepare_placement(""))),
        (
            f"place by prefix, {CANDIDATE_COUNT} candidates",
            _measure_us(_prepare_placement("p")),
        ),
        (f"states of {CANDIDATE_COUNT} servers", _measure_us(_prepare_health_update())),
        ("next share, 2 peers", _measure_us(_prepare_share_update())),
        (
            "entries for an organisation, 370 entries",
            _measure_us(lambda: select_entries("o", entries, allowance, "dc-1"), 50),
        ),
        (
            "subset, 370 entries, 1,000 servers, 8 data centres",
            _measure_us(lambda: select_subset("entry-1", entries, servers, 24), 5),
        ),
    ]
    cells = [(name, f"{cost:,.1f}") for name, cost in rows]
    return Table("Processor time of a decision", ("decision", "microseconds"), cells)


def _measure_us(work: Callable[[], object], repeats: int = CALLS_PER_RUN) -> float:
    """Return the minimum of several means: other load on the machine only adds time."""
    return min(_measure_mean_s(work, repeats) for _ in range(RUN_COUNT)) * 1e6


def _measure_mean_s(work: Callable[[], object], repeats: int) -> float:
    started = process_time()
    for _ in range(repeats):
        work()
    return (process_time() - started) / repeats


def _prepare_admission() -> Callable[[], object]:
    admission = AdmissionController()
    admission.configure("o", Allowance(), 0.5)
    ticks = iter(range(10**9))

    def decide() -> None:
        now = next(ticks) / 10
        admission.admit("o", 100.0, now)
        admission.settle("o", 100.0, 90.0, now)

    return decide


def _prepare_prediction() -> Callable[[], object]:
    predictor = WorkPredictor()

    def decide() -> None:
        predictor.predict("o", "/v1", 1_600, 500)
        predictor.record_answer("o", "/v1", 400, 270, body_bytes=1_600)

    return decide


def _prepare_queue() -> Callable[[], object]:
    queue = FairQueue(512)
    serial = iter(range(10**9))

    def push() -> None:
        number = next(serial)
        name = f"organisation-{number % 50}"
        queue.push(QueuedRequest(f"{number}", name, 5, 600.0, 1e9, 0.0), number / 100)

    for _ in range(200):
        push()

    def decide() -> None:
        push()
        queue.pop(0.0)

    return decide


def _prepare_placement(prefix: str) -> Callable[[], object]:
    template = Candidate(
        "", "dc-0", 16, 8, 0, own_in_flight=2, own_in_flight_at_report=1
    )
    candidates = [
        replace(template, name=f"server-{number}", running=4 + number % 8)
        for number in range(CANDIDATE_COUNT)
    ]
    random = Random(1)
    policy = TwoChoicesPolicy()
    request = PlacementRequest(prefix_key=prefix, work=600.0, data_centre="dc-0")
    return lambda: policy.place(candidates, request, 0.0, random)


def _prepare_health_update() -> Callable[[], object]:
    group = GroupHealth()
    loads = [ServerLoad(f"server-{number}", 8, 16) for number in range(CANDIDATE_COUNT)]
    for load in loads:
        for _ in range(10):
            group.get(load.name).record_success(0.02, 0.0)
    return lambda: group.update_states(loads, 1.0)


def _prepare_share_update() -> Callable[[], object]:
    peers = [PeerShare(0.2, 0.3, wants_more=False, age_s=1.0)] * 2
    return lambda: compute_next_share(Share(0.3), 0.4, peers, 5.0)


def _build_memory_table() -> Table:
    admission_sizes = [
        (count, _measure_admission_bytes(count)) for count in ORGANISATION_COUNTS
    ]
    predictor_sizes = [
        (count, _measure_predictor_bytes(count)) for count in ORGANISATION_COUNTS
    ]
    rows = [
        _format_memory_row("admission", admission_sizes),
        _format_memory_row("prediction", predictor_sizes),
    ]
    size_columns = [f"{count:,} organisations, MB" for count in ORGANISATION_COUNTS]
    return Table("Memory by organisations", ("", *size_columns, "bytes each"), rows)


def _format_memory_row(name: str, sizes: list[tuple[int, int]]) -> tuple[str, ...]:
    (small, small_bytes), (large, large_bytes) = sizes
    bytes_per_organisation = (large_bytes - small_bytes) / (large - small)
    cells = (f"{size / 1e6:.1f}" for size in (small_bytes, large_bytes))
    return (name, *cells, f"{bytes_per_organisation:.0f}")


def _measure_admission_bytes(count: int) -> int:
    def build() -> object:
        admission = AdmissionController()
        allowance = Allowance()
        for number in range(count):
            name = f"organisation-{number}"
            admission.configure(name, allowance, 0.5)
            admission.admit(name, 100.0 + number, 1.0 + number)
        return admission

    return _measure_bytes(build)


def _measure_predictor_bytes(count: int) -> int:
    def build() -> object:
        predictor = WorkPredictor()
        for number in range(count):
            name = f"organisation-{number}"
            answer = 270 + number % 7
            predictor.record_answer(name, "/v1", 400, answer, body_bytes=1_600 + number)
        return predictor

    return _measure_bytes(build)


def _measure_bytes(build: Callable[[], object]) -> int:
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size
