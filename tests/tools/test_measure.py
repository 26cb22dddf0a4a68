from __future__ import annotations

from pathlib import Path

from tools.measure import build_page
from tools.measure import parse_sections


PAGE = Path(__file__).resolve().parents[2] / "docs" / "MEASUREMENTS.md"


def test_handwritten_sections_are_kept() -> None:
    """Guards against losing handwritten sections when one measurement is repeated."""
    page = PAGE.read_text()
    sections = parse_sections(page)

    assert any(name not in ("path", "agent", "maps") for name in sections)
    assert build_page(sections) == page
    assert "On the users' platform: days played by their bench" in sections
