#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# Writes record.txt beside this file. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH=. exec python3 -m "review.$(basename "$(dirname "$(realpath "$0")")").case"
