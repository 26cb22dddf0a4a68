"""Loads and failures for the model, and what callers got."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.manifest.schema import Allowance
from tools.load_model import LoadModel
from tools.load_model import ModelRequest
from tools.load_model import ModelServer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from tools.entry_model import DecisionOptions

    Event = tuple[float, Callable[[LoadModel], None]]


SERVERS = 16
CAPACITY = 16
# Sixteen requests in a batch of 26 ms, a mean of 270 + 20 steps each.
REQUESTS_PER_S = SERVERS * CAPACITY / (0.026 * 290)
ORGANISATIONS = tuple(f"organisation-{number}" for number in range(10))
FLOODING = ORGANISATIONS[0]
DURATION_S = 60.0
PROMPT_TOKENS = 400
ANSWER_TOKENS = 270


class AnswerLengths(NamedTuple):
    """Mean tokens of an answer: ``long_part`` of the requests have ``long`` ones."""

    short_tokens: int = ANSWER_TOKENS
    long_tokens: int = ANSWER_TOKENS
    long_fraction: float = 0.0


@dataclass(frozen=True)
class Scenario:
    """A load as a share of the servers' capacity, and what fails when.

    ``flood`` is the share of requests that come from one organisation;
    ``burst_factor`` multiplies the load for 3 s in every 15.
    """

    name: str
    load_fraction: float
    flood_fraction: float = 0.1
    burst_factor: float = 1.0
    lengths: AnswerLengths = AnswerLengths()
    prefix_count: int = 0
    max_caller_retries: int = 0
    deadline_s: float = 3.0
    entry_count: int = 7
    events: tuple[Event, ...] = ()


class ScenarioOutcome(NamedTuple):
    """What callers got.

    ``met`` is the share of calls answered whole with the first token in time,
    ``others_met`` that of all organisations but the flooding one; ``goodput`` the
    tokens per second of calls met; ``fairness`` Jain's index over organisations of the
    work met against their max-min fair part; ``first_p95_s`` the 95th percentile of the
    time to the first token of answered calls, ``gap_p95_ms`` between tokens;
    ``refused`` the share refused, ``told_late`` the share that waited in vain.
    """

    on_time_fraction: float
    others_on_time_fraction: float
    goodput_tokens_per_s: float
    fairness_index: float
    first_p95_s: float
    gap_p95_ms: float
    refused_fraction: float
    late_fraction: float
    retry_count: int


def build_servers(count: int = SERVERS) -> list[ModelServer]:
    """Return servers spread over three data centres."""
    return [
        ModelServer(f"server-{number}", f"dc-{number % 3}", CAPACITY)
        for number in range(count)
    ]


def build_requests(scenario: Scenario, seed: int) -> list[ModelRequest]:
    """Return calls with exponential gaps and lengths of up to four times the mean."""
    draw = Random(seed)
    lengths = scenario.lengths
    mean = (
        lengths.short_tokens
        + (lengths.long_tokens - lengths.short_tokens) * lengths.long_fraction
    )
    rate = scenario.load_fraction * REQUESTS_PER_S * (ANSWER_TOKENS + 20) / (mean + 20)
    requests = []
    at = 2.0
    while at < DURATION_S:
        bursting = at % 15.0 > 12.0
        at += draw.expovariate(rate * (scenario.burst_factor if bursting else 1.0))
        flooding = draw.random() < scenario.flood_fraction
        organisation = FLOODING if flooding else draw.choice(ORGANISATIONS[1:])
        is_long = draw.random() < lengths.long_fraction
        answer = lengths.long_tokens if is_long else lengths.short_tokens
        prefix = f"{int(scenario.prefix_count * draw.random() ** 2)}"
        requests.append(
            ModelRequest(
                at,
                organisation,
                1 + int(draw.expovariate(1 / PROMPT_TOKENS)),
                1 + min(4 * answer, int(draw.expovariate(1 / answer))),
                scenario.deadline_s,
                prefix if scenario.prefix_count else "",
                scenario.max_caller_retries,
            )
        )
    return requests


def build_allowances() -> dict[str, Allowance]:
    """Return allowances that together are one and a half times the capacity."""
    tokens_per_s = REQUESTS_PER_S * (PROMPT_TOKENS + ANSWER_TOKENS)
    part = 1.5 * tokens_per_s / len(ORGANISATIONS)
    return {
        name: Allowance(work_per_s=part, burst=5 * part, concurrency=64)
        for name in ORGANISATIONS
    }


def run_scenario(
    scenario: Scenario, setup: DecisionOptions, seed: int = 1
) -> tuple[list[ModelRequest], LoadModel]:
    """Run a scenario to its last answer and return its calls."""
    model = LoadModel(
        setup,
        build_servers(),
        entries=scenario.entry_count,
        seed=seed,
        allowance_by_organisation=build_allowances(),
    )
    requests = build_requests(scenario, seed)
    model.run(requests, DURATION_S + 30.0, scenario.events)
    return requests, model


def evaluate_scenario(
    scenario: Scenario, setup: DecisionOptions, seed: int = 1
) -> ScenarioOutcome:
    """Run a scenario and return what callers got."""
    return summarize_outcome(*run_scenario(scenario, setup, seed))


def summarize_outcome(
    requests: Sequence[ModelRequest], model: LoadModel
) -> ScenarioOutcome:
    """Sum up what callers got."""
    answered = [one for one in requests if one.outcome == "answered"]
    ends = Counter(one.outcome for one in requests)
    others = [one for one in requests if one.organisation != FLOODING]
    return ScenarioOutcome(
        _compute_on_time_fraction(requests),
        _compute_on_time_fraction(others),
        sum(one.work for one in requests if one.is_on_time) / DURATION_S,
        compute_fairness_index(requests),
        percentile([(one.first_at or 0.0) - one.arrived_at for one in answered], 0.95),
        1000 * percentile([one.token_gap_s for one in answered], 0.95),
        ends["refused"] / len(requests),
        sum(_is_late(one) for one in requests) / len(requests),
        sum(entry.retry_count for entry in model.entries),
    )


def compute_fairness_index(requests: Sequence[ModelRequest]) -> float:
    """Return Jain's index of work met over each organisation's max-min fair part."""
    wanted: Counter[str] = Counter()
    met: Counter[str] = Counter()
    for one in requests:
        wanted[one.organisation] += one.work
        met[one.organisation] += one.work if one.is_on_time else 0
    fair = compute_max_min_shares(dict(wanted), float(met.total()))
    parts = [met[name] / fair[name] for name in wanted if fair[name] > 0.0]
    squares = sum(part * part for part in parts)
    return sum(parts) ** 2 / (len(parts) * squares) if squares else 0.0


def compute_max_min_shares(wanted: dict[str, int], total: float) -> dict[str, float]:
    """Share ``total`` so that nobody gets more while another wants and has less."""
    part_by_name: dict[str, float] = {}
    left = total
    for number, name in enumerate(sorted(wanted, key=lambda name: wanted[name])):
        part_by_name[name] = min(wanted[name], left / (len(wanted) - number))
        left -= part_by_name[name]
    return part_by_name


def percentile(values: Sequence[float], part: float) -> float:
    """Return the value that ``part`` of the values do not exceed; 0 for none."""
    ordered = sorted(values)
    return ordered[int(part * (len(ordered) - 1))] if ordered else 0.0


def _compute_on_time_fraction(requests: Sequence[ModelRequest]) -> float:
    return sum(one.is_on_time for one in requests) / max(1, len(requests))


def _is_late(request: ModelRequest) -> bool:
    if request.outcome == "answered":
        return not request.is_on_time
    return request.outcome != "refused" or request.refused_after_s > 0.1


def _set_silent(data_centre: str, *, silent: bool) -> Callable[[LoadModel], None]:
    def change(model: LoadModel) -> None:
        for server in model.servers:
            if server.data_centre == data_centre:
                server.is_silent = silent
                if not silent:
                    server.running.clear()
                    server.queue.clear()
                    server.started_at = model.now

    return change


def _set_slow(model: LoadModel) -> None:
    model.servers[0].slowdown_factor = 4.0


def _set_reporting_idle(model: LoadModel) -> None:
    model.servers[0].is_reporting_idle = True


def _set_failing(model: LoadModel) -> None:
    model.servers[0].is_failing = True


def _set_many_failing(model: LoadModel) -> None:
    for server in model.servers[:10]:
        server.is_failing = True


def _stop_failing(model: LoadModel) -> None:
    for server in model.servers:
        server.is_failing = False


SCENARIOS = (
    Scenario("steady, 70% load", 0.7),
    Scenario("steady, 70% load, 28 entries", 0.7, entry_count=28),
    Scenario("bursts, 50% load, 4x for 3 s", 0.5, burst_factor=4.0),
    Scenario("one floods, 130% load", 1.3, flood_fraction=0.6),
    Scenario("one slow server (4x), 70% load", 0.7, events=((10.0, _set_slow),)),
    Scenario(
        "one server always reports idle, 70% load",
        0.7,
        events=((10.0, _set_reporting_idle),),
    ),
    Scenario(
        "long and short mixed, 80% load", 0.8, lengths=AnswerLengths(80, 2000, 0.1)
    ),
    Scenario("saturation, 150% load", 1.5, max_caller_retries=2),
    Scenario(
        "saturation, 150% load, 30 s patience",
        1.5,
        max_caller_retries=2,
        deadline_s=30.0,
    ),
    Scenario(
        "dead data centre, 55% load",
        0.55,
        events=(
            (20.0, _set_silent("dc-1", silent=True)),
            (40.0, _set_silent("dc-1", silent=False)),
        ),
    ),
    Scenario("one server fails at once, 70% load", 0.7, events=((10.0, _set_failing),)),
    Scenario(
        "ten of 16 fail for 10 s, 30% load",
        0.3,
        events=((20.0, _set_many_failing), (30.0, _stop_failing)),
    ),
    Scenario("40 prefixes, 70% load", 0.7, prefix_count=40),
)
