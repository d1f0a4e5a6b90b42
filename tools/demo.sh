#!/bin/sh
# Sets up the environment and runs a demo deployment on loopback addresses,
# with stand-ins for the platform and the backend servers.
. "$(dirname "$0")/setup.sh"
exec .venv/bin/python -m devel.demo "$@"
