#!/bin/sh
# Builds every stand-in that a script starts: they are Python, so this only
# checks that they compile and import what the deploy file has built.
set -e
cd "$(dirname "$0")/.."
for file in review/*.py review/*/case.py devel/store_standin.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:. python3 -c 'from devel import store_standin'
