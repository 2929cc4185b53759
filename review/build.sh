#!/usr/bin/env bash
# Builds what the scripts start: their stand-ins need only Python's own library,
# and the entries what the build of deploy/system.toml has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
for file in review/lib/*.py review/[0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
