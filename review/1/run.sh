#!/bin/bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.  TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
../../.venv/bin/python -c 'import case' || exit 2 # nothing is built
exec ../../.venv/bin/python case.py
