#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# Writes record.txt beside this file. TROUBLE=0 plays it without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH=. python3 -m "review.$(basename "$folder").case"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
