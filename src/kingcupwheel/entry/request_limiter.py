"""Limits of one entry: allowances, retry budgets and quarantine, under one lock."""

from __future__ import annotations

from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.admission import AdmissionController
from kingcupwheel.decisions.admission import LimitRefusal
from kingcupwheel.decisions.crash_suspects import CrashSuspects
from kingcupwheel.decisions.hashing import stable_fraction
from kingcupwheel.decisions.retry_budget import RetryBudget
from kingcupwheel.decisions.suspicion_status import Held
from kingcupwheel.decisions.suspicion_status import Quarantined
from kingcupwheel.decisions.suspicion_status import Suspect
from kingcupwheel.decisions.suspicion_status import choose_strictest
from kingcupwheel.decisions.work_predictor import DEFAULT_BYTES_PER_TOKEN
from kingcupwheel.decisions.work_predictor import WorkPredictor
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.messages.suspicions import build_suspicion_report
from kingcupwheel.messages.suspicions import read_suspicion_report


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from kingcupwheel.decisions.suspicion_status import SuspicionStatus
    from kingcupwheel.entry.caller_requests import CallerRequest
    from kingcupwheel.manifest.schema import Organisation
    from kingcupwheel.messages.membership import SuspicionReport

# Delay before a caller whose request was not placed retries: about two heartbeats,
# after which a group's state is known anew. Jitter is added so that callers don't
# return at the same time.
_BASE_RETRY_AFTER_S = 2.0

# How long a change is reported to peers. It advances one peer per heartbeat and reaches
# all entries in about five.
_GOSSIP_S = 15.0


class NotQuarantined(NamedTuple):
    """The request may run.

    A crash suspect (``is_suspect``) runs on a server without other suspects.
    """

    is_suspect: bool


