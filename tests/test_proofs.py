from __future__ import annotations

import re
from pathlib import Path


ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "PROOFS.md"
# A proof is written as `file`: name of the scenario or test.
PROOF = re.compile(r"`((?:features|tests)/[\w/.]+)`: ([^|;]+?)(?=;|\s*\|)")


def test_every_proof_names_a_scenario_or_test_that_exists() -> None:
    proofs = PROOF.findall(PAGE.read_text())

    assert len(proofs) > 30
    missing = [(path, name) for path, name in proofs if not exists(path, name)]
    assert not missing


def exists(path: str, name: str) -> bool:
    file = ROOT / path
    if not file.exists():
        return False
    text = file.read_text()
    if path.endswith(".feature"):
        return f"Scenario: {name}\n" in text
    return f"def {name}(" in text or f"class {name}" in text or f"\n{name} = " in text


def test_every_row_of_a_table_says_proved_by_what_or_not_proved() -> None:
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| ")]
    bodies = [row for row in rows if not row.startswith(("| ---", "| point"))]

    assert bodies
    for row in bodies:
        assert PROOF.search(row) or "not proved" in row, row
