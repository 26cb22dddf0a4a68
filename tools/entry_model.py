"""The load model's entry, which uses the decision code as the daemon does."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.admission import AdmissionController
from kingcupwheel.decisions.admission import LimitRefusal
from kingcupwheel.decisions.candidates import Candidate
from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.decisions.candidates import SelectedServer
from kingcupwheel.decisions.fair_queue import FairQueue
from kingcupwheel.decisions.fair_queue import QueuedRequest
from kingcupwheel.decisions.first_byte_latency import FirstByteLatencyBound
from kingcupwheel.decisions.group_health import GroupHealth
from kingcupwheel.decisions.group_health import ServerLoad
from kingcupwheel.decisions.retry_budget import RetryBudget
from kingcupwheel.decisions.server_health import ServerState
from kingcupwheel.decisions.work_predictor import WorkPredictor
from kingcupwheel.plugins.registries import placement_policies


if TYPE_CHECKING:
    from kingcupwheel.decisions.allowance_shares import Share
    from tools.load_model import Attempt
    from tools.load_model import LoadModel
    from tools.load_model import ModelRequest
    from tools.load_model import ModelServer


SILENCE_TIMEOUT_S = 3.0
BYTES_PER_TOKEN = 4


class LoadReport(NamedTuple):
    """The load that an agent last reported, at model time ``reported_at``."""

    reported_at: float
    running_count: int
    queued_count: int
    remaining_tokens: float
    tokens_per_s: float


NO_REPORT = LoadReport(0.0, 0, 0, 0.0, 0.0)


@dataclass(frozen=True)
class DecisionOptions:
    """The decision mechanisms in use; the defaults are the product's."""

    policy: str = "two-choices"
    has_admission: bool = True
    has_fair_queue: bool = True
    has_health_tracking: bool = True
    has_allowance_lending: bool = True
    queue_limit: int = 256


