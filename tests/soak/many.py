"""Runs many seeds of the soak in parallel: ``python -m tests.soak.many``."""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

from tests.soak.planned.endless_work import PEAKS_FILE


KINDS = (
    "faults",
    "planned",
    "limits",
    "crashes",
    "parts",
    "silences",
    "endless",
    "site",
    "bodies",
)
DEFAULT_SEED_COUNT = 50
DEFAULT_PARALLEL_RUNS = 4


def main() -> None:
    """Run seeds and print the violations; exit with code 1 if there are any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", choices=KINDS, default="faults")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEED_COUNT)
    parser.add_argument("--side-by-side", type=int, default=DEFAULT_PARALLEL_RUNS)
    parser.add_argument("--entries", type=int, help="not for the kind faults")
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    run_seed = partial(_run_seed_in_process, arguments.kind, arguments.entries)
    with ThreadPoolExecutor(arguments.side_by_side) as pool:
        results = list(pool.map(run_seed, seeds))
    failed = [
        seed for seed, has_passed in zip(seeds, results, strict=True) if not has_passed
    ]
    print(f"{len(seeds)} seeds, {len(failed)} with something found: {failed}")
    sys.exit(bool(failed))


def _run_seed_in_process(kind: str, entry_count: int | None, seed: int) -> bool:
    """Run one seed in a process, which reserves its own block of ports."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{kind}-{seed}-"))
    command = [sys.executable, "-m", "tests.soak.one", str(seed), str(folder), kind]
    if entry_count is not None:
        command.append(str(entry_count))
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    peaks = folder / PEAKS_FILE
    if peaks.exists():
        print(f"seed {seed}: peak memory {peaks.read_text('utf-8')}", flush=True)
    if completed.returncode:
        print(
            f"seed {seed} ({folder}):\n{completed.stdout}{completed.stderr[-2000:]}",
            flush=True,
        )
    return completed.returncode == 0


if __name__ == "__main__":
    main()
