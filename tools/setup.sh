# Creates the virtual environment; the other scripts source this file.
set -eu
cd "$(dirname "$0")/.."
python="${PYTHON:-python3}"
# An environment of another processor or Python does not run here.
version='import platform, sys; print(platform.machine(), sys.version)'
key="$("$python" -c "$version"; cat pyproject.toml constraints.txt)"
if [ "$(cat .venv/installed 2>/dev/null)" != "$key" ]; then
    rm -rf .venv
    "$python" -m venv .venv
    .venv/bin/python -m pip install --quiet --disable-pip-version-check \
        --constraint constraints.txt --editable '.[devel]'
    printf '%s\n' "$key" > .venv/installed
fi
