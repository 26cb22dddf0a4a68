"""Generates the tables of docs/CAPACITY.md from the measured slopes.

``python -m tools.capacity`` prints them; ``--write`` updates the page. The text around
them is written by hand; a test checks that the tables match the slopes.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING

import click

from tools.capacity_limits import build_failure_costs_table
from tools.capacity_limits import build_limits_table
from tools.capacity_limits import format_markdown_table
from tools.capacity_model import CapacityModel
from tools.capacity_model import Cost
from tools.capacity_model import RoleCosts
from tools.capacity_slopes import load_slopes
from tools.capacity_target import CURRENT_DESIGN
from tools.capacity_target import DESIGNS
from tools.capacity_target import LEASE_RENEWAL_S
from tools.capacity_target import LIMITS
from tools.capacity_target import SMALL_DESIGN
from tools.capacity_target import SMALL_TARGET
from tools.capacity_target import TARGET
from tools.capacity_target import Design
from tools.capacity_target import Target
from tools.capacity_totals import compute_data_path_costs
from tools.capacity_totals import compute_platform_load


if TYPE_CHECKING:
    from tools.capacity_slopes import Slope
    from tools.capacity_slopes import Slopes

PAGE_PATH = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
_PART_PATTERN = re.compile(
    r"<!-- computed: (?P<name>[a-z-]+) -->\n.*?<!-- end -->", re.DOTALL
)
_MB = 1e6
_KB = 1e3
_GB = 1e9


def render_computed_parts(slopes: Slopes) -> dict[str, str]:
    """Return the Markdown of each computed part of the page by its name."""
    return {
        "slopes": _slopes_table(slopes),
        "entry": _role_table(
            CapacityModel(slopes, CURRENT_DESIGN, TARGET).entry_costs()
        ),
        "agent": _role_table(
            CapacityModel(slopes, CURRENT_DESIGN, TARGET).agent_costs()
        ),
        "holder": _role_table(_lease_holder_costs(slopes, CURRENT_DESIGN)),
        "data-path": _data_path_table(slopes),
        "platform": _platform_table(slopes),
        "verdicts": _verdicts_table(slopes),
        "breaks": build_limits_table(slopes),
        "bad-days": build_failure_costs_table(slopes),
    }


def fill_page(page: str, slopes: Slopes) -> str:
    """Return ``page`` with its computed parts regenerated."""
    by_name = render_computed_parts(slopes)

    def replace_part(match: re.Match[str]) -> str:
        name = match["name"]
        return f"<!-- computed: {name} -->\n{by_name[name]}\n<!-- end -->"

    return _PART_PATTERN.sub(replace_part, page)


def _lease_holder_costs(
    slopes: Slopes, design: Design, target: Target = TARGET
) -> RoleCosts:
    return CapacityModel(slopes, design, target).lease_holder_costs(
        renew_s=LEASE_RENEWAL_S
    )


def _slopes_table(slopes: Slopes) -> str:
    rows = [_slope_row(slope) for slope in slopes.by_name.values()]
    head = ("Slope", "Measured (size: value)", "At size 0", "For each one more")
    provenance = (
        f"Measured {slopes.measured_at} on {slopes.machine}, commit `{slopes.commit}`."
    )
    return f"{provenance}\n\n{format_markdown_table(head, rows)}"


def _slope_row(slope: Slope) -> tuple[str, ...]:
    name = f"`{slope.name}` ({slope.unit} by {slope.size_unit})"
    if not slope.is_measured:
        return name, f"not measured; by `{slope.command}`", "-", "-"
    points = ", ".join(f"{point.size:g}: {point.value:.4g}" for point in slope.points)
    return name, points, f"{slope.intercept:.4g}", f"{slope.gradient:.4g}"


def _role_table(role: RoleCosts) -> str:
    head = (
        "Item",
        "Messages/s in, out",
        "KB/s in, out",
        "Core",
        "MB",
        "Platform reads, writes/s",
        "Mechanism",
    )
    return format_markdown_table(
        head, [_cost_row(cost) for cost in (*role.costs, role.total)]
    )


def _cost_row(cost: Cost) -> tuple[str, ...]:
    return (
        cost.item,
        f"{cost.messages_in_per_s:.1f}, {cost.messages_out_per_s:.1f}",
        f"{cost.bytes_in_per_s / _KB:.2f}, {cost.bytes_out_per_s / _KB:.2f}",
        f"{cost.cpu_share:.2%}",
        f"{cost.memory_bytes / _MB:.1f}",
        f"{cost.reads_per_s:.3f}, {cost.writes_per_s:.3f}",
        cost.mechanism,
    )


def _data_path_table(slopes: Slopes) -> str:
    rows = [
        (
            path.role,
            f"{path.tokens_per_s:.0f}",
            f"{path.cpu_share:.0%}",
            f"{path.max_tokens_per_s:.0f}",
        )
        for path in compute_data_path_costs(slopes, TARGET)
    ]
    head = ("Role", "Tokens/s at the peak", "Core", "Tokens/s at a whole core")
    return format_markdown_table(head, rows)


def _platform_table(slopes: Slopes) -> str:
    rows = []
    for design in DESIGNS:
        load = compute_platform_load(slopes, design, TARGET, renew_s=LEASE_RENEWAL_S)
        claims_per_s = load.compute_claims_per_s(LIMITS.writes_per_s)
        rows.append(
            (
                design.name,
                f"{load.reads_per_s:.0f}",
                f"{load.reads_per_s_at_change:.0f}",
                f"{load.trace_writes_per_s:.0f} + {load.lease_writes_per_s:.0f}",
                f"{claims_per_s:.0f} "
                f"({claims_per_s / TARGET.requests_per_s:.1%} of requests)",
                f"{load.trace_bytes_per_s / _MB:.2f}",
                f"{load.retained_bytes / _GB:.0f} GB in "
                f"{load.retained_objects / _MB:.1f} "
                f"million objects",
            )
        )
    head = (
        "Design",
        "Reads/s",
        "Reads/s at a change",
        "Writes/s: traces + leases",
        "Claims/s in what is left of 300",
        "Trace MB/s",
        "Traces kept",
    )
    return format_markdown_table(head, rows)


def _verdicts_table(slopes: Slopes) -> str:
    rows = []
    sizes = [(SMALL_DESIGN, SMALL_TARGET), *((design, TARGET) for design in DESIGNS)]
    for design, target in sizes:
        model = CapacityModel(slopes, design, target)
        for role in (
            model.entry_costs(),
            model.agent_costs(),
            _lease_holder_costs(slopes, design, target),
        ):
            total = role.total
            rows.append(
                (
                    design.name,
                    role.name,
                    _mark_if_over_limit(
                        total.cpu_share, LIMITS.cpu_share, f"{total.cpu_share:.2%}"
                    ),
                    _mark_if_over_limit(
                        total.memory_bytes,
                        LIMITS.memory_bytes,
                        f"{total.memory_bytes / _MB:.0f}",
                    ),
                    _mark_if_over_limit(
                        role.control_bytes_per_s,
                        LIMITS.bytes_per_s,
                        f"{role.control_bytes_per_s / _KB:.1f}",
                    ),
                )
            )
    head = ("Design", "Role", "Core (2.2%)", "MB (256)", "KB/s, both ways (11)")
    return format_markdown_table(head, rows)


def _mark_if_over_limit(value: float, limit: float, text: str) -> str:
    return text if value <= limit else f"**{text}, over**"


@click.command()
@click.option("--write", is_flag=True, help="Update the tables in docs/CAPACITY.md.")
def main(write: bool) -> None:
    """Recompute the tables of docs/CAPACITY.md."""
    slopes = load_slopes()
    if write:
        PAGE_PATH.write_text(fill_page(PAGE_PATH.read_text(), slopes))
    else:
        click.echo("\n\n".join(render_computed_parts(slopes).values()))


if __name__ == "__main__":
    main()
