# Creates the virtual environment; the other scripts source this file.
set -eu
cd "$(dirname "$0")/.."
python="${PYTHON:-python3}"
if [ ! -x .venv/bin/python ]; then
    "$python" -m venv .venv
fi
if ! cmp -s pyproject.toml .venv/installed; then
    .venv/bin/python -m pip install --quiet --disable-pip-version-check \
        --constraint constraints.txt --editable '.[devel]'
    cp pyproject.toml .venv/installed
fi
