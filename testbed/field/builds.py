"""Builds of the program: copies of its package, unchanged or with a deliberate defect."""

from __future__ import annotations

import shutil
from pathlib import Path

from testbed.stand_ins import ROOT

Change = tuple[str, str, str]  # file, text in the source, replacement


def reject_requests_if(condition: str) -> Change:
    """A change that makes the router reject the requests for which the expression ``condition`` is true."""
    anchor = "        reason = self.reject_reason(message, is_keyed)\n"
    return (
        "kelpcroft/core/client_requests.py",
        anchor,
        "        self.request_count = getattr(self, 'request_count', 0) + 1  # of this router's requests\n"
        f"        if {condition}:\n"
        "            self.state.last_number += 1\n"
        '            self.reject(message, "defect")\n'
        "            return\n" + anchor,
    )


DEFECTS: dict[str, tuple[Change, ...]] = {
    "sound": (("kelpcroft/__init__.py", "", "# another build\n"),),
    "refuses": (reject_requests_if("self.request_count % 3 == 0"),),
    "crashes": (
        (
            "kelpcroft/core/housekeeping.py",
            "        state.schedule(HOUSEKEEPING_INTERVAL_NS, TimerKind.HOUSEKEEPING)\n",
            (
                "        state.schedule(HOUSEKEEPING_INTERVAL_NS, TimerKind.HOUSEKEEPING)\n"
                "        if state.now - self.counters_logged_ns > 3 * SECOND:\n"
                "            raise SystemExit(1)\n"
            ),
        ),
    ),
    "slow": (  # responses of servers are handled 200 ms late
        (
            "kelpcroft/net/server_connections.py",
            ("        for response in responses:\n            self.transport.handle_input(response)\n"),
            (
                "        self.delayed = getattr(self, 'delayed', [])\n"
                "        due = self.transport.clock.now() + 200_000_000\n"
                "        self.delayed += [(due, response) for response in responses]\n"
            ),
        ),
        (
            "kelpcroft/net/event_loop.py",
            "        reported = self.transport.selector.select(wait_s)\n",
            (
                "        wait_s = min(wait_s, 0.005)\n"
                "        reported = self.transport.selector.select(wait_s)\n"
                "        delayed = getattr(self.servers, 'delayed', [])\n"
                "        while delayed and delayed[0][0] <= self.clock.now():\n"
                "            self.transport.handle_input(delayed.pop(0)[1])\n"
            ),
        ),
    ),
    "one in twenty": (reject_requests_if("self.request_count % 20 == 0"),),
    "one class": (reject_requests_if("message.request_class == 'order'"),),
    "one zone": (reject_requests_if("self.state.settings.zone == 'z1' and self.request_count % 3 == 0"),),
    "leaks": (
        (
            "kelpcroft/core/client_requests.py",
            "        if self.close_misbehaving_client(message):\n",
            (
                "        self.leaked = getattr(self, 'leaked', [])\n"
                "        self.leaked.append(bytearray(b'x' * 400_000))\n"
                "        if self.close_misbehaving_client(message):\n"
            ),
        ),
    ),
    "breaks an invariant": (
        (
            "kelpcroft/core/client_requests.py",
            "        if self.close_misbehaving_client(message):\n",
            '        check_invariant(self.state.last_number % 50 != 0, "a defect")\n'
            "        if self.close_misbehaving_client(message):\n",
        ),
    ),
    # One defect for each rule of the contract checker.
    "answers nothing": (
        (
            "kelpcroft/core/client_requests.py",
            "        if response:\n            state.effects.append(response)\n",
            "        if response and state.last_number % 10:\n            state.effects.append(response)\n",
        ),
    ),
    "runs twice": (
        (
            "kelpcroft/decision/idempotency.py",
            "        if is_safe or executed is None:\n",
            "        if True:\n",
        ),
    ),
    "sends to the drained": (
        (
            "kelpcroft/decision/endpoint_directory.py",
            '    return endpoint.is_listed and endpoint.server.state == "in_service"\n',
            "    return True\n",
        ),
        (
            "kelpcroft/core/endpoint_list.py",
            "            if endpoint.state == IN_SERVICE:\n",
            "            if True:\n",
        ),
    ),
    "floods the cold": (
        (
            "kelpcroft/decision/slow_start.py",
            "        if warm_fraction >= 1:\n            return True\n",
            "        return True\n",
        ),
        (
            "kelpcroft/decision/cache_selection.py",
            "            weight = cache.server.weight * warm_fraction * preference\n",
            "            weight = cache.server.weight\n",
        ),
    ),
    "serves the purged": (
        (
            "kelpcroft/decision/freshness.py",
            "        limit = max(PURGE_MARGIN_NS, self.state.now_ns - purged_ns - PURGE_MARGIN_NS)\n",
            "        return 0\n",
        ),
    ),
    "never-ready": (
        (
            "kelpcroft/core/process_status.py",
            '        if self.is_shutting_down:\n            return "ending"\n',
            '        if True:\n            return "never"\n',
        ),
    ),
}


def build_program(folder: Path, defect: str = "sound") -> Path:
    """Copy the program into ``folder`` and apply a defect.

    Raises:
        ValueError: The text that the defect replaces is no longer in the source.
    """
    for package in ("kelpcroft",):
        shutil.copytree(
            ROOT / package, folder / package, ignore=shutil.ignore_patterns("__pycache__", "*.so")
        )
    for name, old, new in DEFECTS[defect]:
        path = folder / name
        text = path.read_text()
        if text.count(old) < 1:
            raise ValueError(f"defect {defect!r}: {name} has no {old!r}")
        path.write_text(text.replace(old, new, 1) if old else new + text)
    return folder
