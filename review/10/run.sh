#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.  TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
python=../../.venv/bin/python
"$python" -c "import sys; sys.path.insert(0, '..'); import world_2" || exit 2
exec "$python" case.py
