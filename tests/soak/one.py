"""Runs one seed: ``python -m tests.soak.one SEED FOLDER [KIND [ENTRIES]]``.

FOLDER keeps the logs and records.
"""

from __future__ import annotations

import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from tests.soak import test_soak
from tests.soak.planned import test_bodies
from tests.soak.planned import test_planned
from tests.soak.planned import test_site


if TYPE_CHECKING:
    from collections.abc import Callable


# A soak injects any faults, or planned work on entries and servers, which may also
# name rate limits, be crashed by requests or parts of prompts, fall silent, or send
# bytes without end; on a site the store is disturbed, too. Bodies are of every size.
RUN_SEED_BY_KIND: dict[str, Callable[..., list[str]]] = {
    "faults": test_soak.run_seed,
    "planned": test_planned.run_seed,
    "limits": partial(test_planned.run_seed, includes_limits=True),
    "crashes": partial(test_planned.run_seed, includes_crashes=True),
    "parts": partial(test_planned.run_seed, includes_parts=True),
    "silences": partial(test_planned.run_seed, includes_silences=True),
    "endless": partial(test_planned.run_seed, includes_endless=True),
    "site": test_site.run_seed,
    "bodies": test_bodies.run_seed,
}

if __name__ == "__main__":
    kind = sys.argv[3] if len(sys.argv) > 3 else "faults"
    entry_count = [int(text) for text in sys.argv[4:5]]
    violations = RUN_SEED_BY_KIND[kind](
        int(sys.argv[1]), Path(sys.argv[2]), *entry_count
    )
    print(*violations, sep="\n")
    sys.exit(bool(violations))
