"""What an entry allows: allowances, retry budgets and suspects, under one lock."""

from __future__ import annotations

from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.admission import AdmissionController
from kingcupwheel.decisions.admission import LimitRefusal
from kingcupwheel.decisions.crash_suspects import CrashSuspects
from kingcupwheel.decisions.crash_suspects import Quarantined
from kingcupwheel.decisions.crash_suspects import Suspect
from kingcupwheel.decisions.hashing import stable_fraction
from kingcupwheel.decisions.retry_budget import RetryBudget
from kingcupwheel.decisions.work_predictor import DEFAULT_BYTES_PER_TOKEN
from kingcupwheel.decisions.work_predictor import WorkPredictor
from kingcupwheel.entry.refusals import Refusal


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.entry.caller_requests import CallerRequest
    from kingcupwheel.manifest.schema import Organisation

# How long a caller that found no place is asked to stay away: about two heartbeats, in
# which a group's state is known anew; spread so that callers don't return together.
_BASE_RETRY_AFTER_S = 2.0


class NotQuarantined(NamedTuple):
    """The request may go on; ``suspect`` ones run where no other suspect runs."""

    is_suspect: bool


class RequestLimiter:
    """The decisions that belong to no group's queue; safe from any thread.

    ``share_of`` returns this entry's part of an organisation's allowance, 0 to 1.
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
        """Refuse what crashed every server that ran it."""
        with self._lock:
            status = self._suspects.get_status(request.fingerprint, monotonic())
        match status:
            case Quarantined(deaths, for_s):
                message = (
                    f"Earlier sends of this request ran, and {deaths} backend servers "
                    "died while they did. This send was not run."
                )
                return Refusal(422, "quarantined", message, for_s)
            case Suspect():
                return NotQuarantined(is_suspect=True)
        return NotQuarantined(is_suspect=False)

    def admit(self, request: CallerRequest) -> float | Refusal:
        """Return the predicted work in tokens, or a refusal."""
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
        """Take part in the organisation's allowance without a request of its own."""
        with self._lock:
            if organisation.name not in self._configured_by_name:
                self._configure(organisation)

    def set_share(self, organisation: Organisation, share: float) -> None:
        """Use this part (0 to 1) of the organisation's allowance from now on."""
        with self._lock:
            known = self._configured_by_name.get(organisation.name)
            if known is not None and known[1] != share:
                self._configured_by_name[organisation.name] = (known[0], share)
                allowance = known[0].allowance
                self._admission.configure(organisation.name, allowance, share)

    def list_demands(self, now: float) -> list[tuple[Organisation, float]]:
        """Return the organisations seen here and their demand on the allowance."""
        with self._lock:
            return [
                (organisation, self._admission.get_demand(name, now))
                for name, (organisation, _) in self._configured_by_name.items()
            ]

    def remove_organisation(self, organisation: Organisation) -> None:
        """Drop an organisation that has not been seen for a while."""
        with self._lock:
            self._configured_by_name.pop(organisation.name, None)
            self._admission.remove_organisation(organisation.name)

    def settle_not_run(self, request: CallerRequest, predicted_work: float) -> None:
        """Settle an admitted request that took no work of a server."""
        name = request.organisation.name
        with self._lock:
            self._admission.settle(name, predicted_work, 0.0, monotonic())

    def settle_run(
        self,
        request: CallerRequest,
        predicted_work: float,
        tokens: int,
        *,
        is_whole: bool,
    ) -> None:
        """Settle an admitted request whose answer took about ``tokens`` tokens.

        One that ended whole is no suspect any more: its server lived on.
        """
        name = request.organisation.name
        prompt = int(len(request.body) / DEFAULT_BYTES_PER_TOKEN)
        with self._lock:
            self._admission.settle(name, predicted_work, prompt + tokens, monotonic())
            if is_whole:
                self._predictor.record_answer(name, request.route.path, prompt, tokens)
                self._suspects.clear(request.fingerprint)

    def try_acquire_retry(self, request: CallerRequest) -> bool:
        """Return whether the group's retry budget allows one more attempt."""
        with self._lock:
            return self._get_retry_budget(request.group.name).try_acquire(monotonic())

    def _get_retry_budget(self, group: str) -> RetryBudget:
        return self._retry_budget_by_group.setdefault(group, RetryBudget())

    def get_retry_after_s(self, request: CallerRequest) -> float:
        """Return seconds to stay away, spread by request."""
        return _BASE_RETRY_AFTER_S * (1.0 + stable_fraction(request.request_id))

    def record_crashes(self, crashes: tuple[tuple[str, int], ...]) -> None:
        """Take in what ran when servers died, as an agent or a peer tells it."""
        with self._lock:
            now = monotonic()
            for fingerprint, crash_id in crashes:
                self._suspects.record_crash_id(fingerprint, crash_id, now)

    @property
    def recent_crashes(self) -> tuple[tuple[str, int], ...]:
        """Fingerprints and the deaths held against them, to tell peers."""
        with self._lock:
            return self._suspects.list_recent_crashes(monotonic())
