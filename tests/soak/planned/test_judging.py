"""Checks of planned work find each violation and accept only allowed cases."""

from __future__ import annotations

import pytest

from tests.forwarding.fleet import CallerResponse
from tests.soak.planned.callers import KeepAliveCall
from tests.soak.planned.fleet import SHUTDOWN_GRACE_S
from tests.soak.planned.invariants import ServerShutdown
from tests.soak.planned.invariants import find_backoff_violations
from tests.soak.planned.invariants import find_cut_connections
from tests.soak.planned.invariants import find_drain_violations
from tests.soak.planned.invariants import find_dropped_requests
from tests.soak.planned.invariants import find_ended_answers
from tests.soak.planned.invariants import find_lost_requests
from tests.soak.planned.invariants import find_repeated_sends
from tests.soak.planned.invariants import find_unanswered_requests
from tests.soak.planned.records import RequestRecord
from tests.soak.planned.servers import RequestOutcome
from tests.soak.planned.servers import ServerRequest
from tests.soak.processes import ProcessRun


SIGTERM_AT = 100.0
GONE = CallerResponse(0, {}, b"", is_complete=False)
REFUSED = CallerResponse(503, {}, b"", is_complete=True)
PARTIAL_REFUSAL = CallerResponse(503, {}, b"", is_complete=False)
UNKNOWN_OUTCOME = CallerResponse(502, {}, b"", is_complete=True)
LEAVING = {"server-leaving": "1", "x-response-signature": "signed-by-i-1@5"}
CUT_STREAM = CallerResponse(200, {}, b"", is_complete=False)
SERVED = CallerResponse(200, {}, b"", is_complete=True)
TIMED_OUT = CallerResponse(504, {}, b"", is_complete=True)
LEAVING_RESPONSE = CallerResponse(200, LEAVING, b"", is_complete=True)


def build_process_run(
    *, killed_at: float | None = None, ended_at: float | None = None
) -> ProcessRun:
    return ProcessRun(
        0.0, terminated_at=SIGTERM_AT, killed_at=killed_at, ended_at=ended_at
    )


def build_record(
    after_s: float,
    duration_s: float,
    answer: CallerResponse = GONE,
    *requests: ServerRequest,
    process_run: ProcessRun | None = None,
    was_reset: bool = False,
    request_id: str = "c1",
    route: str = "plain",
) -> RequestRecord:
    """Return the record of a call sent ``after_s`` after SIGTERM."""
    at = SIGTERM_AT + after_s
    call = KeepAliveCall(
        id=request_id,
        route=route,
        entry="entry-1",
        connected_at=1.0,
        sent_at=at,
        last_byte_at=at,
        head_read_at=at + duration_s if answer.status else 0.0,
        ended_at=at + duration_s,
        was_reset=was_reset,
        answer=answer,
    )
    return RequestRecord(call, process_run or build_process_run(), requests)


def build_request(
    after_s: float,
    duration_s: float,
    outcome: RequestOutcome,
    *,
    retry_after_s: float = 0.0,
    request_id: str = "c1",
    began_after_s: float = float("inf"),
    due_after_s: float = 1.5,
) -> ServerRequest:
    """Return a server's record; its answer begins and is due so long after arrival."""
    at = SIGTERM_AT + after_s
    return ServerRequest(
        "i-1@5",
        request_id,
        at,
        outcome,
        at + duration_s,
        retry_after_s,
        answer_began_at=at + began_after_s,
        due_at=at + due_after_s,
    )


