#!/bin/bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.  TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
exec 3<&- # the routers inherit the clients' listening socket as descriptor 3
PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 exec ../../.venv/bin/python case.py
