#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python programs of the standard library only, so nothing is compiled; this
# checks that they can be loaded. The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -B -c 'import platform3, traffic3'
for case in 1[1-5]/case.py; do
  [ -f "$case" ] && python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
echo "stand-ins: ok"
