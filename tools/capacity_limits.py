"""Tables of the sizes at which limits are exceeded, and of the cost of failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.trace.outbox import MAX_OUTBOX_BYTES
from tools.capacity_model import CapacityModel
from tools.capacity_target import CURRENT_DESIGN
from tools.capacity_target import DESIGNS
from tools.capacity_target import LEASE_RENEWAL_S
from tools.capacity_target import LIMITS
from tools.capacity_target import TARGET
from tools.capacity_totals import compute_platform_load


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from tools.capacity_slopes import Slopes
    from tools.capacity_target import Design

_DAY_S = 86_400
_MB = 1e6
_KB = 1e3


def format_markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def build_limits_table(slopes: Slopes) -> str:
    """Return a table of the size at which each limit is first exceeded."""
    rows = []
    for design in DESIGNS:
        model = CapacityModel(slopes, design, TARGET)
        rows += _entry_limit_rows(model, design)
        load = compute_platform_load(slopes, design, TARGET, renew_s=LEASE_RENEWAL_S)
        max_processes = LIMITS.reads_per_s / load.reads_per_s * TARGET.processes
        max_processes_at_change = (
            LIMITS.reads_per_s / load.reads_per_s_at_change * TARGET.processes
        )
        claims_per_s = load.compute_claims_per_s(LIMITS.writes_per_s)
        rows.append(
            (
                design.name,
                "platform",
                "2,000 reads/s",
                f"at {max_processes:.0f} processes",
            )
        )
        rows.append(
            (
                design.name,
                "platform",
                "2,000 reads/s, at a change",
                f"at {max_processes_at_change:.0f} processes; "
                f"there are {TARGET.processes}",
            )
        )
        rows.append(
            (
                design.name,
                "platform",
                "300 writes/s",
                f"at {claims_per_s:.0f} claims a second "
                f"({claims_per_s / TARGET.requests_per_s:.1%} of requests)",
            )
        )
    return format_markdown_table(("Design", "Role", "Limit", "Breaks"), rows)


def _entry_limit_rows(model: CapacityModel, design: Design) -> list[tuple[str, ...]]:
    role = model.entry_costs()
    links = model.entry_links
    heartbeats = next(
        cost for cost in role.costs if cost.item.startswith("heartbeats on")
    )
    total = role.total
    rows: list[tuple[str, ...]] = []
    for limit, value, heartbeat_value in (
        (
            "11 KB/s",
            role.control_bytes_per_s,
            heartbeats.bytes_in_per_s + heartbeats.bytes_out_per_s,
        ),
        ("2.2% of a core", total.cpu_share, heartbeats.cpu_share),
    ):
        limit_value = LIMITS.bytes_per_s if limit == "11 KB/s" else LIMITS.cpu_share
        other_value = value - heartbeat_value
        max_links = (limit_value - other_value) / (heartbeat_value / links)
        text = f"at {max_links:.0f} links; it keeps {links:.0f}"
        if max_links <= 0:
            text = f"without any link; it keeps {links:.0f}"
        rows.append((design.name, "entry", limit, text))
    return rows


def build_failure_costs_table(slopes: Slopes) -> str:
    """Return a table of the cost of restarts, outages and network partitions."""
    by_name = slopes.by_name
    model = CapacityModel(slopes, CURRENT_DESIGN, TARGET)
    entry_requests_per_s = TARGET.requests_per_s / TARGET.entries
    trace_bytes_per_hour = (
        by_name["entry_batch_bytes"].gradient * entry_requests_per_s * 3600
    )
    manifest_bytes = by_name["manifest_bytes"].value_at(TARGET.organisations)
    list_bytes = by_name["instance_list_bytes"].value_at(TARGET.processes)
    remaining_share = 1 - 1 / TARGET.data_centres
    watches_per_s = TARGET.processes / 3
    lists_per_s = TARGET.entries / CURRENT_DESIGN.instances_s
    trace_writes_per_s = TARGET.processes * 3 / CURRENT_DESIGN.trace_batch_s
    stream_s = TARGET.tokens_per_s / TARGET.requests_per_s * 0.032
    rows = [
        (
            f"{TARGET.restarts_per_day} restarts a day",
            f"an entry reads {manifest_bytes / _MB:.1f} MB of manifest and a list of "
            f"{list_bytes / _KB:.0f} KB at its start: on average "
            f"{TARGET.restarts_per_day * (manifest_bytes + list_bytes) / _DAY_S:.0f} "
            f"bytes/s",
        ),
        (
            "a data centre lost",
            f"{TARGET.requests_per_s / TARGET.data_centres:.0f} requests/s move over; "
            f"each entry left carries {1 / remaining_share:.2f} times its requests "
            f"and keeps {model.entry_links:.0f} links; about "
            f"{TARGET.requests_per_s / TARGET.data_centres * stream_s:.0f} streams "
            f"were open there",
        ),
        (
            "regions parted for an hour",
            f"the part without the platform refuses what may not be repeated; its "
            f"traces wait: {trace_bytes_per_hour / _MB:.1f} MB an entry of "
            f"{MAX_OUTBOX_BYTES / _MB:.0f} MB",
        ),
        (
            "platform down for an hour",
            f"watches are asked again every 2 to 4 s: {watches_per_s:.0f} calls/s; "
            f"lists {lists_per_s:.0f}/s; traces at most {trace_writes_per_s:.0f}/s",
        ),
        (
            "everyone back at once",
            f"{trace_bytes_per_hour / _MB:.1f} MB an entry go out in batches of "
            f"up to 0.9 MB beside the normal ones, "
            f"at most {trace_writes_per_s:.0f} calls/s in all",
        ),
    ]
    return format_markdown_table(("Day", "What it costs"), rows)
