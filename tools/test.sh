#!/bin/sh
# Sets up the environment, checks formatting and style, and runs the tests.
. "$(dirname "$0")/setup.sh"
.venv/bin/ruff format --check src devel tests tools bench
.venv/bin/ruff check src devel tests tools bench
.venv/bin/flake8 src devel tests tools bench
exec .venv/bin/python -m tools.run_tests "$@"
