from __future__ import annotations

from pathlib import Path

from tools.measure import build_page
from tools.measure import parse_sections


PAGE = Path(__file__).resolve().parents[2] / "docs" / "MEASUREMENTS.md"


def test_a_section_that_no_part_measures_is_kept() -> None:
    """One part is measured anew; what was written by hand must not vanish with it."""
    page = PAGE.read_text()
    sections = parse_sections(page)

    assert any(name not in ("path", "agent", "maps") for name in sections)
    assert build_page(sections) == page
    assert "On the users' platform: days played by their bench" in sections
