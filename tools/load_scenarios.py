"""Load and failure scenarios for the load model, and their outcomes for callers."""

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


SERVER_COUNT = 16
SERVER_CAPACITY = 16
# A batch of 16 requests takes 26 ms a step; a request takes 270 + 20 steps on average.
REQUESTS_PER_S = SERVER_COUNT * SERVER_CAPACITY / (0.026 * 290)
ORGANISATIONS = tuple(f"organisation-{number}" for number in range(10))
FLOODING_ORGANISATION = ORGANISATIONS[0]
DURATION_S = 60.0
MEAN_PROMPT_TOKENS = 400
MEAN_ANSWER_TOKENS = 270


class AnswerLengths(NamedTuple):
    """Mean answer lengths; ``long_fraction`` of the requests have the long one."""

    short_tokens: int = MEAN_ANSWER_TOKENS
    long_tokens: int = MEAN_ANSWER_TOKENS
    long_fraction: float = 0.0


@dataclass(frozen=True)
class Scenario:
    """A load and the failures during it.

    ``load_fraction`` is relative to the servers' capacity; ``flood_fraction`` of the
    requests come from one organisation; ``burst_factor`` multiplies the load for 3 s in
    every 15; ``events`` change the model at their times.
    """

    name: str
    load_fraction: float
    flood_fraction: float = 0.1
    burst_factor: float = 1.0
    answer_lengths: AnswerLengths = AnswerLengths()
    prefix_count: int = 0
    max_caller_retries: int = 0
    deadline_s: float = 3.0
    entry_count: int = 7
    events: tuple[Event, ...] = ()


class ScenarioOutcome(NamedTuple):
    """The outcome of a scenario for its callers.

    A call is on time if it was answered completely with its first token by its
    deadline. ``others_on_time_fraction`` leaves out the flooding organisation;
    ``goodput_tokens_per_s`` counts the calls on time; ``fairness_index`` is Jain's
    index of the organisations' work on time relative to their max-min fair shares;
    ``first_token_p95_s`` is the 95th percentile of the time to the first token of
    answered calls and ``token_gap_p95_ms`` that of the time between tokens;
    ``late_fraction`` is the fraction of calls that waited without being answered on
    time.
    """

    on_time_fraction: float
    others_on_time_fraction: float
    goodput_tokens_per_s: float
    fairness_index: float
    first_token_p95_s: float
    token_gap_p95_ms: float
    refused_fraction: float
    late_fraction: float
    retry_count: int


def build_servers(count: int = SERVER_COUNT) -> list[ModelServer]:
    """Return servers spread over three data centres."""
    return [
        ModelServer(f"server-{number}", f"dc-{number % 3}", SERVER_CAPACITY)
        for number in range(count)
    ]


def build_requests(scenario: Scenario, seed: int) -> list[ModelRequest]:
    """Return calls with exponential interarrival times and lengths.

    Answers are limited to four times the mean length.
    """
    rng = Random(seed)
    lengths = scenario.answer_lengths
    mean = (
        lengths.short_tokens
        + (lengths.long_tokens - lengths.short_tokens) * lengths.long_fraction
    )
    rate = (
        scenario.load_fraction
        * REQUESTS_PER_S
        * (MEAN_ANSWER_TOKENS + 20)
        / (mean + 20)
    )
    requests = []
    arrived_at = 2.0
    while arrived_at < DURATION_S:
        is_burst = arrived_at % 15.0 > 12.0
        arrived_at += rng.expovariate(
            rate * (scenario.burst_factor if is_burst else 1.0)
        )
        is_flooding = rng.random() < scenario.flood_fraction
        organisation = (
            FLOODING_ORGANISATION if is_flooding else rng.choice(ORGANISATIONS[1:])
        )
        is_long = rng.random() < lengths.long_fraction
        answer = lengths.long_tokens if is_long else lengths.short_tokens
        prefix = f"{int(scenario.prefix_count * rng.random() ** 2)}"
        requests.append(
            ModelRequest(
                arrived_at,
                organisation,
                1 + int(rng.expovariate(1 / MEAN_PROMPT_TOKENS)),
                1 + min(4 * answer, int(rng.expovariate(1 / answer))),
                scenario.deadline_s,
                prefix if scenario.prefix_count else "",
                scenario.max_caller_retries,
            )
        )
    return requests


def build_allowances() -> dict[str, Allowance]:
    """Return equal allowances that add up to 1.5 times the capacity."""
    tokens_per_s = REQUESTS_PER_S * (MEAN_PROMPT_TOKENS + MEAN_ANSWER_TOKENS)
    work_per_s = 1.5 * tokens_per_s / len(ORGANISATIONS)
    return {
        name: Allowance(work_per_s=work_per_s, burst=5 * work_per_s, concurrency=64)
        for name in ORGANISATIONS
    }


