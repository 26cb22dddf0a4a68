"""Statsd client over UDP whose sends never block."""

from __future__ import annotations

import logging
import re
from typing import TYPE_CHECKING
from typing import Any

import statsd


if TYPE_CHECKING:
    from kingcupwheel.metrics.metric_names import CounterName
    from kingcupwheel.metrics.metric_names import GaugeName
    from kingcupwheel.metrics.metric_names import TimerName
    from kingcupwheel.settings.schema import StatsdSettings

logger = logging.getLogger("kingcupwheel.metrics")

_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")
# Names come from settings and code, but a label may contain text from outside.
_MAX_PART_LENGTH = 60


class _NonBlockingStatsdClient(statsd.StatsClient):  # type: ignore[misc]
    """Statsd client on a non-blocking socket.

    A full send buffer would otherwise delay the request that the metric belongs to; the
    library drops metrics that can't be sent.
    """

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(host, port, prefix=prefix)
        self._sock.setblocking(False)


class MetricsClient:
    """Sends the metrics of one process; thread-safe.

    Sends nothing if ``settings.host`` is empty or can't be resolved at the start, so
    that missing metrics never prevent a process from serving.
    """

    def __init__(self, settings: StatsdSettings, *, process: str) -> None:
        self._client: Any = None
        if not settings.host:
            return
        prefix = f"{settings.prefix}.{_sanitize(process)}"
        try:
            self._client = _NonBlockingStatsdClient(
                settings.host, settings.port, prefix
            )
        except OSError as error:
            logger.warning(
                "Metrics are disabled, statsd host %s: %s.", settings.host, error
            )

    def increment(self, name: CounterName, *, label: str = "", amount: int = 1) -> None:
        """Add ``amount`` to a counter.

        ``label`` is appended to the name of a counter whose description says ``by``.
        """
        if self._client is not None:
            self._client.incr(_build_metric_name(name, label), amount)

    def set_gauge(self, name: GaugeName, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name.value, value)

    def record_duration(self, name: TimerName, duration_s: float) -> None:
        """Record a duration, given in seconds."""
        if self._client is not None:
            self._client.timing(name.value, duration_s * 1000)

    def close(self) -> None:
        """Close the socket."""
        if self._client is not None:
            self._client.close()
            self._client = None


def _build_metric_name(name: CounterName, label: str) -> str:
    return f"{name.value}.{_sanitize(label)}" if label else name.value


def _sanitize(part: str) -> str:
    return _UNSAFE_CHARACTERS.sub("_", part[:_MAX_PART_LENGTH])
