#!/usr/bin/env bash
# Creates the virtual environment from the lock file and installs the package into it.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${BRIARDYKE_VENV:-.venv}"
stamp="$venv/.installed"
if ! cmp -s requirements.lock "$stamp"; then
  python3.11 -m venv "$venv"
  "$venv/bin/pip" install --quiet --disable-pip-version-check -r requirements.lock
  cp requirements.lock "$stamp"
fi
if [ ! -x "$venv/bin/briardyke-entry" ]; then
  "$venv/bin/pip" install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
fi