def run_scenario(
    scenario: Scenario, options: DecisionOptions, seed: int = 1
) -> tuple[list[ModelRequest], LoadModel]:
    """Run a scenario until its calls have ended; return the calls and the model."""
    model = LoadModel(
        options,
        build_servers(),
        entries=scenario.entry_count,
        seed=seed,
        allowance_by_organisation=build_allowances(),
    )
    requests = build_requests(scenario, seed)
    model.run(requests, DURATION_S + 30.0, scenario.events)
    return requests, model


def evaluate_scenario(
    scenario: Scenario, options: DecisionOptions, seed: int = 1
) -> ScenarioOutcome:
    """Run a scenario and return its outcome."""
    return summarize_outcome(*run_scenario(scenario, options, seed))


def summarize_outcome(
    requests: Sequence[ModelRequest], model: LoadModel
) -> ScenarioOutcome:
    """Return the outcome of a run's calls."""
    answered = [request for request in requests if request.outcome == "answered"]
    ends = Counter(request.outcome for request in requests)
    others = [
        request for request in requests if request.organisation != FLOODING_ORGANISATION
    ]
    return ScenarioOutcome(
        _compute_on_time_fraction(requests),
        _compute_on_time_fraction(others),
        sum(request.work for request in requests if request.is_on_time) / DURATION_S,
        compute_fairness_index(requests),
        percentile(
            [
                (request.first_token_at or 0.0) - request.arrived_at
                for request in answered
            ],
            0.95,
        ),
        1000 * percentile([request.token_gap_s for request in answered], 0.95),
        ends["refused"] / len(requests),
        sum(_is_late(request) for request in requests) / len(requests),
        sum(entry.retry_count for entry in model.entries),
    )


def compute_fairness_index(requests: Sequence[ModelRequest]) -> float:
    """Return Jain's index of the work on time relative to max-min fair shares."""
    work_by_name: Counter[str] = Counter()
    on_time_work_by_name: Counter[str] = Counter()
    for request in requests:
        work_by_name[request.organisation] += request.work
        on_time_work_by_name[request.organisation] += (
            request.work if request.is_on_time else 0
        )
    fair_share_by_name = compute_max_min_shares(
        dict(work_by_name), float(on_time_work_by_name.total())
    )
    normalized_work = [
        on_time_work_by_name[name] / fair_share_by_name[name]
        for name in work_by_name
        if fair_share_by_name[name] > 0.0
    ]
    squares = sum(work * work for work in normalized_work)
    return (
        sum(normalized_work) ** 2 / (len(normalized_work) * squares) if squares else 0.0
    )


def compute_max_min_shares(
    work_by_name: dict[str, int], total: float
) -> dict[str, float]:
    """Return max-min fair shares of ``total`` by name, each at most the demand."""
    share_by_name: dict[str, float] = {}
    remaining = total
    for number, name in enumerate(
        sorted(work_by_name, key=lambda name: work_by_name[name])
    ):
        share_by_name[name] = min(
            work_by_name[name], remaining / (len(work_by_name) - number)
        )
        remaining -= share_by_name[name]
    return share_by_name


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the percentile at ``fraction``; 0 without values."""
    ordered = sorted(values)
    return ordered[int(fraction * (len(ordered) - 1))] if ordered else 0.0


def _compute_on_time_fraction(requests: Sequence[ModelRequest]) -> float:
    return sum(request.is_on_time for request in requests) / max(1, len(requests))


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


def _slow_first_server(model: LoadModel) -> None:
    model.servers[0].slowdown_factor = 4.0


def _report_first_server_idle(model: LoadModel) -> None:
    model.servers[0].is_reporting_idle = True


def _fail_first_server(model: LoadModel) -> None:
    model.servers[0].is_failing = True


def _fail_ten_servers(model: LoadModel) -> None:
    for server in model.servers[:10]:
        server.is_failing = True


def _repair_servers(model: LoadModel) -> None:
    for server in model.servers:
        server.is_failing = False


SCENARIOS = (
    Scenario("steady, 70% load", 0.7),
    Scenario("steady, 70% load, 28 entries", 0.7, entry_count=28),
    Scenario("bursts, 50% load, 4x for 3 s", 0.5, burst_factor=4.0),
    Scenario("one floods, 130% load", 1.3, flood_fraction=0.6),
    Scenario(
        "one slow server (4x), 70% load", 0.7, events=((10.0, _slow_first_server),)
    ),
    Scenario(
        "one server always reports idle, 70% load",
        0.7,
        events=((10.0, _report_first_server_idle),),
    ),
    Scenario(
        "long and short mixed, 80% load",
        0.8,
        answer_lengths=AnswerLengths(80, 2000, 0.1),
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
    Scenario(
        "one server fails at once, 70% load", 0.7, events=((10.0, _fail_first_server),)
    ),
    Scenario(
        "ten of 16 fail for 10 s, 30% load",
        0.3,
        events=((20.0, _fail_ten_servers), (30.0, _repair_servers)),
    ),
    Scenario("40 prefixes, 70% load", 0.7, prefix_count=40),
)
