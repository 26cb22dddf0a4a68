#!/bin/sh
# Runs case.py of the folder given; exit code 2 if the product is not built.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -d "$root/target/deps/kingcupwheel" ]; then
    echo "target/ is missing: run the build of deploy/system.toml first" >&2
    exit 2
fi
cd "$root" || exit 2
exec python3 -B "$folder/case.py"
