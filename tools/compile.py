"""Compile the hot modules with mypyc into .compiled/now, from where `run` starts the router.

A copy of the package is made and compiled there; tests and the simulator's adapter use the uncompiled
sources.  The copy is made again whenever a source has changed.  If no C compiler works, the router runs from
the uncompiled copy at about half the speed, and a line on standard error reports it.
"""

from __future__ import annotations

import hashlib
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
TARGET = ROOT / ".compiled"
PACKAGES = ("kelpcroft",)
# Modules that are compiled together.
HOT_MODULES = (
    "kelpcroft/decision/units.py",
    "kelpcroft/decision/statistics.py",
    "kelpcroft/decision/settings.py",
    "kelpcroft/decision/events.py",
    "kelpcroft/decision/actions.py",
    "kelpcroft/decision/interface.py",
    "kelpcroft/decision/outlier_state.py",
    "kelpcroft/decision/endpoint.py",
    "kelpcroft/decision/object_history.py",
    "kelpcroft/decision/requests.py",
    "kelpcroft/decision/endpoint_directory.py",
    "kelpcroft/decision/router_state.py",
    "kelpcroft/decision/latency_model.py",
    "kelpcroft/decision/freshness.py",
    "kelpcroft/decision/admission.py",
    "kelpcroft/decision/slow_start.py",
    "kelpcroft/decision/idempotency.py",
    "kelpcroft/decision/outlier_ejection.py",
    "kelpcroft/decision/attempt_feedback.py",
    "kelpcroft/decision/cache_selection.py",
    "kelpcroft/decision/fill_sources.py",
    "kelpcroft/decision/request_completion.py",
    "kelpcroft/decision/route_selection.py",
    "kelpcroft/decision/forwarding.py",
    "kelpcroft/decision/retries.py",
    "kelpcroft/decision/policy.py",
    "kelpcroft/core/idempotency_keys.py",
    "kelpcroft/core/request_statistics.py",
    "kelpcroft/core/connection_pool.py",
    "kelpcroft/core/memory_budget.py",
    "kelpcroft/core/state.py",
    "kelpcroft/core/server_connections.py",
    "kelpcroft/core/health_checks.py",
    "kelpcroft/core/response_times.py",
    "kelpcroft/core/client_requests.py",
    "kelpcroft/core/attempt_completion.py",
    "kelpcroft/core/attempt_sending.py",
    "kelpcroft/core/attempts.py",
    "kelpcroft/core/silence_detection.py",
    "kelpcroft/core/decision_loop.py",
    "kelpcroft/core/feed_position.py",
    "kelpcroft/core/endpoint_list.py",
    "kelpcroft/core/configured_feed.py",
    "kelpcroft/core/feed_watch.py",
    "kelpcroft/core/timers.py",
    "kelpcroft/core/clients.py",
    "kelpcroft/core/reducer.py",
    "kelpcroft/net/read_estimate.py",
    "kelpcroft/net/message_scanner.py",
    "kelpcroft/net/client_codec.py",
    "kelpcroft/net/client_memory.py",
    "kelpcroft/net/server_codec.py",
    "kelpcroft/net/buffers.py",
    "kelpcroft/net/fair_turns.py",
    "kelpcroft/net/transport.py",
    "kelpcroft/net/client_connections.py",
    "kelpcroft/net/lingering_close.py",
    "kelpcroft/net/client_acceptor.py",
    "kelpcroft/net/client_responses.py",
    "kelpcroft/net/connector.py",
    "kelpcroft/net/server_connections.py",
    "kelpcroft/net/feed_client.py",
    "kelpcroft/net/control_endpoint.py",
    "kelpcroft/net/signals.py",
    "kelpcroft/net/ready_connections.py",
    "kelpcroft/net/final_flush.py",
    "kelpcroft/net/event_loop.py",
)
# Symbols are not exported, unused functions are removed, and there are no tables for unwinding C++
# exceptions: a router needs half a megabyte less memory, and calls within a library are direct.
COMPILER_FLAGS = "-fvisibility=hidden -ffunction-sections -fno-asynchronous-unwind-tables"
LINKER_FLAGS = "-s -Wl,--gc-sections"
# Compiled separately: modules that are compiled together are loaded together, and these are needed only with
# an operator's file.
ROUTE_MODULES = tuple(f"kelpcroft/routes/{name}.py" for name in ("budget", "sketch", "index", "table"))


def sources() -> list[Path]:
    """Return the files to copy, and the other files that the result depends on."""
    files = [p for package in PACKAGES for p in (ROOT / package).rglob("*") if p.suffix in (".py", ".typed")]
    return sorted([*files, ROOT / "pyproject.toml", ROOT / "requirements.txt", Path(__file__).resolve()])


def digest() -> str:
    """Return the digest of the sources, which names their compiled copy."""
    hasher = hashlib.sha256(sys.version.encode())
    for path in sources():
        hasher.update(str(path.relative_to(ROOT)).encode() + b"\0" + path.read_bytes() + b"\0")
    return hasher.hexdigest()[:16]


def make_copy(folder: Path) -> None:
    """Make the copy in a folder, and compile it if possible."""
    for package in PACKAGES:
        shutil.copytree(
            ROOT / package, folder / package, ignore=shutil.ignore_patterns("__pycache__", "*.so")
        )
    shutil.copy(ROOT / "pyproject.toml", folder)
    for group in (HOT_MODULES, ROUTE_MODULES):
        completed = subprocess.run(
            [sys.executable, "-m", "mypyc", *group],
            cwd=folder,
            capture_output=True,
            text=True,
            env={**os.environ, "MYPYC_OPT_LEVEL": "2", "CFLAGS": COMPILER_FLAGS, "LDFLAGS": LINKER_FLAGS},
        )
        if completed.returncode:
            print(
                f"compilation failed, running uncompiled: {(completed.stderr or completed.stdout)[-600:]}",
                file=sys.stderr,
            )
            for library in folder.rglob("*.so"):
                library.unlink()
            break
    for leftover in (folder / "build", folder / ".mypy_cache"):
        shutil.rmtree(leftover, ignore_errors=True)


def main() -> None:
    """Make the copy of this state of the sources if it is missing, and make `now` point to it."""
    name = digest()
    TARGET.mkdir(exist_ok=True)
    if not (TARGET / name).is_dir():
        with tempfile.TemporaryDirectory(dir=TARGET) as scratch:
            make_copy(Path(scratch) / name)
            (Path(scratch) / name).rename(TARGET / name)
    link = TARGET / "next"
    link.unlink(missing_ok=True)
    link.symlink_to(name)
    link.replace(TARGET / "now")
    for old in TARGET.iterdir():
        if old.name not in (name, "now"):
            shutil.rmtree(old, ignore_errors=True)


if __name__ == "__main__":
    main()
