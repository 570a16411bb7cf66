"""Cost of a request at one router, started as `run` starts it, by request rate and by response size."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from testbed.hollow.configuration import FleetSize
from testbed.hollow.processes import LineProcess, RealRouter, temporary_folder, wait_for
from testbed.stand_ins import ROOT

ONE = FleetSize(routers=1, servers=12, zones=1)


def served(rate: float, size_bytes: int, seconds: float, program: Path) -> dict[str, Any]:
    """Measure one router at ``rate`` requests a second, with responses of ``size_bytes`` bytes."""
    servers = LineProcess(["-m", "testbed.hollow.servers", "--bytes", str(size_bytes)])
    try:
        with temporary_folder() as scratch:
            known = {"n": 1, "events": [servers.first_line["members"]]}
            with RealRouter(
                ONE, 0, servers.first_line["feed"], program, scratch, known=known, use_example_settings=True
            ) as router:
                assert wait_for(router.accepts_connections, 20), router.log.read_text()
                load(router, 50, 1)
                before = router.cpu_s()
                told = load(router, rate, seconds)
                cpu = router.cpu_s() - before
                return {
                    **told,
                    "rate": rate,
                    "bytes": size_bytes,
                    "cpu_share": cpu / seconds,
                    "cpu_us_per_request": 1e6 * cpu / max(1, told["sent"]),
                    "served_share": told["served"] / max(1, told["sent"]),
                    "memory_kb": router.memory_kb(peak=True),
                }
    finally:
        servers.end()


def load(router: RealRouter, rate: float, seconds: float) -> dict[str, Any]:
    """Send requests from a separate process: its figures."""
    words = [
        sys.executable,
        "-m",
        "testbed.hollow.load",
        "--to",
        router.listen,
        "--rate",
        str(rate),
        "--seconds",
        str(seconds),
    ]
    done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=60 + seconds, check=True)
    return json.loads(done.stdout)  # type: ignore[no-any-return]
