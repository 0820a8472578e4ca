#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They need Python's standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins.py [1-5]
