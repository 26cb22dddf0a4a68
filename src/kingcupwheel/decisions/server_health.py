"""Judges backend servers by the outcomes and latencies of their attempts."""

from __future__ import annotations

from enum import StrEnum

from kingcupwheel.decisions.decay import DecayingSum


# Failures in a row that eject a server: fewer would eject for one bad request and its
# retry, more would cost callers while a dead server answers at once and looks idle.
EJECTION_CONSECUTIVE_FAILURES = 3

# How long one failure makes a server the last choice. At two requests a second over 16
# servers an entry takes 24 s to see three failures of one; until then it would go on to
# give it its part, and more, since what fails at once looks idle.
FAILURE_PENALTY_S = 10.0

# Share of recent attempts that may fail, and the least number that says anything.
EJECTION_FAILURE_RATIO = 0.5
EJECTION_MIN_ATTEMPTS = 6.0

# Memory of outcomes: some answers long, so that a server that recovered is soon good.
OUTCOME_TIME_CONSTANT_S = 20.0

# A server is slow from twice the group's median latency on, and no longer so below one
# and a half times: between them it keeps its state and does not flap.
SLOW_LATENCY_RATIO = 2.0
RECOVERED_LATENCY_RATIO = 1.5

# A latency counts as an eighth of the mean, once so many have been seen.
_LATENCY_GAIN = 1 / 8
_MIN_LATENCY_SAMPLES = 5

# First ejection, doubled each time up to the longest: a server that crashed is back in
# seconds, one that fails for an hour gets a probe every two minutes.
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 120.0

# Good probes in a row that make a server healthy again.
RECOVERY_PROBES = 3


class ServerState(StrEnum):
    """What a server may be given.

    ``HEALTHY`` its part, ``SLOW`` less, ``FAILING`` what the others have no room for
    (it failed just now, or too many are ejected already), ``PROBING`` single repeatable
    requests, ``EJECTED`` nothing, ``RESTING`` nothing until its rest is over, ``DOWN``
    nothing until it is heard to be up, ``LEAVING`` nothing ever again.
    """

    HEALTHY = "healthy"
    SLOW = "slow"
    FAILING = "failing"
    PROBING = "probing"
    EJECTED = "ejected"
    BACKING_OFF = "resting"
    DOWN = "down"
    LEAVING = "leaving"


class ServerHealth:
    """One server's state as seen by one entry.

    Load: a server that fails at once looks idle and draws all requests; a slow one
    holds whatever it is given. Harm prevented: callers get its errors and its waits.
    """

    def __init__(self) -> None:
        self._attempts = DecayingSum(OUTCOME_TIME_CONSTANT_S)
        self._failures = DecayingSum(OUTCOME_TIME_CONSTANT_S)
        self._consecutive_failures = 0
        self._failed_at = 0.0
        self._successful_probes = 0
        self._ejections = 0
        self._ejected_until: float | None = None
        self._latency_samples = 0
        self._is_slow = False
        self.latency_s = 0.0

    @property
    def is_measured(self) -> bool:
        """Whether ``latency_s`` is a mean of enough attempts."""
        return self._latency_samples >= _MIN_LATENCY_SAMPLES

    @property
    def is_ejected(self) -> bool:
        """Whether it is ejected or being probed."""
        return self._ejected_until is not None

    @property
    def consecutive_failures(self) -> int:
        """Failures in a row, to compare servers that both fail."""
        return self._consecutive_failures

    def record_success(self, latency_s: float, now: float) -> None:
        """Count a whole answer.

        ``latency_s`` has to be comparable between the group's servers: the time for a
        token of an engine's answer, the whole time of a plain service's.
        """
        self._attempts.add(1.0, now)
        self._consecutive_failures = 0
        self._latency_samples += 1
        gain = max(_LATENCY_GAIN, 1 / self._latency_samples)
        self.latency_s += (latency_s - self.latency_s) * gain
        if self._ejected_until is not None:
            self._successful_probes += 1
            if self._successful_probes >= RECOVERY_PROBES:
                self._recover()

    def record_failure(self, now: float) -> None:
        """Count an attempt that failed through the server: an error, a cut, silence."""
        self._attempts.add(1.0, now)
        self._failures.add(1.0, now)
        self._consecutive_failures += 1
        self._failed_at = now
        self._successful_probes = 0
        if self._ejected_until is not None and now >= self._ejected_until:
            self._eject(now)

    def should_eject(self, now: float) -> bool:
        """Tell whether its outcomes call for an ejection."""
        if self._consecutive_failures >= EJECTION_CONSECUTIVE_FAILURES:
            return True
        attempts = self._attempts.value(now)
        failures = self._failures.value(now)
        return (
            attempts >= EJECTION_MIN_ATTEMPTS
            and failures > attempts * EJECTION_FAILURE_RATIO
        )

    def update_state(
        self, median_s: float, now: float, *, may_eject: bool
    ) -> ServerState:
        """Return the state at ``now``, beside a group of that median latency."""
        if self._ejected_until is None and may_eject and self.should_eject(now):
            self._eject(now)
        if self._ejected_until is not None:
            waits = now < self._ejected_until
            return ServerState.EJECTED if waits else ServerState.PROBING
        has_just_failed = now - self._failed_at < FAILURE_PENALTY_S
        if (self._consecutive_failures and has_just_failed) or self.should_eject(now):
            return ServerState.FAILING
        if self.is_measured and median_s > 0.0:
            factor = RECOVERED_LATENCY_RATIO if self._is_slow else SLOW_LATENCY_RATIO
            self._is_slow = self.latency_s > factor * median_s
        return ServerState.SLOW if self._is_slow else ServerState.HEALTHY

    def _eject(self, now: float) -> None:
        self._ejected_until = now + min(
            BASE_EJECTION_S * 2**self._ejections, MAX_EJECTION_S
        )
        self._ejections = min(self._ejections + 1, 8)
        self._successful_probes = 0

    def _recover(self) -> None:
        self._ejected_until = None
        self._ejections = 0
        self._attempts = DecayingSum(OUTCOME_TIME_CONSTANT_S)
        self._failures = DecayingSum(OUTCOME_TIME_CONSTANT_S)
        self._latency_samples = 0
        self.latency_s = 0.0
