#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs that need
# the folder that the build of the deploy file makes, so this only checks that
# each of them can be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:src:review:."
[ -d target/deps ] || { echo 'build as deploy/system.toml says first' >&2; exit 2; }
python3 -c 'import devel.store_standin, rig2'
