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


def test_every_table_row_names_its_proof_or_says_not_proved() -> None:
    table_rows = [
        line for line in PAGE.read_text().splitlines() if line.startswith("| ")
    ]
    body_rows = [row for row in table_rows if not row.startswith(("| ---", "| point"))]

    assert body_rows
    for row in body_rows:
        assert PROOF.search(row) or "not proved" in row, row
