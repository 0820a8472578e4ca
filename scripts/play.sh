#!/usr/bin/env bash
# Plays the bench on a copy of the committed sources, so that work on them can go on.
# Usage: FLEETBENCH=<path of the bench> scripts/play.sh NAME VERB SITE...; output goes to run/NAME.log.
set -euo pipefail
cd "$(dirname "$0")/.."
name="$1"
shift
copy="$PWD/run/play-$name"
rm -rf "$copy"
mkdir -p run
git clone --quiet . "$copy"
(cd "$copy" && "$FLEETBENCH" "$@") > "run/$name.log" 2>&1 || true
cp -ru "$copy/journal/." journal/
