"""Prometheus metrics of entries and agents, and the endpoint that serves them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from prometheus_client.exposition import generate_latest


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.utils.response_limits import ResponseLimit

# Finest around the latency targets of plain responses (0.2 s) and of first events
# (0.5 s); the last bound is the longest route timeout.
_LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2, 4, 8)
# A map change takes about 0.25 s and is abandoned after 4 s.
_MAP_CHANGE_BUCKETS_S = (0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4)
_QUEUE_WAIT_BUCKETS_S = (0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2)


class EntryMetrics:
    """Metrics of an entry; thread-safe."""

    def __init__(self) -> None:
        registry = CollectorRegistry(auto_describe=False)
        self.registry = registry
        self.answers = Counter(
            "kingcupwheel_answers",
            "Final answers, by service, status and how they ended.",
            ["service", "status", "how"],
            registry=registry,
        )
        self.ended_sends = Counter(
            "kingcupwheel_sends_ended",
            "Sends to servers without an answer to pass on, by what came of them.",
            ["came"],
            registry=registry,
        )
        self.response_limits = _create_limit_counter(registry)
        self.hedges = Counter(
            "kingcupwheel_hedges",
            "Second sends while the first server was late, by how they ended.",
            ["result"],
            registry=registry,
        )
        self.server_notices = Counter(
            "kingcupwheel_server_notices",
            "What servers said of themselves in answers, by kind.",
            ["kind"],
            registry=registry,
        )
        self.limited_sends = Counter(
            "kingcupwheel_limited_sends",
            "Sends to servers with a rate limit: placed or withheld before the send.",
            ["came"],
            registry=registry,
        )
        self.crash_events = Counter(
            "kingcupwheel_crash_suspicions",
            "Runs that ended with their server, and what became of their requests.",
            ["event"],
            registry=registry,
        )
        self.quarantine_seconds = Gauge(
            "kingcupwheel_quarantine_seconds",
            "Time left for which a request or a part of prompts is refused.",
            ["key"],
            registry=registry,
        )
        self.server_rate_limit = Gauge(
            "kingcupwheel_server_rate_limit",
            "Requests per second that a server takes from all entries together.",
            ["server"],
            registry=registry,
        )
        self.server_rate_share = Gauge(
            "kingcupwheel_server_rate_share",
            "Requests per second of a server's limit that this entry may send.",
            ["server"],
            registry=registry,
        )
        self.answer_seconds = Histogram(
            "kingcupwheel_answer_seconds",
            "From a request's arrival to its answer's end.",
            ["service"],
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.queue_wait_seconds = Histogram(
            "kingcupwheel_queue_wait_seconds",
            "Wait for a place on a server.",
            buckets=_QUEUE_WAIT_BUCKETS_S,
            registry=registry,
        )
        self.configuration_age_seconds = Gauge(
            "kingcupwheel_configuration_age_seconds",
            "How long ago the configuration was surely the newest.",
            registry=registry,
        )
        self.configuration_version = Gauge(
            "kingcupwheel_configuration_version",
            "Version of the configuration in force, 0 before the first.",
            registry=registry,
        )
        self.request_body_bytes = Gauge(
            "kingcupwheel_request_body_bytes",
            "Memory of the bodies of requests in progress.",
            registry=registry,
        )
        self.live_entries = Gauge(
            "kingcupwheel_live_entries",
            "Entries that callers are told of.",
            registry=registry,
        )

    def record_answer(self, service: str, status: int, how: str, took_s: float) -> None:
        """Record a final response and its latency."""
        self.answers.labels(service, str(status), how).inc()
        self.answer_seconds.labels(service).observe(took_s)

    def record_response_limit(self, peer: str, limit: ResponseLimit) -> None:
        """Record that a response of a server or of the store exceeded a limit."""
        self.response_limits.labels(peer, limit.value).inc()

    def set_quarantines(self, remaining_s_by_key: Mapping[str, float]) -> None:
        """Show the quarantines in force, and no others."""
        self.quarantine_seconds.clear()
        for key, remaining_s in remaining_s_by_key.items():
            self.quarantine_seconds.labels(key).set(remaining_s)

    def set_rate_limits(self, limits: Iterable[tuple[str, float, float]]) -> None:
        """Replace the limited servers: incarnation, limit and own share."""
        self.server_rate_limit.clear()
        self.server_rate_share.clear()
        for incarnation, limit, share in limits:
            self.server_rate_limit.labels(incarnation).set(limit)
            self.server_rate_share.labels(incarnation).set(share)


class RankMetrics:
    """Metrics of a rank's agent; thread-safe."""

    def __init__(self) -> None:
        registry = CollectorRegistry(auto_describe=False)
        self.registry = registry
        self.orders = Counter(
            "kingcupwheel_rank_orders",
            "Orders given to the server beside the agent, by kind and answer.",
            ["order", "answer"],
            registry=registry,
        )
        self.map_changes = Counter(
            "kingcupwheel_map_changes",
            "Changes of expert maps that this agent coordinated, by their end.",
            ["end"],
            registry=registry,
        )
        self.map_change_seconds = Histogram(
            "kingcupwheel_map_change_seconds",
            "From a change's plan to its release.",
            buckets=_MAP_CHANGE_BUCKETS_S,
            registry=registry,
        )
        self.expert_copies = Counter(
            "kingcupwheel_map_copies",
            "Copies of experts that planned changes asked for.",
            registry=registry,
        )
        self.rank_time_skew = Gauge(
            "kingcupwheel_map_skew",
            "Slowest rank over the mean of all ranks when a change was last planned.",
            registry=registry,
        )
        self.unanswered_requests = Counter(
            "kingcupwheel_agents_silent",
            "Questions that agents of the group left unanswered.",
            registry=registry,
        )
        self.response_limits = _create_limit_counter(registry)

    def record_response_limit(self, peer: str, limit: ResponseLimit) -> None:
        """Record that a response of a rank or of the store exceeded a limit."""
        self.response_limits.labels(peer, limit.value).inc()


def _create_limit_counter(registry: CollectorRegistry) -> Counter:
    return Counter(
        "kingcupwheel_response_limits",
        "Responses of other processes that exceeded a limit, by process and limit.",
        ["peer", "limit"],
        registry=registry,
    )


class MetricsApp:
    """WSGI application that serves a registry as text on every path."""

    def __init__(
        self, registry: CollectorRegistry, refresh: Callable[[], None] | None = None
    ) -> None:
        self._registry = registry
        self._refresh = refresh

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request, after calling ``refresh`` if there is one."""
        if self._refresh is not None:
            self._refresh()
        body = generate_latest(self._registry)
        headers = [
            ("Content-Type", CONTENT_TYPE_LATEST),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return (body,)