@pytest.mark.parametrize(
    ("after_s", "duration_s", "outcome", "killed_at", "count"),
    [
        pytest.param(
            0.2, 1.0, RequestOutcome.CALLER_DISCONNECTED, None, 1, id="cut early"
        ),
        pytest.param(
            0.8,
            1.4,
            RequestOutcome.CALLER_DISCONNECTED,
            None,
            0,
            id="sent early, cut late",
        ),
        pytest.param(
            1.0,
            1.2,
            RequestOutcome.CALLER_DISCONNECTED,
            None,
            1,
            id="sent late, cut late",
        ),
        pytest.param(
            -3.0,
            4.0,
            RequestOutcome.CALLER_DISCONNECTED,
            None,
            1,
            id="sent long before",
        ),
        pytest.param(
            0.2, 1.0, RequestOutcome.SERVER_ABORTED, None, 0, id="server aborted"
        ),
        pytest.param(
            -6.0, 8.0, RequestOutcome.CALLER_DISCONNECTED, None, 0, id="timed out"
        ),
        pytest.param(
            0.2, 1.0, RequestOutcome.CALLER_DISCONNECTED, SIGTERM_AT + 1, 0, id="killed"
        ),
    ],
)
def test_an_answer_that_a_stop_cut_is_lost_unless_it_is_excused(
    after_s: float,
    duration_s: float,
    outcome: RequestOutcome,
    killed_at: float | None,
    count: int,
) -> None:
    process_run = build_process_run(killed_at=killed_at)
    record = build_record(
        after_s,
        duration_s,
        GONE,
        build_request(after_s, duration_s, outcome),
        process_run=process_run,
    )

    assert len(find_lost_requests([record])) == count


@pytest.mark.parametrize(
    ("record", "count"),
    [
        pytest.param(build_record(1.0, 0.1, REFUSED), 0, id="refused at once"),
        pytest.param(build_record(1.0, 0.3, REFUSED), 1, id="refused late"),
        pytest.param(
            build_record(0.5, 0.8, REFUSED), 0, id="early, waited in the queue"
        ),
        pytest.param(build_record(0.5, 0.8), 1, id="early, waited for nothing"),
        pytest.param(build_record(1.0, 0.1), 0, id="closed at once"),
        pytest.param(build_record(1.0, 0.6), 1, id="read and closed late"),
        pytest.param(
            build_record(1.0, 0.1, PARTIAL_REFUSAL), 0, id="half a refusal at once"
        ),
        pytest.param(
            build_record(1.0, 0.3, PARTIAL_REFUSAL), 1, id="half a refusal late"
        ),
        pytest.param(
            build_record(1.0, 0.6, was_reset=True), 1, id="reset, process alive"
        ),
        pytest.param(
            build_record(
                1.0,
                0.6,
                was_reset=True,
                process_run=build_process_run(ended_at=SIGTERM_AT + 1.6),
            ),
            0,
            id="unread as the process ends",
        ),
        pytest.param(
            build_record(1.0, 0.1, UNKNOWN_OUTCOME), 1, id="unknown without a cause"
        ),
        pytest.param(build_record(-1.0, 3.0), 0, id="sent before"),
    ],
)
def test_requests_that_a_stopping_entry_does_not_forward_are_refused_at_once(
    record: RequestRecord, count: int
) -> None:
    assert len(find_unanswered_requests([record], [])) == count


def test_an_unknown_outcome_is_allowed_while_a_server_ends() -> None:
    shutdown = ServerShutdown(SIGTERM_AT + 0.99, SIGTERM_AT + 1.05)

    assert (
        find_unanswered_requests([build_record(1.0, 0.1, UNKNOWN_OUTCOME)], [shutdown])
        == []
    )


def test_requests_to_a_leaving_server_are_violations_after_the_drain_delay() -> None:
    process_run = build_process_run()
    noticed = build_record(-9.0, 0.0, LEAVING_RESPONSE, process_run=process_run)
    in_time = build_record(
        -8.1,
        0.1,
        LEAVING_RESPONSE,
        build_request(-8.1, 0.1, RequestOutcome.ANSWERED),
        process_run=process_run,
    )
    late = build_record(
        -7.9,
        0.1,
        LEAVING_RESPONSE,
        build_request(-7.9, 0.1, RequestOutcome.ANSWERED),
        process_run=process_run,
    )
    of_another_process = late._replace(process_run=build_process_run())

    assert find_drain_violations([noticed, in_time]) == []
    assert find_drain_violations([noticed, of_another_process]) == []
    assert len(find_drain_violations([noticed, late])) == 1