class FifoQueue:
    """An unbounded first-in, first-out queue: the baseline without admission."""

    def __init__(self) -> None:
        self._requests: deque[QueuedRequest] = deque()

    def push(self, request: QueuedRequest, now: float) -> None:
        """Append a request."""
        self._requests.append(request)

    def peek(self, now: float) -> QueuedRequest | None:
        """Return the oldest request, None if the queue is empty."""
        return self._requests[0] if self._requests else None

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the oldest request, None if the queue is empty."""
        return self._requests.popleft() if self._requests else None

    def take_expired(self, now: float) -> list[QueuedRequest]:
        """Return an empty list: requests do not expire here."""
        return []


class ModelEntry:
    """An entry with its own decision state and its own view of the servers."""

    def __init__(self, name: str, data_centre: str, model: LoadModel) -> None:
        self.name = name
        self.data_centre = data_centre
        self.model = model
        self.admission = AdmissionController()
        self.queue = FairQueue(model.options.queue_limit)
        if not model.options.has_fair_queue:
            self.queue = FifoQueue()  # type: ignore[assignment]
        self.policy = placement_policies.get(model.options.policy)()
        self.health = GroupHealth()
        self.retry_budget = RetryBudget()
        self.first_token_bound = FirstByteLatencyBound()
        self.predictor = WorkPredictor()
        self.report_by_server: dict[str, LoadReport] = {}
        self.attempts_by_server: dict[str, list[Attempt]] = {
            server.name: [] for server in model.servers
        }
        self.own_in_flight_at_report_by_server = dict.fromkeys(
            self.attempts_by_server, 0
        )
        self.pending_by_request_id: dict[str, tuple[ModelRequest, frozenset[str]]] = {}
        self.request_serial = count()
        self.retry_count = 0
        self.is_placement_due = True
        self.share_by_organisation: dict[str, Share] = {}

    def admit_request(self, request: ModelRequest, now: float) -> None:
        """Queue or refuse an arriving call."""
        request.arrival_count += 1
        work = self.predictor.predict(
            request.organisation, "/", request.prompt_tokens * BYTES_PER_TOKEN, None
        )
        if self.model.options.has_admission:
            decision = self.admission.admit(request.organisation, work, now)
            if isinstance(decision, LimitRefusal):
                self.refuse_request(request, decision, now)
                return
        queued_request = QueuedRequest(
            f"{self.name}.{next(self.request_serial)}",
            request.organisation,
            5,
            work,
            request.arrived_at
            + request.deadline_s
            - self.first_token_bound.bound_s(request.prompt_tokens, request.arrived_at),
            now,
        )
        self._enqueue(request, queued_request, frozenset(), now)

    def _enqueue(
        self,
        request: ModelRequest,
        queued_request: QueuedRequest,
        excluded_servers: frozenset[str],
        now: float,
    ) -> None:
        refusal = self.queue.push(queued_request, now)
        if isinstance(refusal, LimitRefusal):
            self.admission.settle(request.organisation, queued_request.work, 0.0, now)
            self.refuse_request(request, refusal, now)
            return
        self.pending_by_request_id[queued_request.request_id] = (
            request,
            excluded_servers,
        )
        self.is_placement_due = True
        self.place_queued(now)

    def refuse_request(
        self, request: ModelRequest, refusal: LimitRefusal, now: float
    ) -> None:
        """Refuse a call; its caller may retry after the time given."""
        request.outcome = "refused"
        request.refused_after_s = now - request.arrived_at
        if request.arrival_count <= request.max_caller_retries:
            self.model.schedule_caller_retry(request, now + refusal.retry_after_s)

    def place_queued(self, now: float) -> None:
        """Drop expired requests and place queued ones while servers have room."""
        for expired in self.queue.take_expired(now):
            request, _ = self.pending_by_request_id.pop(expired.request_id)
            self.admission.settle(request.organisation, expired.work, 0.0, now)
            request.outcome = "expired"
            request.refused_after_s = now - request.arrived_at
        if not self.is_placement_due or self.queue.peek(now) is None:
            return
        self.is_placement_due = False
        candidates = self._build_candidates(now)
        while (queued_request := self.queue.peek(now)) is not None:
            request, excluded_servers = self.pending_by_request_id[
                queued_request.request_id
            ]
            placement_request = PlacementRequest(
                prefix_key=request.prefix,
                work=queued_request.work,
                excluded_servers=excluded_servers,
                data_centre=self.data_centre,
            )
            placement = self.policy.place(
                list(candidates.values()), placement_request, now, self.model.random
            )
            if not isinstance(placement, SelectedServer):
                return
            self.queue.pop(now)
            del self.pending_by_request_id[queued_request.request_id]
            server = self.model.server_by_name[placement.server]
            attempt = self.model.create_attempt(
                request, queued_request, self, server, excluded_servers
            )
            if not excluded_servers:
                self.retry_budget.record_first_attempt(now)
            self.attempts_by_server[server.name].append(attempt)
            server.queue.append(attempt)
            state = candidates[server.name].state
            candidates[server.name] = self._build_candidate(server, now, state)

    def handle_attempt_end(self, attempt: Attempt, now: float) -> None:
        """Record an ended attempt's result, or retry it if it was lost."""
        own = self.attempts_by_server[attempt.server.name]
        if attempt not in own:
            return
        own.remove(attempt)
        self.is_placement_due = True
        request = attempt.request
        health = self.health.get(attempt.server.name)
        if attempt.is_lost:
            health.record_failure(now)
            self._retry(attempt, now)
            return
        request.outcome = "answered"
        request.server = attempt.server.name
        request.first_token_at = attempt.first_token_at
        begun_at = attempt.first_token_at or now
        self.first_token_bound.record(
            begun_at - attempt.sent_at, request.prompt_tokens, begun_at
        )
        request.token_gap_s = (now - begun_at) / request.answer_tokens
        health.record_success((now - attempt.sent_at) / request.answer_tokens, now)
        self.predictor.record_answer(
            request.organisation,
            "/",
            request.prompt_tokens,
            request.answer_tokens,
            body_bytes=request.prompt_tokens * BYTES_PER_TOKEN,
        )
        self.admission.settle(
            request.organisation, attempt.queued_request.work, request.work, now
        )

    def _retry(self, attempt: Attempt, now: float) -> None:
        request = attempt.request
        has_begun = attempt.first_token_at is not None and attempt.first_token_at <= now
        if (
            not has_begun
            and not attempt.excluded_servers
            and self.retry_budget.try_acquire(now)
        ):
            self.retry_count += 1
            excluded_servers = attempt.excluded_servers | {attempt.server.name}
            retried = attempt.queued_request._replace(queued_at=now)
            self._enqueue(request, retried, excluded_servers, now)
            return
        self.admission.settle(
            request.organisation, attempt.queued_request.work, 0.0, now
        )
        request.outcome = "failed"

    def receive_report(self, server: ModelServer, report: LoadReport) -> None:
        """Store the load report of an agent's heartbeat."""
        self.report_by_server[server.name] = report
        self.own_in_flight_at_report_by_server[server.name] = len(
            self.attempts_by_server[server.name]
        )
        self.is_placement_due = True

    def fail_silent_attempts(self, now: float) -> None:
        """Fail the attempts on servers whose last report is too old."""
        for server in self.model.servers:
            if now - self._get_report(server).reported_at <= SILENCE_TIMEOUT_S:
                continue
            for attempt in list(self.attempts_by_server[server.name]):
                attempt.is_lost = True
                self.handle_attempt_end(attempt, now)

    def _get_report(self, server: ModelServer) -> LoadReport:
        return self.report_by_server.get(server.name, NO_REPORT)

    def _build_candidates(self, now: float) -> dict[str, Candidate]:
        live_servers = [
            server
            for server in self.model.servers
            if now - self._get_report(server).reported_at <= SILENCE_TIMEOUT_S
        ]
        states = dict.fromkeys(
            (server.name for server in live_servers), ServerState.HEALTHY
        )
        if self.model.options.has_health_tracking:
            states = self.health.update_states(
                [self._build_load(server) for server in live_servers], now
            )
        return {
            server.name: self._build_candidate(server, now, states[server.name])
            for server in live_servers
        }

    def _build_load(self, server: ModelServer) -> ServerLoad:
        report = self._get_report(server)
        in_flight = max(
            report.running_count + report.queued_count,
            self._count_own_in_flight(server),
        )
        return ServerLoad(server.name, in_flight, server.capacity)

    def _count_own_in_flight(self, server: ModelServer) -> int:
        return len(self.attempts_by_server[server.name])

    def _build_candidate(
        self, server: ModelServer, now: float, state: ServerState
    ) -> Candidate:
        report = self._get_report(server)
        return Candidate(
            server.name,
            server.data_centre,
            server.capacity,
            report.running_count,
            report.queued_count,
            report.remaining_tokens,
            report.tokens_per_s,
            own_in_flight=self._count_own_in_flight(server),
            report_age_s=now - report.reported_at,
            uptime_s=now - server.started_at,
            state=state,
            own_in_flight_at_report=self.own_in_flight_at_report_by_server[server.name],
        )
