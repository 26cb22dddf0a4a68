"""Every metric that the system sends, by kind.

A name is sent as ``<prefix>.<process>.<name>``, with a dot and one more part where
its description says ``by``. ``docs/operators/metrics-and-logs.md`` lists them all.
"""

from __future__ import annotations

from enum import StrEnum


class Count(StrEnum):
    """Counters: how often something happened."""

    REQUESTS = "requests"
    REFUSALS = "refusals"
    RETRIES = "retries"
    RESUMES = "resumes"
    JOINS = "joins"
    CALLERS_LEFT = "callers_left"
    LINKS_REPLACED = "links_replaced"
    GOAL_MISSES = "goal_misses"
    PLATFORM_CALLS = "platform.calls"
    PLATFORM_ERRORS = "platform.errors"
    CLAIMS = "claims"
    MANIFESTS_ADOPTED = "manifests_adopted"
    RUNS = "runs"
    RUNS_REFUSED = "runs_refused"
    SERVER_DEATHS = "server_deaths"
    MAP_CHANGES = "map_changes"
    TRACE_EVENTS_LOST = "trace.events_lost"


class Level(StrEnum):
    """Gauges: how much there is now."""

    OPEN_REQUESTS = "open_requests"
    QUEUED = "queued"
    LIVE_AGENTS = "live_agents"
    MANIFEST_VERSION = "manifest_version"
    RUNNING = "running"
    ANSWER_BYTES = "answer_bytes"
    TRACE_BYTES_WAITING = "trace.bytes_waiting"
    BUSIEST_RANK = "busiest_rank_ratio"


class Duration(StrEnum):
    """Timers, sent in milliseconds."""

    FIRST_BYTE = "first_byte"
    QUEUE_WAIT = "queue_wait"
    TOKEN_GAP = "token_gap"
    CLAIM = "claim"
    PLATFORM_CALL = "platform.call"
    RUN = "run"
    MAP_PAUSE = "map_pause"


Metric = Count | Level | Duration

DESCRIPTION_BY_METRIC: dict[Metric, str] = {
    Count.REQUESTS: "Requests with a final outcome, by outcome.",
    Count.REFUSALS: "Requests refused, by limit.",
    Count.RETRIES: "Further attempts.",
    Count.RESUMES: "Attempts taken up again over a new link.",
    Count.JOINS: "Resends joined to an earlier request.",
    Count.CALLERS_LEFT: "Callers that left before the end.",
    Count.LINKS_REPLACED: "Links replaced because they went silent.",
    Count.GOAL_MISSES: "Events that missed a service-level goal, by indicator.",
    Count.PLATFORM_CALLS: "Calls to the platform's service.",
    Count.PLATFORM_ERRORS: "Calls to it that failed.",
    Count.CLAIMS: "Claims made or moved.",
    Count.MANIFESTS_ADOPTED: "Manifests that came into force.",
    Count.RUNS: "Attempts handed to the backend server, by outcome.",
    Count.RUNS_REFUSED: "Dispatches that an agent refused, by reason.",
    Count.SERVER_DEATHS: "Deaths of the backend server.",
    Count.MAP_CHANGES: "Expert maps put in force.",
    Count.TRACE_EVENTS_LOST: "Trace events that found no room.",
    Level.OPEN_REQUESTS: "Requests under way.",
    Level.QUEUED: "Requests that wait for a place.",
    Level.LIVE_AGENTS: "Agents heard of lately.",
    Level.MANIFEST_VERSION: "Manifest version in force.",
    Level.RUNNING: "Attempts on the backend server.",
    Level.ANSWER_BYTES: "Bytes of answers not yet acknowledged.",
    Level.TRACE_BYTES_WAITING: "Bytes of trace events that wait for the platform.",
    Level.BUSIEST_RANK: "Load of the busiest rank over the mean, in hundredths.",
    Duration.FIRST_BYTE: "From arrival to the first byte of the answer.",
    Duration.QUEUE_WAIT: "Wait for a place.",
    Duration.TOKEN_GAP: "Longest gap between two chunks of one answer.",
    Duration.CLAIM: "Making a claim.",
    Duration.PLATFORM_CALL: "One call to the platform's service.",
    Duration.RUN: "One attempt on the backend server.",
    Duration.MAP_PAUSE: "Longest pause of a rank for a change of expert map.",
}
