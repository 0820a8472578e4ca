#!/usr/bin/env bash
# Plays the bench on a copy of the committed sources, so that work on them can go on.
# Usage: FLEETBENCH=<path of the bench> scripts/play.sh NAME VERB SITE...; output goes to run/NAME.log.
set -euo pipefail
cd "$(dirname "$0")/.."
name="$1"
shift
copy="$PWD/run/play-$name"
if [ -d "$copy" ]; then
  git -C "$copy" fetch --quiet origin
  git -C "$copy" checkout --quiet --detach "$(git rev-parse HEAD)"
else
  mkdir -p run
  git clone --quiet . "$copy"
fi
(cd "$copy" && "$FLEETBENCH" "$@") > "run/$name.log" 2>&1 || true
cp -rn "$copy/journal/." journal/
