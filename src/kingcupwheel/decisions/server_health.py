"""Outlier detection for backend servers by outcome and latency."""

from __future__ import annotations

from enum import StrEnum

from kingcupwheel.decisions.decay import DecayingSum


# Fewer would eject a server for one bad request and its retry; with more, a server that
# fails immediately and therefore looks idle fails more callers' requests.
EJECTION_CONSECUTIVE_FAILURES = 3

# How long a single failure makes a server the last choice. At 2 requests per second
# over 16 servers an entry takes 24 s to see three failures of one server. Until then it
# would get its share and more, since a server that fails immediately looks idle.
FAILURE_PENALTY_S = 10.0

# Largest failure ratio of recent attempts, and the fewest attempts to judge it by.
EJECTION_FAILURE_RATIO = 0.5
EJECTION_MIN_ATTEMPTS = 6.0

# A few answers long, so that a recovered server is soon healthy again.
OUTCOME_TIME_CONSTANT_S = 20.0

# Ratios to the group's median latency. Between the two a server keeps its state, which
# prevents flapping.
SLOW_LATENCY_RATIO = 2.0
RECOVERED_LATENCY_RATIO = 1.5

# Weight of one latency in the running mean, and the samples needed to use the mean.
_LATENCY_GAIN = 1 / 8
_MIN_LATENCY_SAMPLES = 5

# Exponential backoff of ejections: a server that crashed is back within seconds, one
# that fails for an hour is probed every two minutes.
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 120.0

# Consecutive successful probes that end an ejection.
RECOVERY_PROBES = 3


class ServerState(StrEnum):
    """State of a server, which determines the requests it receives.

    ``HEALTHY``: its full share. ``SLOW``: a reduced share. ``FAILING``: only requests
    that the others have no capacity for, since it has just failed or too many servers
    are ejected already. ``PROBING``: single repeatable requests. ``EJECTED``: none.
    ``BACKING_OFF``: none until its requested backoff ends. ``RATE_LIMITED``: none until
    the entry's share of the server's rate limit allows one. ``DOWN``: none until it is
    reported up. ``LEAVING``: none, permanently.
    """

    HEALTHY = "healthy"
    SLOW = "slow"
    FAILING = "failing"
    PROBING = "probing"
    EJECTED = "ejected"
    BACKING_OFF = "resting"
    RATE_LIMITED = "rate-limited"
    DOWN = "down"
    LEAVING = "leaving"


class ServerHealth:
    """Health of one server, as one entry sees it.

    A server that fails immediately looks idle and would attract all requests, and a
    slow one delays every request sent to it.
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
        """Whether ``latency_s`` averages enough samples."""
        return self._latency_samples >= _MIN_LATENCY_SAMPLES

    @property
    def is_ejected(self) -> bool:
        """Whether the server is ejected or being probed."""
        return self._ejected_until is not None

    @property
    def consecutive_failures(self) -> int:
        """Number of failures since the last success."""
        return self._consecutive_failures

    def record_success(self, latency_s: float, now: float) -> None:
        """Record a complete answer.

        ``latency_s`` has to be comparable between the servers of a group: the time per
        token for an engine, the total time for a plain service.
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
        """Record an attempt that the server failed by an error, cut or timeout."""
        self._attempts.add(1.0, now)
        self._failures.add(1.0, now)
        self._consecutive_failures += 1
        self._failed_at = now
        self._successful_probes = 0
        if self._ejected_until is not None and now >= self._ejected_until:
            self._eject(now)

    def should_eject(self, now: float) -> bool:
        """Return whether recent outcomes require an ejection."""
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
        """Update and return the state; ``median_s`` is the group's median latency."""
        if self._ejected_until is None and may_eject and self.should_eject(now):
            self._eject(now)
        if self._ejected_until is not None:
            is_waiting = now < self._ejected_until
            return ServerState.EJECTED if is_waiting else ServerState.PROBING
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
