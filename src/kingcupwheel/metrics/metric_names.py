"""Names of all statsd metrics, by type.

A metric is sent as ``<prefix>.<process>.<name>``, followed by a dot and a label if its
description says ``by``. ``docs/operators/metrics-and-logs.md`` lists all metrics.
"""

from __future__ import annotations

from enum import StrEnum


class CounterName(StrEnum):
    """Names of counters: how often something happened."""

    REQUESTS = "requests"
    REFUSALS = "refusals"
    RETRIES = "retries"
    RESUMES = "resumes"
    RESENDS = "resends"
    JOINS = "joins"
    CALLERS_LEFT = "callers_left"
    GOAL_MISSES = "goal_misses"
    PLATFORM_CALLS = "platform.calls"
    PLATFORM_ERRORS = "platform.errors"
    CLAIMS = "claims"
    MANIFESTS_ADOPTED = "manifests_adopted"
    RUNS = "runs"
    ATTEMPTS_LOST = "attempts_lost"
    TRACE_EVENTS_LOST = "trace.events_lost"


class GaugeName(StrEnum):
    """Names of gauges: current values."""

    MANIFEST_VERSION = "manifest_version"
    TRACE_BYTES_WAITING = "trace.bytes_waiting"


class TimerName(StrEnum):
    """Names of timers, whose values are sent in milliseconds."""

    FIRST_BYTE = "first_byte"
    QUEUE_WAIT = "queue_wait"
    TOKEN_GAP = "token_gap"
    PLATFORM_CALL = "platform.call"


MetricName = CounterName | GaugeName | TimerName

DESCRIPTION_BY_METRIC: dict[MetricName, str] = {
    CounterName.REQUESTS: "Requests with a final outcome, by outcome.",
    CounterName.REFUSALS: "Requests refused, by limit.",
    CounterName.RETRIES: "Further attempts.",
    CounterName.RESUMES: "Attempts taken up again over a new link.",
    CounterName.RESENDS: "Further sends of requests to the same server.",
    CounterName.JOINS: "Resends joined to an earlier request.",
    CounterName.CALLERS_LEFT: "Callers that left before the end.",
    CounterName.GOAL_MISSES: "Events that missed a service-level goal, by indicator.",
    CounterName.PLATFORM_CALLS: "Calls to the platform's service, by kind.",
    CounterName.PLATFORM_ERRORS: "Calls to it that failed, by kind.",
    CounterName.CLAIMS: "Claims made, found or moved.",
    CounterName.MANIFESTS_ADOPTED: "Manifests that came into force.",
    CounterName.RUNS: "Attempts that ended at an agent, by outcome.",
    CounterName.ATTEMPTS_LOST: "Attempts that ran on a backend server when it died.",
    CounterName.TRACE_EVENTS_LOST: "Trace events that found no room.",
    GaugeName.MANIFEST_VERSION: "Manifest version in force.",
    GaugeName.TRACE_BYTES_WAITING: "Bytes of trace events that wait for the platform.",
    TimerName.FIRST_BYTE: "From arrival to the first byte of the answer.",
    TimerName.QUEUE_WAIT: "Wait for a place.",
    TimerName.TOKEN_GAP: "Longest gap between two chunks of one answer.",
    TimerName.PLATFORM_CALL: "One call to the platform's service, watches left out.",
}
