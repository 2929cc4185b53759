#!/usr/bin/env bash
# Checks that every stand-in that a script of this review starts can be started.
# They are Python and need no build: those of this review only the standard
# library, the project's own what the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c 'import standins.core, review.common2.server, review.common2.stage'
