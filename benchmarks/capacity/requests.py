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

ONE_ROUTER = FleetSize(routers=1, servers=12, zones=1)


def measure_requests(rate: float, size_bytes: int, seconds: float, program: Path) -> dict[str, Any]:
    """Measure one router at ``rate`` requests a second, with responses of ``size_bytes`` bytes."""
    servers = LineProcess(["-m", "testbed.hollow.servers", "--bytes", str(size_bytes)])
    try:
        with temporary_folder() as scratch:
            known = {"n": 1, "events": [servers.first_line["members"]]}
            with RealRouter(
                ONE_ROUTER,
                0,
                servers.first_line["feed"],
                program,
                scratch,
                known=known,
                use_example_settings=True,
            ) as router:
                assert wait_for(router.accepts_connections, 20), router.log.read_text()
                run_load(router, 50, 1)
                before = router.cpu_s()
                load_figures = run_load(router, rate, seconds)
                cpu_s = router.cpu_s() - before
                return {
                    **load_figures,
                    "rate": rate,
                    "bytes": size_bytes,
                    "cpu_share": cpu_s / seconds,
                    "cpu_us_per_request": 1e6 * cpu_s / max(1, load_figures["sent"]),
                    "served_share": load_figures["served"] / max(1, load_figures["sent"]),
                    "memory_kb": router.memory_kb(peak=True),
                }
    finally:
        servers.end()


def run_load(router: RealRouter, rate: float, seconds: float) -> dict[str, Any]:
    """Send requests from a separate process and return its figures."""
    command = [
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
    completed = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=60 + seconds, check=True
    )
    return json.loads(completed.stdout)  # type: ignore[no-any-return]
