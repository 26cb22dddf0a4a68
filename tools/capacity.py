"""Write the tables of docs/CAPACITY.md from the measured slopes.

``python -m tools.capacity`` prints them; ``--write`` puts them into the page. The text
around them is written by hand; a test keeps the tables and the slopes in step.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING

import click

from kingcupwheel.decisions.subsets import ENTRY_WORK_PER_S
from kingcupwheel.trace.outbox import OUTBOX_BYTES
from tools.capacity_model import Cost
from tools.capacity_model import Model
from tools.capacity_model import Role
from tools.capacity_model import data_paths
from tools.capacity_model import platform_load
from tools.capacity_slopes import load_slopes
from tools.capacity_target import Design
from tools.capacity_target import Limits
from tools.capacity_target import Target


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from tools.capacity_slopes import Slope
    from tools.capacity_slopes import Slopes

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
_PART = re.compile(r"<!-- computed: (?P<name>[a-z-]+) -->\n.*?<!-- end -->", re.DOTALL)
TARGET = Target()
LIMITS = Limits()
TODAY = Design("as it is, a group a model", server_groups=TARGET.models)
RANKED = Design("as it is, a group an engine", server_groups=TARGET.groups)
# What the page proposes: nothing of it is built; the model only works it out.
STRETCHED = Design(
    "proposed",
    server_groups=TARGET.models,
    heartbeat_s=6.0,
    instances_s=5.0,
    changed_only=True,
    poll_s=6.0,
    # Allowances over one entry's part of the peak; the rest need not be split.
    shared=int(TARGET.tokens / ENTRY_WORK_PER_S),
)
# The sizes of today, each entry as busy as at the target.
SMALL_TARGET = Target(
    entries=7, servers=19, requests=60.0, tokens=16_000.0, organisations=10, ranks=16
)
SMALL = Design("as it is, today's sizes", server_groups=2, shared=10)
DESIGNS = (TODAY, RANKED, STRETCHED)
# Of the expert map's coordinator, as designed; not a measurement.
_RENEW_S = 3.0
_MB = 1e6
_KB = 1e3
_GB = 1e9
_DAY_S = 86_400


def parts(slopes: Slopes) -> dict[str, str]:
    """Return each computed part of the page by name."""
    return {
        "slopes": _slopes(slopes),
        "entry": _role(Model(slopes, TODAY, TARGET).entry()),
        "agent": _role(Model(slopes, TODAY, TARGET).agent()),
        "holder": _role(_holder(slopes, TODAY)),
        "data-path": _data_path(slopes),
        "platform": _platform(slopes),
        "verdicts": _verdicts(slopes),
        "breaks": _breaks(slopes),
        "bad-days": _bad_days(slopes),
    }


def fill(page: str, slopes: Slopes) -> str:
    """Return ``page`` with its computed parts replaced."""
    by_name = parts(slopes)

    def replaced(match: re.Match[str]) -> str:
        name = match["name"]
        return f"<!-- computed: {name} -->\n{by_name[name]}\n<!-- end -->"

    return _PART.sub(replaced, page)


def _holder(slopes: Slopes, design: Design, target: Target = TARGET) -> Role:
    return Model(slopes, design, target).holder(renew_s=_RENEW_S)


def _slopes(slopes: Slopes) -> str:
    rows = [_slope(slope) for slope in slopes.by_name.values()]
    head = ("Slope", "Measured (size: value)", "At size 0", "For each one more")
    about = (
        f"Measured {slopes.measured_at} on {slopes.machine}, commit `{slopes.commit}`."
    )
    return f"{about}\n\n{_table(head, rows)}"


def _slope(slope: Slope) -> tuple[str, ...]:
    name = f"`{slope.name}` ({slope.unit} by {slope.size_unit})"
    if not slope.measured:
        return name, f"not measured; by `{slope.command}`", "-", "-"
    seen = ", ".join(f"{point.size:g}: {point.value:.4g}" for point in slope.points)
    return name, seen, f"{slope.base:.4g}", f"{slope.per:.4g}"


def _role(role: Role) -> str:
    head = (
        "Item",
        "Messages/s in, out",
        "KB/s in, out",
        "Core",
        "MB",
        "Platform reads, writes/s",
        "Mechanism",
    )
    return _table(head, [_cost(cost) for cost in (*role.costs, role.total)])


def _cost(cost: Cost) -> tuple[str, ...]:
    return (
        cost.what,
        f"{cost.messages_in:.1f}, {cost.messages_out:.1f}",
        f"{cost.bytes_in / _KB:.2f}, {cost.bytes_out / _KB:.2f}",
        f"{cost.cpu:.2%}",
        f"{cost.memory / _MB:.1f}",
        f"{cost.reads:.3f}, {cost.writes:.3f}",
        cost.mechanism,
    )


def _data_path(slopes: Slopes) -> str:
    rows = [
        (
            path.role,
            f"{path.tokens:.0f}",
            f"{path.cpu:.0%}",
            f"{path.most_tokens:.0f}",
        )
        for path in data_paths(slopes, TARGET)
    ]
    head = ("Role", "Tokens/s at the peak", "Core", "Tokens/s at a whole core")
    return _table(head, rows)


def _platform(slopes: Slopes) -> str:
    rows = []
    for design in DESIGNS:
        load = platform_load(slopes, design, TARGET, renew_s=_RENEW_S)
        left = LIMITS.writes_s - load.writes
        rows.append(
            (
                design.name,
                f"{load.reads:.0f}",
                f"{load.change_reads:.0f}",
                f"{load.trace_writes:.0f} + {load.lease_writes:.0f}",
                f"{left:.0f} ({left / TARGET.requests:.1%} of requests)",
                f"{load.trace_bytes / _MB:.2f}",
                f"{load.kept_bytes / _GB:.0f} GB in {load.kept_objects / _MB:.1f} "
                f"million objects",
            )
        )
    head = (
        "Design",
        "Reads/s",
        "Reads/s at a change",
        "Writes/s: traces + leases",
        "Left of 300 for claims",
        "Trace MB/s",
        "Traces kept",
    )
    return _table(head, rows)


def _verdicts(slopes: Slopes) -> str:
    rows = []
    sizes = [(SMALL, SMALL_TARGET), *((design, TARGET) for design in DESIGNS)]
    for design, target in sizes:
        model = Model(slopes, design, target)
        for role in (model.entry(), model.agent(), _holder(slopes, design, target)):
            total = role.total
            rows.append(
                (
                    design.name,
                    role.name,
                    _against(total.cpu, LIMITS.cpu_share, f"{total.cpu:.2%}"),
                    _against(
                        total.memory, LIMITS.memory_bytes, f"{total.memory / _MB:.0f}"
                    ),
                    _against(
                        role.control_bytes,
                        LIMITS.bytes_s,
                        f"{role.control_bytes / _KB:.1f}",
                    ),
                )
            )
    head = ("Design", "Role", "Core (2.2%)", "MB (256)", "KB/s, both ways (11)")
    return _table(head, rows)


def _against(value: float, limit: float, text: str) -> str:
    return text if value <= limit else f"**{text}, over**"


def _breaks(slopes: Slopes) -> str:
    rows = []
    for design in DESIGNS:
        model = Model(slopes, design, TARGET)
        rows += _entry_breaks(model, design)
        load = platform_load(slopes, design, TARGET, renew_s=_RENEW_S)
        reads = LIMITS.reads_s / load.reads * TARGET.processes
        at_change = LIMITS.reads_s / load.change_reads * TARGET.processes
        left = LIMITS.writes_s - load.writes
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
                f"at {left:.0f} claims a second "
                f"({left / TARGET.requests:.1%} of requests)",
            )
        )
    return _table(("Design", "Role", "Limit", "Breaks"), rows)


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


def _bad_days(slopes: Slopes) -> str:
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
            f"{OUTBOX_BYTES / _MB:.0f} MB",
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
    return _table(("Day", "What it costs"), rows)


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


@click.command()
@click.option("--write", is_flag=True, help="Put the tables into docs/CAPACITY.md.")
def main(write: bool) -> None:
    """Work the tables out anew."""
    slopes = load_slopes()
    if write:
        PAGE.write_text(fill(PAGE.read_text(), slopes))
    else:
        click.echo("\n\n".join(parts(slopes).values()))


if __name__ == "__main__":
    main()
