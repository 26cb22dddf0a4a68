"""Where the limits break, and what bad days cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.trace.outbox import MAX_OUTBOX_BYTES
from tools.capacity_model import Model
from tools.capacity_target import DESIGNS
from tools.capacity_target import LIMITS
from tools.capacity_target import RENEW_S
from tools.capacity_target import TARGET
from tools.capacity_target import TODAY
from tools.capacity_totals import platform_load


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from tools.capacity_slopes import Slopes
    from tools.capacity_target import Design

_DAY_S = 86_400
_MB = 1e6
_KB = 1e3


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def breaks(slopes: Slopes) -> str:
    """Return at which size each limit is passed first."""
    rows = []
    for design in DESIGNS:
        model = Model(slopes, design, TARGET)
        rows += _entry_breaks(model, design)
        load = platform_load(slopes, design, TARGET, renew_s=RENEW_S)
        reads = LIMITS.reads_s / load.reads * TARGET.processes
        at_change = LIMITS.reads_s / load.change_reads * TARGET.processes
        claims = load.claims(LIMITS.writes_s)
        rows.append(
            (design.name, "platform", "2,000 reads/s", f"at {reads:.0f} processes")
        )
        rows.append(
            (
                design.name,
                "platform",
                "2,000 reads/s, at a change",
                f"at {at_change:.0f} processes; there are {TARGET.processes}",
            )
        )
        rows.append(
            (
                design.name,
                "platform",
                "300 writes/s",
                f"at {claims:.0f} claims a second "
                f"({claims / TARGET.requests:.1%} of requests)",
            )
        )
    return table(("Design", "Role", "Limit", "Breaks"), rows)


def _entry_breaks(model: Model, design: Design) -> list[tuple[str, ...]]:
    role = model.entry()
    links = model.entry_links
    beats = next(cost for cost in role.costs if cost.what.startswith("heartbeats on"))
    total = role.total
    found: list[tuple[str, ...]] = []
    for limit, value, beat in (
        (
            "11 KB/s",
            role.control_bytes,
            beats.bytes_in + beats.bytes_out,
        ),
        ("2.2% of a core", total.cpu, beats.cpu),
    ):
        bound = LIMITS.bytes_s if limit == "11 KB/s" else LIMITS.cpu_share
        others = value - beat
        most = (bound - others) / (beat / links)
        text = f"at {most:.0f} links; it keeps {links:.0f}"
        if most <= 0:
            text = f"without any link; it keeps {links:.0f}"
        found.append((design.name, "entry", limit, text))
    return found


def bad_days(slopes: Slopes) -> str:
    """Return what each bad day costs."""
    by_name = slopes.by_name
    model = Model(slopes, TODAY, TARGET)
    entry_rate = TARGET.requests / TARGET.entries
    hour_bytes = by_name["entry_batch_bytes"].per * entry_rate * 3600
    whole = by_name["manifest_bytes"].at(TARGET.organisations)
    listed = by_name["instance_list_bytes"].at(TARGET.processes)
    left = 1 - 1 / TARGET.data_centres
    calls_s = TARGET.processes / 3
    lists_s = TARGET.entries / TODAY.instances_s
    traces_s = TARGET.processes * 3 / TODAY.trace_batch_s
    stream_s = TARGET.tokens / TARGET.requests * 0.032
    rows = [
        (
            f"{TARGET.restarts_a_day} restarts a day",
            f"an entry reads {whole / _MB:.1f} MB of manifest and a list of "
            f"{listed / _KB:.0f} KB at its start: on average "
            f"{TARGET.restarts_a_day * (whole + listed) / _DAY_S:.0f} bytes/s",
        ),
        (
            "a data centre lost",
            f"{TARGET.requests / TARGET.data_centres:.0f} requests/s move over; each "
            f"entry left carries {1 / left:.2f} times its requests and keeps "
            f"{model.entry_links:.0f} links; about "
            f"{TARGET.requests / TARGET.data_centres * stream_s:.0f} streams were open "
            f"there",
        ),
        (
            "regions parted for an hour",
            f"the part without the platform refuses what may not be repeated; its "
            f"traces wait: {hour_bytes / _MB:.1f} MB an entry of "
            f"{MAX_OUTBOX_BYTES / _MB:.0f} MB",
        ),
        (
            "platform down for an hour",
            f"watches are asked again every 2 to 4 s: {calls_s:.0f} calls/s; lists "
            f"{lists_s:.0f}/s; traces at most {traces_s:.0f}/s",
        ),
        (
            "everyone back at once",
            f"{hour_bytes / _MB:.1f} MB an entry go out in batches of up to 0.9 MB "
            f"beside the normal ones, at most {traces_s:.0f} calls/s in all",
        ),
    ]
    return table(("Day", "What it costs"), rows)