def test_a_third_request_during_a_backoff_is_a_violation() -> None:
    process_run = build_process_run()
    rejected = build_request(
        0.0, 0.0, RequestOutcome.REJECTED, retry_after_s=2.0, request_id="c0"
    )
    times = (0.4, 0.6, 1.9, 2.1, 1.0)
    received = [
        build_request(at, 0.0, RequestOutcome.ANSWERED, request_id=f"c{number}")
        for number, at in enumerate(times, start=1)
    ]
    calls = [
        build_record(
            0.0, 0.0, REFUSED, request, process_run=process_run, request_id=request.id
        )
        for request in (rejected, *received)
    ]

    assert find_backoff_violations(calls, [rejected, *received[:4]]) == []
    assert len(find_backoff_violations(calls, [rejected, *received])) == 1


def test_a_cut_connection_without_a_signal_is_a_violation() -> None:
    unsignalled = ProcessRun(started_at=0.0)

    assert (
        len(
            find_cut_connections(
                [build_record(0.0, SHUTDOWN_GRACE_S, process_run=unsignalled)]
            )
        )
        == 1
    )
    assert find_cut_connections([build_record(0.0, SHUTDOWN_GRACE_S)]) == []


ENDED = RequestOutcome.CALLER_DISCONNECTED


@pytest.mark.parametrize(
    ("record", "count"),
    [
        pytest.param(
            build_record(0.0, 1.2, CUT_STREAM, build_request(0.0, 1.2, ENDED)),
            1,
            id="stream cut",
        ),
        pytest.param(
            build_record(0.0, 1.2, UNKNOWN_OUTCOME, build_request(0.0, 1.2, ENDED)),
            1,
            id="own failure instead of an answer",
        ),
        pytest.param(
            build_record(0.0, 1.2, REFUSED, build_request(0.0, 1.2, ENDED)),
            1,
            id="refused after it was ended",
        ),
        pytest.param(
            build_record(
                0.0,
                7.96,
                TIMED_OUT,
                build_request(0.0, 3.6, ENDED, due_after_s=4.8),
                build_request(3.6, 4.36, ENDED, due_after_s=4.8),
            ),
            1,
            id="timed out at another server",
        ),
        pytest.param(
            build_record(
                0.0,
                7.96,
                TIMED_OUT,
                build_request(0.0, 3.6, ENDED, due_after_s=9.0),
                build_request(3.6, 4.36, ENDED, due_after_s=4.8),
            ),
            0,
            id="timed out, not due in time",
        ),
        pytest.param(
            build_record(
                0.0, 7.96, TIMED_OUT, build_request(0.0, 7.96, ENDED, due_after_s=8.1)
            ),
            0,
            id="kept until the deadline",
        ),
        pytest.param(
            build_record(
                0.0,
                1.2,
                UNKNOWN_OUTCOME,
                build_request(0.0, 1.2, RequestOutcome.ANSWERED),
            ),
            1,
            id="own failure despite an answer",
        ),
        pytest.param(
            build_record(
                0.0, 1.2, REFUSED, build_request(0.0, 0.0, RequestOutcome.REJECTED)
            ),
            0,
            id="rejected and refused",
        ),
        pytest.param(
            build_record(0.0, 2.0, SERVED, build_request(0.0, 1.2, ENDED)),
            0,
            id="served by another",
        ),
        pytest.param(
            build_record(
                0.0,
                2.0,
                CUT_STREAM,
                build_request(0.0, 1.2, ENDED),
                build_request(
                    1.1, 0.9, RequestOutcome.SERVER_ABORTED, began_after_s=0.05
                ),
            ),
            0,
            id="another had begun and broke off",
        ),
        pytest.param(
            build_record(
                0.0,
                2.0,
                CUT_STREAM,
                build_request(0.0, 1.2, ENDED),
                build_request(1.2, 0.8, RequestOutcome.SERVER_ABORTED),
            ),
            1,
            id="another had not begun and broke off",
        ),
        pytest.param(
            build_record(
                0.0,
                1.2,
                CUT_STREAM,
                build_request(0.0, 1.2, RequestOutcome.SERVER_ABORTED),
            ),
            0,
            id="the server broke off",
        ),
    ],
)
@pytest.mark.parametrize(
    "process_run",
    [
        pytest.param(ProcessRun(started_at=0.0), id="calm"),
        pytest.param(
            ProcessRun(started_at=0.0, terminated_at=SIGTERM_AT - 1.0), id="stopping"
        ),
    ],
)
def test_ending_a_sound_servers_answer_is_a_violation_unless_another_serves_it(
    record: RequestRecord, count: int, process_run: ProcessRun
) -> None:
    record = record._replace(process_run=process_run)

    assert len(find_ended_answers([record])) == count