class RequestLimiter:
    """Applies the limits that are independent of a group's queue; thread-safe.

    ``get_share`` returns this entry's share of an organisation's allowance, 0 to 1.
    """

    def __init__(self, get_share: Callable[[Organisation], float]) -> None:
        self._get_share = get_share
        self._admission = AdmissionController()
        self._predictor = WorkPredictor()
        self._suspects = CrashSuspects()
        self._retry_budget_by_group: dict[str, RetryBudget] = {}
        self._configured_by_name: dict[str, tuple[Organisation, float]] = {}
        self._lock = Lock()

    def check_quarantine(self, request: CallerRequest) -> NotQuarantined | Refusal:
        """Refuse a request that crashed every server that ran it.

        After a quarantine it runs once, and is refused elsewhere meanwhile.
        """
        keys = request.evidence_keys
        with self._lock:
            now = monotonic()
            status = choose_strictest(
                self._suspects.get_status(key, now) for key in keys
            )
            if isinstance(status, Suspect):
                for key in keys:
                    self._suspects.begin_run(key, now)
        match status:
            case Quarantined():
                return _build_quarantine_refusal(status)
            case Suspect() | Held():
                return NotQuarantined(is_suspect=True)
        return NotQuarantined(is_suspect=False)

    def find_quarantine(self, request: CallerRequest) -> Refusal | None:
        """Return the refusal of a request that was quarantined while it waited."""
        keys = request.evidence_keys
        with self._lock:
            now = monotonic()
            refused = [key for key in keys if self._suspects.is_refused(key, now)]
            if not refused:
                return None
            status = choose_strictest(
                self._suspects.get_status(key, now) for key in refused
            )
        return _build_quarantine_refusal(status)

    def admit(self, request: CallerRequest) -> float | Refusal:
        """Admit a request; return its predicted work in tokens, or a refusal."""
        organisation = request.organisation
        with self._lock:
            now = monotonic()
            self._configure(organisation)
            work = self._predictor.predict(
                organisation.name,
                request.route.path,
                len(request.body),
                request.max_tokens,
            )
            decision = self._admission.admit(organisation.name, work, now)
            if isinstance(decision, LimitRefusal):
                message = f"The organisation's allowance is used up: {decision.detail}"
                return Refusal(429, decision.limit, message, decision.retry_after_s)
            self._get_retry_budget(request.group.name).record_first_attempt(now)
        return work

    def _configure(self, organisation: Organisation) -> None:
        known = self._configured_by_name.get(organisation.name)
        if known is None or known[0] is not organisation:
            share = self._get_share(organisation)
            self._configured_by_name[organisation.name] = (organisation, share)
            self._admission.configure(organisation.name, organisation.allowance, share)

    def register_organisation(self, organisation: Organisation) -> None:
        """Track an organisation that this entry has no request from yet."""
        with self._lock:
            if organisation.name not in self._configured_by_name:
                self._configure(organisation)

    def set_share(self, organisation: Organisation, share: float) -> None:
        """Set this entry's share (0 to 1) of the organisation's allowance."""
        with self._lock:
            known = self._configured_by_name.get(organisation.name)
            if known is not None and known[1] != share:
                self._configured_by_name[organisation.name] = (known[0], share)
                allowance = known[0].allowance
                self._admission.configure(organisation.name, allowance, share)

    def list_demands(self, now: float) -> list[tuple[Organisation, float]]:
        """Return the known organisations with their demand on the allowance."""
        with self._lock:
            return [
                (organisation, self._admission.get_demand(name, now))
                for name, (organisation, _) in self._configured_by_name.items()
            ]

    def remove_organisation(self, organisation: Organisation) -> None:
        """Remove an organisation without recent requests."""
        with self._lock:
            self._configured_by_name.pop(organisation.name, None)
            self._admission.remove_organisation(organisation.name)

    def settle_not_run(self, request: CallerRequest, predicted_work: float) -> None:
        """Settle the allowance of an admitted request that has not run."""
        name = request.organisation.name
        with self._lock:
            self._admission.settle(name, predicted_work, 0.0, monotonic())

    def settle_run(
        self,
        request: CallerRequest,
        predicted_work: float,
        tokens: int,
        *,
        is_complete: bool,
        is_survivor: bool = True,
    ) -> None:
        """Settle the allowance of a request whose answer had about ``tokens`` tokens.

        A request with a complete answer is no crash suspect any more if its server has
        survived it; an error (``is_survivor`` is False) proves no run.
        """
        name = request.organisation.name
        prompt = int(len(request.body) / DEFAULT_BYTES_PER_TOKEN)
        with self._lock:
            self._admission.settle(name, predicted_work, prompt + tokens, monotonic())
            if is_complete:
                self._predictor.record_answer(name, request.route.path, prompt, tokens)
            if is_complete and is_survivor:
                now = monotonic()
                for key in request.evidence_keys:
                    self._suspects.record_success(key, now, now)

    def try_acquire_retry(self, request: CallerRequest) -> bool:
        """Take one retry from the group's budget; return whether it allowed it."""
        with self._lock:
            return self._get_retry_budget(request.group.name).try_acquire(monotonic())

    def _get_retry_budget(self, group: str) -> RetryBudget:
        return self._retry_budget_by_group.setdefault(group, RetryBudget())

    def get_retry_after_s(self, request: CallerRequest) -> float:
        """Return the delay before the caller retries, with jitter by request id."""
        return _BASE_RETRY_AFTER_S * (1.0 + stable_fraction(request.request_id))

    def record_suspicions(self, reports: Iterable[SuspicionReport]) -> None:
        """Record the requests that ran during server crashes.

        Agents and peers report them as soon as they know, so that the time that a
        report takes is neglected.
        """
        now = monotonic()
        records = [read_suspicion_report(one, now, 0.0) for one in reports]
        with self._lock:
            for record in records:
                self._suspects.merge(record, now)

    @property
    def recent_suspicions(self) -> tuple[SuspicionReport, ...]:
        """What has changed recently, to report to peers.

        Reporting it for its whole retention would add kilobytes to every heartbeat for
        ten minutes.
        """
        now = monotonic()
        with self._lock:
            records = self._suspects.list_changed(now - _GOSSIP_S)
        return tuple(build_suspicion_report(record, now) for record in records)


def _build_quarantine_refusal(status: SuspicionStatus) -> Refusal:
    assert isinstance(status, Quarantined), "checked by the caller"
    message = (
        f"Earlier sends of this request, or of others with a part of its prompt, ran, "
        f"and {status.crash_count} backend servers died while they did. This send was "
        "not run."
    )
    return Refusal(422, "quarantined", message, status.remaining_s)
