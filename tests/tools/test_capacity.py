from __future__ import annotations

import pytest
from tools.capacity import PAGE_PATH
from tools.capacity import fill_page
from tools.capacity_model import CapacityModel
from tools.capacity_slopes import Point
from tools.capacity_slopes import Slope
from tools.capacity_slopes import load_slopes
from tools.capacity_target import Design
from tools.capacity_target import Target


def test_page_matches_the_measured_slopes() -> None:
    page = PAGE_PATH.read_text()

    assert fill_page(page, load_slopes()) == page
    assert page.count("<!-- computed: ") == page.count("<!-- end -->") == 9


def test_each_slope_has_two_sizes_or_is_reported_as_not_measured() -> None:
    slopes = load_slopes().by_name.values()

    assert all(slope.is_measured or not slope.points for slope in slopes)
    page = PAGE_PATH.read_text()
    for slope in slopes:
        assert slope.is_measured or f"not measured; by `{slope.command}`" in page


def test_slope_is_the_line_through_its_points() -> None:
    slope = Slope("a", "bytes", "links", "", (Point(10, 25), Point(20, 45)))

    assert slope.gradient == pytest.approx(2)
    assert slope.intercept == pytest.approx(5)
    assert slope.value_at(100) == pytest.approx(205)


def test_fewer_heartbeats_and_links_reduce_every_cost_of_an_entry() -> None:
    slopes = load_slopes()
    default_cost = (
        CapacityModel(slopes, Design("a", server_groups=5), Target())
        .entry_costs()
        .total
    )
    reduced_design = Design(
        "b", server_groups=5, subset_size=8, heartbeat_s=4.0, instances_s=10.0
    )
    reduced_cost = CapacityModel(slopes, reduced_design, Target()).entry_costs().total

    assert reduced_cost.bytes_in_per_s < default_cost.bytes_in_per_s
    assert reduced_cost.cpu_share < default_cost.cpu_share
    assert reduced_cost.memory_bytes < default_cost.memory_bytes
    assert reduced_cost.reads_per_s < default_cost.reads_per_s
