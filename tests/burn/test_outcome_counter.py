from __future__ import annotations

import socket
import time

from kingcupwheel.burn.goals import Indicator
from kingcupwheel.burn.minute_counts import EventCount
from kingcupwheel.entry.outcome_counter import OutcomeCounter
from kingcupwheel.entry.refusals import API_KEY_UNKNOWN
from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.entry.refusals import ENTRY_BUSY
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.metrics.statsd_client import MetricsClient
from kingcupwheel.settings.schema import StatsdSettings
from tests.burn.builders import build_caller_request
from tests.burn.builders import build_counter


def test_entry_outcomes_are_counted_as_burn_and_metrics() -> None:
    """Guards against counting caller errors as bad and against missed failures.

    The answers are a late one, a truncated one and one whose caller left; the refusals
    are for a busy entry, a bad key and a caller that left before placement.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.bind(("127.0.0.1", 0))
        udp.settimeout(10)
        settings = StatsdSettings(host="127.0.0.1", port=udp.getsockname()[1])
        counts = build_counter(now=time.time())
        outcome_counter = OutcomeCounter(
            counts, MetricsClient(settings, process="entry-1")
        )
        request = build_caller_request()
        outcome_counter.count_answer(
            request,
            server="agent-1",
            outcome=Outcome.RAN,
            status=200,
            first_byte_s=2.0,
            gaps_s=(0.02, 0.05),
            caller_left=False,
        )
        for caller_left in (False, True):
            outcome_counter.count_answer(
                request,
                server="agent-1",
                outcome=Outcome.UNKNOWN,
                status=200,
                first_byte_s=None,
                gaps_s=(),
                caller_left=caller_left,
            )
        for refusal in (ENTRY_BUSY, API_KEY_UNKNOWN, CALLER_LEFT):
            outcome_counter.count_refusal(request, refusal)
        sent = [udp.recv(512).decode() for _ in range(17)]

    windows = {
        counts.indicator: EventCount(*counts.windows[0])
        for counts in counts.build_counts(now=time.time()).scopes[0].indicators
    }
    assert windows[Indicator.AVAILABILITY] == EventCount(3, 2)
    assert windows[Indicator.FIRST_TOKEN] == EventCount(1, 1)
    assert windows[Indicator.TOKEN_GAP] == EventCount(2, 1)
    names = [line.removeprefix("kingcupwheel.entry-1.") for line in sent]
    assert names.count("requests.not-run:1|c") == 3
    assert names.count("goal_misses.availability:1|c") == 2
    assert names.count("callers_left:1|c") == 2
    assert "refusals.entry-busy:1|c" in names
