from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from tools.entry_model import DecisionOptions
from tools.load_scenarios import SCENARIOS
from tools.load_scenarios import Scenario
from tools.load_scenarios import evaluate_scenario
from tools.load_scenarios import run_scenario
from tools.load_scenarios import summarize_outcome


if TYPE_CHECKING:
    from tools.load_model import ModelRequest


PRODUCT = DecisionOptions()
UNPROTECTED = DecisionOptions(has_admission=False, has_fair_queue=False)


def find_scenario(words: str) -> Scenario:
    return next(one for one in SCENARIOS if words in one.name)


def fraction_met(requests: list[ModelRequest]) -> float:
    return sum(one.is_on_time for one in requests) / len(requests)


def test_bursts_within_the_allowance_are_answered_in_time() -> None:
    """Bursts are refused although the allowance is unused at other entries.

    The load rises from half to twice the capacity for three seconds. Nearly all
    requests get their first token in time and the others are refused immediately; an
    equal split of the allowance would refuse many more.
    """
    outcome = evaluate_scenario(find_scenario("bursts"), PRODUCT)
    assert outcome.on_time_fraction > 0.97
    assert outcome.late_fraction < 0.01
    assert (
        evaluate_scenario(
            find_scenario("bursts"), DecisionOptions(has_allowance_lending=False)
        ).on_time_fraction
        < outcome.on_time_fraction - 0.1
    )


def test_a_flood_by_one_organisation_does_not_affect_the_others() -> None:
    """Requests of other organisations wait behind a flood.

    One organisation sends 60 % of the requests, far above its allowance. It gets its
    allowance, and the others are answered as without the flood.
    """
    outcome = evaluate_scenario(find_scenario("floods"), PRODUCT)
    assert outcome.others_on_time_fraction > 0.98
    assert outcome.fairness_index > 0.98
    assert outcome.late_fraction < 0.01
    assert (
        evaluate_scenario(find_scenario("floods"), UNPROTECTED).others_on_time_fraction
        < 0.9
    )


def test_a_slow_server_gets_fewer_requests_and_goals_are_met() -> None:
    """A server that becomes four times slower keeps its share of the requests.

    One of 16 servers slows down at second 10 but still answers; it has to get only a
    small share soon.
    """
    requests, model = run_scenario(find_scenario("slow"), PRODUCT)
    assert summarize_outcome(requests, model).on_time_fraction > 0.985
    late = [one for one in requests if one.arrived_at > 30.0]
    answered = Counter(one.server for one in late)
    assert answered["server-0"] < 0.5 * len(late) / 16


def test_short_requests_are_not_delayed_by_long_ones() -> None:
    requests, _ = run_scenario(find_scenario("mixed"), PRODUCT)
    short = [one for one in requests if one.answer_tokens <= 320]
    assert fraction_met(short) > 0.98


def test_at_saturation_requests_are_answered_or_refused_immediately() -> None:
    """Without limits, every request waits and most answers are late.

    The load is 1.5 times the capacity for a minute, and callers retry twice. Most
    requests are answered in time, and the others are refused on arrival.
    """
    requests, model = run_scenario(find_scenario("saturation"), PRODUCT)
    outcome = summarize_outcome(requests, model)
    unprotected = evaluate_scenario(find_scenario("saturation"), UNPROTECTED)
    assert outcome.goodput_tokens_per_s > 1.8 * unprotected.goodput_tokens_per_s
    assert outcome.late_fraction < 0.12 < 0.6 < unprotected.late_fraction
    assert outcome.fairness_index > 0.97
    refused = [one for one in requests if one.outcome == "refused"]
    at_once = [one for one in refused if one.refused_after_s < 0.05]
    assert len(at_once) == len(refused) > 0

    back = Counter(int(at) for at in model.caller_retry_times)
    mean = len(model.caller_retry_times) / len(back)
    assert max(back.values()) < 3 * mean


def test_a_failed_data_centre_is_avoided_and_used_again() -> None:
    """Requests still go to a failed data centre, or none go to a recovered one.

    A third of the servers is silent from second 20 to 40. Requests on them are lost or
    retried once; a few seconds later the other data centres answer all requests, and
    the recovered servers are used again.
    """
    requests, _ = run_scenario(find_scenario("dead"), PRODUCT)
    assert (
        fraction_met([one for one in requests if 24.0 < one.arrived_at < 40.0]) > 0.97
    )
    assert fraction_met([one for one in requests if one.arrived_at > 40.0]) > 0.97
    back = Counter(one.server for one in requests if one.arrived_at > 50.0)
    assert back["server-1"] > 0.4 * back.total() / 16


def test_servers_that_fail_immediately_do_not_attract_requests() -> None:
    """Servers that fail immediately look idle and attract most requests.

    Ten of 16 servers answer with errors for ten seconds. Not all of them may be
    ejected; those kept get only what the others have no capacity for.
    """
    failing = find_scenario("ten of 16")
    requests, model = run_scenario(failing, PRODUCT)
    outcome = summarize_outcome(requests, model)
    assert outcome.on_time_fraction > 0.87
    assert fraction_met([one for one in requests if one.arrived_at > 31.0]) > 0.98
    assert (
        outcome.on_time_fraction
        > evaluate_scenario(
            failing, DecisionOptions(has_health_tracking=False)
        ).on_time_fraction
        + 0.03
    )
