"""What all processes together ask of the platform, and what the data path costs."""

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
    """What carrying the peak's tokens costs one process, beside control.

    ``most_tokens`` is the rate a second at which it uses a whole core.
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
        tokens = target.tokens_per_s / count
        most = (1 - slope.intercept) / slope.gradient
        paths.append(DataPathCost(role, tokens, slope.value_at(tokens), most))
    return tuple(paths)


class PlatformLoad(NamedTuple):
    """What all processes together ask of the platform's service, without claims.

    Rates are per second; ``change_reads`` is the rate while a change of the manifest
    is taken up. ``kept_bytes`` and ``kept_objects`` are batches of traces.
    """

    reads: float
    change_reads: float
    trace_writes: float
    lease_writes: float
    trace_bytes: float
    kept_bytes: float
    kept_objects: float

    @property
    def writes(self) -> float:
        """All writes a second."""
        return self.trace_writes + self.lease_writes

    def compute_claims_per_s(self, writes_s: float) -> float:
        """Return how many claims a second fit, each made once and removed once."""
        return (writes_s - self.writes) / 2


def compute_platform_load(
    slopes: Slopes, design: Design, target: Target, *, renew_s: float
) -> PlatformLoad:
    """Return the platform's load."""
    model = CapacityModel(slopes, design, target)
    entry, agent = model.entry_costs().total, model.agent_costs().total
    reads = target.entries * entry.reads + target.servers * agent.reads
    batches = target.processes / design.trace_batch_s
    a_request = sum(
        slopes.by_name[f"{role}_batch_bytes"].gradient for role in ("entry", "agent")
    )
    kept_s = Retention().traces_h * 3600
    return PlatformLoad(
        reads=reads,
        # Each process reads a shard, within the spread, and watches again.
        change_reads=reads + 2 * target.processes / DEFAULT_MAX_READ_DELAY_S,
        trace_writes=2 * batches,
        lease_writes=target.groups / renew_s,
        trace_bytes=target.requests_per_s * a_request,
        kept_bytes=target.requests_per_s * a_request * kept_s,
        kept_objects=batches * kept_s,
    )
