"""Plays many seeds of the soak, some side by side: ``python -m tests.soak.many``."""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path


DEFAULT_SEED_COUNT = 50
DEFAULT_PARALLEL_RUNS = 4
# Blocks of a thousand ports below those that the system deals out itself.
PORT_BLOCK_COUNT = 19


def main() -> None:
    """Play seeds and print what was found; exit code 1 if anything was."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", choices=("faults", "planned"), default="faults")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEED_COUNT)
    parser.add_argument("--side-by-side", type=int, default=DEFAULT_PARALLEL_RUNS)
    wanted = parser.parse_args()
    seeds = range(wanted.first, wanted.first + wanted.seeds)
    with ThreadPoolExecutor(wanted.side_by_side) as pool:
        results = list(pool.map(partial(_run_seed_in_process, wanted.kind), seeds))
    bad = [seed for seed, good in zip(seeds, results, strict=True) if not good]
    print(f"{len(seeds)} seeds, {len(bad)} with something found: {bad}")
    sys.exit(bool(bad))


def _run_seed_in_process(kind: str, seed: int) -> bool:
    """Play one seed in a process of its own, with its own block of ports."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{kind}-{seed}-"))
    command = [sys.executable, "-m", "tests.soak.one", str(seed), str(folder), kind]
    # Each has a block of ports of its own.
    environment = {**os.environ, "PYTEST_XDIST_WORKER": f"gw{seed % PORT_BLOCK_COUNT}"}
    done = subprocess.run(
        command, capture_output=True, text=True, check=False, env=environment
    )
    if done.returncode:
        print(
            f"seed {seed} ({folder}):\n{done.stdout}{done.stderr[-2000:]}", flush=True
        )
    return done.returncode == 0


if __name__ == "__main__":
    main()
