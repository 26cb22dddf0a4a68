"""Runs one seed: ``python -m tests.soak.one SEED FOLDER [KIND]``.

FOLDER keeps the logs and records.
"""

from __future__ import annotations

import sys
from pathlib import Path

from tests.soak import test_soak
from tests.soak.planned import test_planned


# A soak injects any faults, or planned work on entries and servers.
RUN_SEED_BY_KIND = {"faults": test_soak.run_seed, "planned": test_planned.run_seed}

if __name__ == "__main__":
    kind = sys.argv[3] if len(sys.argv) > 3 else "faults"
    violations = RUN_SEED_BY_KIND[kind](int(sys.argv[1]), Path(sys.argv[2]))
    print(*violations, sep="\n")
    sys.exit(bool(violations))
