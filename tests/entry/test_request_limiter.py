from __future__ import annotations

from time import monotonic

from kingcupwheel.decisions.crashed_runs import CORRELATED_CRASH_S
from kingcupwheel.entry.caller_requests import CallerRequest
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.entry.request_limiter import NotQuarantined
from kingcupwheel.entry.request_limiter import RequestLimiter
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.manifest.schema import Route
from kingcupwheel.manifest.schema import ServerGroup
from kingcupwheel.messages.membership import CrashedRunReport
from kingcupwheel.messages.membership import SuspicionReport


def build_request() -> CallerRequest:
    return CallerRequest(
        request_id="r-1",
        organisation=Organisation(name="org", key_digests=()),
        route=Route(path="/status", group="plain"),
        group=ServerGroup(name="plain"),
        method="GET",
        path="/status",
        headers=(),
        body=b"",
        body_digest="",
        fingerprint="fingerprint",
        prefix_key="",
        idempotency_key="",
        is_streamed=False,
        max_tokens=None,
        received_at=monotonic(),
        deadline_s=5.0,
        has_own_deadline=False,
        manifest_version=1,
    )


def report(
    crash_id: int, *, started_age_s: float, ended_age_s: float
) -> SuspicionReport:
    run = CrashedRunReport(crash_id, started_age_s, ended_age_s)
    return SuspicionReport("fingerprint", (run,))


def test_a_request_on_engines_that_died_together_is_not_refused() -> None:
    """Three agents report a popular request as their engines die at the same moment."""
    limiter = RequestLimiter(lambda _: 1.0)
    limiter.record_suspicions(
        report(number, started_age_s=1.0 + CORRELATED_CRASH_S, ended_age_s=0.5)
        for number in range(3)
    )

    assert limiter.check_quarantine(build_request()) == NotQuarantined(is_suspect=True)
    limiter.settle_run(build_request(), 1.0, 1, is_complete=True)
    assert limiter.check_quarantine(build_request()) == NotQuarantined(is_suspect=False)


def test_a_request_that_ended_two_engines_in_turn_is_refused_until_a_trial() -> None:
    """The second engine's run began after the first had died, so the cause is known."""
    limiter = RequestLimiter(lambda _: 1.0)
    limiter.record_suspicions(
        [
            report(1, started_age_s=3.0, ended_age_s=2.0),
            report(2, started_age_s=1.0, ended_age_s=0.5),
        ]
    )

    refusal = limiter.check_quarantine(build_request())

    assert isinstance(refusal, Refusal)
    assert (refusal.status, refusal.reason) == (422, "quarantined")
    assert 0 < refusal.retry_after_s < 60.0
