#!/usr/bin/env bash
# Installs what the tests need, then runs every test: pytest and behave.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
venv="${BRIARDYKE_VENV:-.venv}"
export PYTHONPATH="$PWD/src" PYTHONHASHSEED=0
# Tests with a known open fault are listed in KNOWN-RED.txt; they are printed and passed over.
known_red=()
if [ -f KNOWN-RED.txt ]; then
  while read -r test; do
    echo "known red, not run: $test"
    known_red+=("--deselect=$test")
  done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
"$venv/bin/python" -m pytest "${known_red[@]}" "$@"
if [ -d features ]; then
  "$venv/bin/behave" --no-capture --format progress features
fi
