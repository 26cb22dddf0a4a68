from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.admission import LimitRefusal
from kingcupwheel.decisions.fair_queue import MAX_WAIT_S
from kingcupwheel.decisions.fair_queue import Enqueued
from kingcupwheel.decisions.fair_queue import FairQueue
from tests.decisions.builders import build_request


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["push", "pop", "remove", "wait"]),
        st.integers(0, 20),
        st.sampled_from(["retazo", "agencia", "portal"]),
        st.integers(0, 9),
        st.floats(1.0, 5000.0),
    ),
    max_size=80,
)


@given(OPERATIONS)
def test_every_queued_request_leaves_exactly_once_and_the_bound_holds(
    operations: list[tuple[str, int, str, int, float]],
) -> None:
    queue = FairQueue(10)
    left: Counter[str] = Counter()
    queued: set[str] = set()
    now = 0.0
    for serial, (kind, number, organisation, priority, work) in enumerate(operations):
        if kind == "push":
            request = build_request(
                f"{serial}",
                organisation,
                priority=priority,
                work=work,
                deadline_at=now + number,
            )
            if isinstance(queue.push(request, now), Enqueued):
                queued.add(request.request_id)
        elif kind == "remove" and (removed := queue.remove(f"{number}", now)):
            left[removed.request_id] += 1
        elif kind == "pop" and (popped := queue.pop(now)):
            left[popped.request_id] += 1
            assert popped.deadline_at > now
        elif kind == "wait":
            now += number / 4
        left.update(one.request_id for one in queue.take_expired(now))
        assert len(queue) <= 10
    while popped := queue.pop(now):
        left[popped.request_id] += 1
    left.update(one.request_id for one in queue.take_expired(now))
    assert left == Counter(queued)


def test_a_flood_leaves_slots_and_turns_for_other_organisations() -> None:
    queue = FairQueue(100)
    flood = [queue.push(build_request(f"f{n}", "flood"), 0.0) for n in range(200)]
    refused = [one for one in flood if isinstance(one, LimitRefusal)]
    assert len(refused) > 100
    assert refused[0].limit == "queue"

    for number in range(10):
        pushed = queue.push(build_request(f"s{number}", "small"), 0.0)
        assert isinstance(pushed, Enqueued)
    first = [queue.pop(0.0) for _ in range(24)]
    served = Counter(one.organisation for one in first if one)
    assert served["small"] == 10


def test_work_is_shared_by_weight_and_no_priority_starves() -> None:
    queue = FairQueue(2000)
    for number in range(400):
        queue.push(build_request(f"h{number}", "high", priority=9, work=300.0), 0.0)
        queue.push(build_request(f"l{number}", "low", priority=0, work=30.0), 0.0)

    first = [queue.pop(0.0) for _ in range(200)]

    work: Counter[str] = Counter()
    for one in first:
        assert one is not None
        work[one.organisation] += int(one.work)
    assert 8.0 < work["high"] / work["low"] < 12.0


def test_requests_that_would_miss_their_deadline_are_refused_with_jitter() -> None:
    """A request waits in vain for a queue that cannot drain before its deadline.

    The group drains one request per second and forty are queued. Requests with a
    deadline in 10 s are refused immediately, with different Retry-After times.
    """
    queue = FairQueue(100)
    for number in range(50):
        queue.push(build_request(f"w{number}", f"organisation-{number}"), 0.0)
    for second in range(1, 11):
        queue.pop(float(second))

    refused = [
        queue.push(
            build_request(f"l{number}", "late", work=5000.0, deadline_at=20.0), 10.0
        )
        for number in range(20)
    ]

    times = [one.retry_after_s for one in refused if isinstance(one, LimitRefusal)]
    assert len(times) == 20
    assert max(times) - min(times) > 0.5 * min(times)


def test_a_long_request_is_not_refused_because_many_short_ones_wait() -> None:
    queue = FairQueue(200)
    for number in range(80):
        queue.push(build_request(f"w{number}", f"organisation-{number}"), 0.0)
    for hundredth in range(1, 61):
        queue.pop(hundredth / 100)

    long = build_request("long", "newcomer", work=5000.0, deadline_at=30.0)
    assert isinstance(queue.push(long, 0.6), Enqueued)


def test_long_deadlines_do_not_make_the_queue_long() -> None:
    """With long deadlines the queue grows, although the servers do no more work.

    The group drains two requests per second, and deadlines are far away.
    """
    queue = FairQueue(500)
    waits = []
    for tenth in range(200):
        if tenth % 5 == 0:
            queue.pop(tenth / 10)
        request = build_request(f"{tenth}", f"o{tenth % 7}", deadline_at=1000.0)
        pushed = queue.push(request._replace(queued_at=tenth / 10), tenth / 10)
        if isinstance(pushed, Enqueued):
            waits.append(pushed.predicted_wait_s)
    assert max(waits) <= MAX_WAIT_S
    assert 2 <= len(queue) <= 40


def test_a_stalled_drain_is_detected_without_any_dequeue() -> None:
    queue = FairQueue(100)
    for number in range(20):
        queue.push(build_request(f"w{number}"), 0.0)
    for second in range(1, 11):
        queue.pop(second / 10)
    patient = queue.push(build_request("a", deadline_at=4.0), 1.0)
    assert isinstance(patient, Enqueued)

    stalled = queue.push(build_request("b", deadline_at=33.0), 30.0)
    assert isinstance(stalled, LimitRefusal)
