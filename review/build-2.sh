#!/bin/bash
# Prepares cases 6 to 10, after the build of the deploy file: the stand-ins are Python and are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
test -d .compiled/now/kelpcroft || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review/world_2.py review/6 review/7 review/8 review/9 review/10