@pytest.mark.parametrize(
    ("after_s", "ended_s", "cut_s", "due_s", "count"),
    [
        pytest.param(0.8, 1.4, 1.4, 2.0, 0, id="sent early, ended late"),
        pytest.param(0.8, 1.1, 1.1, 2.0, 1, id="sent early, ended early"),
        pytest.param(0.8, 0.6, 1.4, 1.0, 1, id="due before the end, cut late"),
        pytest.param(0.8, 0.6, 1.4, 2.0, 0, id="due after the end, cut late"),
        pytest.param(1.0, 1.2, 1.2, 2.0, 1, id="sent late, ended late"),
    ],
)
def test_only_the_end_of_the_grace_period_excuses_ending_an_early_answer(
    after_s: float, ended_s: float, cut_s: float, due_s: float, count: int
) -> None:
    request = build_request(after_s, ended_s, ENDED, due_after_s=due_s)

    record = build_record(after_s, cut_s, GONE, request)

    assert len(find_ended_answers([record])) == count


def test_an_answer_that_ends_with_a_killed_entry_is_no_violation() -> None:
    killed = build_process_run(killed_at=SIGTERM_AT + 1.8)
    record = build_record(
        0.8, 1.1, GONE, build_request(0.8, 1.1, ENDED), process_run=killed
    )

    assert find_ended_answers([record]) == []


@pytest.mark.parametrize(
    ("duration_s", "count"),
    [
        pytest.param(1.0, 1, id="cut early"),
        pytest.param(1.8, 0, id="cut in the last share"),
    ],
)
def test_a_rejection_by_a_second_server_does_not_hide_that_the_first_still_ran(
    duration_s: float, count: int
) -> None:
    record = build_record(
        0.4,
        duration_s,
        CUT_STREAM,
        build_request(0.4, duration_s, ENDED),
        build_request(0.9, 0.01, RequestOutcome.REJECTED),
    )

    assert len(find_lost_requests([record])) == count


@pytest.mark.parametrize(
    ("route", "outcomes", "count"),
    [
        pytest.param("once", (ENDED, RequestOutcome.REJECTED), 1, id="ran, rejected"),
        pytest.param(
            "once", (RequestOutcome.REJECTED, RequestOutcome.ANSWERED), 0, id="ran last"
        ),
        pytest.param("plain", (ENDED, RequestOutcome.ANSWERED), 0, id="may run again"),
    ],
)
def test_a_request_that_may_run_once_is_not_sent_again_after_it_has_run(
    route: str, outcomes: tuple[RequestOutcome, RequestOutcome], count: int
) -> None:
    requests = [
        build_request(float(number), 0.5, outcome)
        for number, outcome in enumerate(outcomes)
    ]
    record = build_record(0.0, 2.0, SERVED, *requests, route=route)

    assert len(find_repeated_sends([record])) == count


@pytest.mark.parametrize(
    ("record", "count"),
    [
        pytest.param(build_record(-1.0, 3.0), 1, id="cut"),
        pytest.param(build_record(-1.0, 1.1, REFUSED), 0, id="refused"),
        pytest.param(build_record(-0.1, 0.15), 0, id="closed at once"),
        pytest.param(build_record(-6.0, 8.0), 0, id="timed out"),
        pytest.param(
            build_record(
                -1.0, 3.0, process_run=build_process_run(killed_at=SIGTERM_AT + 1.0)
            ),
            0,
            id="killed",
        ),
        pytest.param(build_record(1.0, 0.6), 0, id="sent after"),
    ],
)
def test_requests_that_wait_when_their_entry_is_stopped_are_answered_or_refused(
    record: RequestRecord, count: int
) -> None:
    assert len(find_dropped_requests([record])) == count
