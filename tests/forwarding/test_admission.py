from __future__ import annotations

from kingcupwheel.entry.exceptions import BodyMemoryError
from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.entry.refusals import build_body_memory_refusal
from kingcupwheel.forwarding.admission import admit_request
from kingcupwheel.forwarding.requests import ForwardRequest
from tests.forwarding.builders import configuration
from tests.forwarding.builders import configuration_snapshot
from tests.forwarding.builders import received_request
from tests.forwarding.builders import route


def test_longest_matching_prefix_selects_the_route() -> None:
    longer = route(Name="longer", PathPrefix="/plain/deep/", Service="other")
    found = configuration(Routes=[route(), longer])

    request = admit_request(
        received_request("/plain/deep/x?q=1"),
        configuration_snapshot(configuration=found),
    )

    assert isinstance(request, ForwardRequest)
    assert request.route.name == "longer"
    assert request.organisation == "org"


def test_outdated_configuration_refuses_requests_with_a_key() -> None:
    """Guards against accepting a revoked key at an entry without access to the store.

    The caller is told at once that the request has not run, and retries elsewhere.
    """
    refusal = admit_request(received_request(), configuration_snapshot(age_s=4.0))

    assert isinstance(refusal, Refusal)
    assert (refusal.status, refusal.reason) == (503, "configuration-too-old")
    assert refusal.retry_after_s > 0


def test_outdated_configuration_does_not_deny_an_unknown_route() -> None:
    """Guards against a 404 for a new route at an entry without access to the store."""
    recent = admit_request(
        received_request("/unknown/x"), configuration_snapshot(age_s=0.5)
    )
    outdated = admit_request(
        received_request("/unknown/x"), configuration_snapshot(age_s=9.0)
    )

    assert isinstance(recent, Refusal)
    assert recent.status == 404
    assert isinstance(outdated, Refusal)
    assert outdated.status == 503


def test_unknown_key_is_denied() -> None:
    refusal = admit_request(
        received_request(authorization="Bearer nobody"), configuration_snapshot()
    )

    assert isinstance(refusal, Refusal)
    assert refusal.status == 401


def test_anonymous_route_needs_neither_key_nor_recent_configuration() -> None:
    found = configuration(Routes=[route(Anonymous=True)])

    request = admit_request(
        received_request(authorization=""),
        configuration_snapshot(age_s=30.0, configuration=found),
    )

    assert isinstance(request, ForwardRequest)
    assert request.organisation == ""


def test_missing_configuration_denies_nothing() -> None:
    refusal = admit_request(
        received_request(), configuration_snapshot(configuration=None)
    )

    assert isinstance(refusal, Refusal)
    assert refusal.status == 503


def test_shorter_of_caller_timeout_and_route_timeout_applies() -> None:
    long_timeout = admit_request(
        received_request(x_deadline_ms="5000"), configuration_snapshot()
    )
    short_timeout = admit_request(
        received_request(x_deadline_ms="300"), configuration_snapshot()
    )

    assert isinstance(long_timeout, ForwardRequest)
    assert isinstance(short_timeout, ForwardRequest)
    assert 100.7 < long_timeout.deadlines.deadline_at < 100.8
    assert 100.2 < short_timeout.deadlines.deadline_at < 100.3


def test_body_that_ended_early_is_not_forwarded() -> None:
    """Guards against a run of half a request.

    The caller's connection ends in the middle of the body, and the HTTP server hands
    over the bytes that arrived. Sent on with their own length, they look complete to
    the server, which runs them before the caller's close is noticed.
    """
    cut = received_request("/once/x", content_length="10", body=b"abc")
    uncut = received_request("/once/x", content_length="10", body=b"0123456789")

    refusal = admit_request(cut, configuration_snapshot())
    whole = admit_request(uncut, configuration_snapshot())

    assert refusal == CALLER_LEFT
    assert isinstance(whole, ForwardRequest)


def test_request_whose_chunks_are_broken_off_is_not_forwarded() -> None:
    """Guards against a run of a request whose end the HTTP server has not seen."""
    cut = received_request("/once/x")._replace(body_refusal=CALLER_LEFT)

    assert admit_request(cut, configuration_snapshot()) == CALLER_LEFT


def test_body_without_memory_is_refused_unless_the_caller_is_denied() -> None:
    """Guards against callers that come again although they will always be denied."""
    error = BodyMemoryError(9, used_bytes=5, limit_bytes=8, retry_after_s=0.4)
    refused = build_body_memory_refusal(error)
    known = received_request()._replace(body_refusal=refused)
    unknown = received_request(authorization="Bearer nobody")

    refusal = admit_request(known, configuration_snapshot())
    denial = admit_request(
        unknown._replace(body_refusal=refused), configuration_snapshot()
    )

    assert isinstance(refusal, Refusal)
    assert (refusal.status, refusal.reason) == (503, "body-memory")
    assert 0.4 <= refusal.retry_after_s <= 0.6
    assert isinstance(denial, Refusal)
    assert denial.status == 401
