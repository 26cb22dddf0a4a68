from __future__ import annotations

from pathlib import Path

from kingcupwheel.manifest.schema import Manifest
from kingcupwheel.settings.schema import Settings
from tests.settings.documented import documented_rows
from tests.settings.documented import rows_by_record


_PAGE = Path(__file__).parents[2] / "docs" / "configuration.md"


def test_the_page_has_every_field_with_its_type_and_default() -> None:
    assert documented_rows(_PAGE.read_text()) == rows_by_record(Settings, Manifest)
