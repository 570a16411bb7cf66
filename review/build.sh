#!/bin/bash
# The stand-ins of the cases are Python (world.py and case.py): nothing is compiled.  Run after the build of the deploy
# file, whose environment they use.
set -euo pipefail
cd "$(dirname "$0")"
for case in */case.py; do
    ../.venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 ../.venv/bin/python -c 'import world'
