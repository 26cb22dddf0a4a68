"""Total load of all processes on the platform, and the cost of the data path."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.manifest.schema import Retention
from kingcupwheel.manifest.synchronizer import DEFAULT_MAX_READ_DELAY_S
from tools.capacity_model import CapacityModel


if TYPE_CHECKING:
    from tools.capacity_slopes import Slopes
    from tools.capacity_target import Design
    from tools.capacity_target import Target


class DataPathCost(NamedTuple):
    """Cost of relaying one process's tokens at the peak, without control traffic.

    ``max_tokens_per_s`` is the rate at which the process uses a whole core.
    """

    role: str
    tokens_per_s: float
    cpu_share: float
    max_tokens_per_s: float


def compute_data_path_costs(slopes: Slopes, target: Target) -> tuple[DataPathCost, ...]:
    """Return the data path's cost for an entry and an agent."""
    paths = []
    for role, count in (("entry", target.entries), ("agent", target.servers)):
        slope = slopes.by_name[f"{role}_stream_cpu"]
        tokens_per_s = target.tokens_per_s / count
        max_tokens_per_s = (1 - slope.intercept) / slope.gradient
        paths.append(
            DataPathCost(
                role, tokens_per_s, slope.value_at(tokens_per_s), max_tokens_per_s
            )
        )
    return tuple(paths)


class PlatformLoad(NamedTuple):
    """Total load of all processes on the platform service, without claims.

    ``reads_per_s_at_change`` is the rate while processes load a new manifest version.
    ``retained_bytes`` and ``retained_objects`` are those of the retained trace batches.
    """

    reads_per_s: float
    reads_per_s_at_change: float
    trace_writes_per_s: float
    lease_writes_per_s: float
    trace_bytes_per_s: float
    retained_bytes: float
    retained_objects: float

    @property
    def writes_per_s(self) -> float:
        """Total writes per second."""
        return self.trace_writes_per_s + self.lease_writes_per_s

    def compute_claims_per_s(self, writes_s: float) -> float:
        """Return the claims per second that fit: each takes a write and a deletion."""
        return (writes_s - self.writes_per_s) / 2


def compute_platform_load(
    slopes: Slopes, design: Design, target: Target, *, renew_s: float
) -> PlatformLoad:
    """Return the load of all processes on the platform."""
    model = CapacityModel(slopes, design, target)
    entry, agent = model.entry_costs().total, model.agent_costs().total
    reads = target.entries * entry.reads_per_s + target.servers * agent.reads_per_s
    batches = target.processes / design.trace_batch_s
    bytes_per_request = sum(
        slopes.by_name[f"{role}_batch_bytes"].gradient for role in ("entry", "agent")
    )
    kept_s = Retention().traces_h * 3600
    return PlatformLoad(
        reads_per_s=reads,
        # Within the random delay each process reads a shard and starts a new watch.
        reads_per_s_at_change=reads + 2 * target.processes / DEFAULT_MAX_READ_DELAY_S,
        trace_writes_per_s=2 * batches,
        lease_writes_per_s=target.groups / renew_s,
        trace_bytes_per_s=target.requests_per_s * bytes_per_request,
        retained_bytes=target.requests_per_s * bytes_per_request * kept_s,
        retained_objects=batches * kept_s,
    )
