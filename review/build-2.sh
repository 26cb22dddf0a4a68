#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 6 (folders review/4 to review/6): they are Python, so
# this compiles them and fails if one can't be read. Nothing is installed.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" python3 - <<'PY'
import compileall
import sys

folders = ("tests/standins", "review/4", "review/5", "review/6")
is_built = all([compileall.compile_dir(one, quiet=1) for one in folders])
is_built = bool(compileall.compile_file("review/harness2.py", quiet=1)) and is_built
sys.exit(0 if is_built else 1)
PY
