#!/bin/sh
# Sets up and runs a deployment with stand-ins on loopback.
. "$(dirname "$0")/setup.sh"
exec .venv/bin/python -m devel.demo "$@"
