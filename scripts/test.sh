#!/usr/bin/env bash
# Installs what the tests need, then runs every test: pytest and behave.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
venv="${BRIARDYKE_VENV:-.venv}"
export PYTHONPATH="$PWD/src" PYTHONHASHSEED=0
"$venv/bin/python" -m pytest "$@"
if [ -d features ]; then
  "$venv/bin/behave" --no-capture --format progress features
fi
