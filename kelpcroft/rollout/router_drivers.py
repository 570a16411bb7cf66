"""What touches routers: their control addresses, and what starts and ends their processes.

One interface, two ways behind it: the operators' own tool (``CommandDriver``), and processes of this
machine (``LocalProcessDriver``: tests, ``./demo``, a single host).  Neither decides anything: what a router
reports does.
"""

from __future__ import annotations

import http.client
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import orjson

from kelpcroft.rollout.events import CommandKind, Event, NoAnswer, RouterReport
from kelpcroft.rollout.judge import RequestSample
from kelpcroft.rollout.plan import RolloutPlan, RouterTarget

MAX_ANSWER_BYTES = 256 * 1024  # of a router's state that are read
MAX_OUTPUT_CHARACTERS = 2_000  # of a command's output that are kept
MAX_WEIGHT = 1e18  # a router that reports more has lost count
MIN_CALL_TIMEOUT_S, MAX_CALL_TIMEOUT_S = 0.2, 5.0
POLLS_PER_CALL_TIMEOUT = 2
STOP_TIMEOUT_S = 10.0  # a local process must end by itself within this
STOP_CHECK_INTERVAL_S = 0.02
SERVICE_UNAVAILABLE = 503  # a router that is not ready answers with it, and with its state

CALL_ERRORS = (OSError, http.client.HTTPException, ValueError)  # of a call on a control address
CONTROL_VERBS = {CommandKind.DRAIN: "out-of-service", CommandKind.ENABLE: "in-service"}
DIGEST_KEYS = {
    "program": "build",
    "settings": "settings",
    "rules": "rules",
}  # by component, in /control/state


def parse_state(target: RouterTarget, raw: Any) -> Event:
    """A router's answer as an event.

    Args:
        target: Who was asked.
        raw: The JSON of ``GET /control/state``.

    Returns:
        Its report; ``NoAnswer`` where it cannot be read, is impossible, or is another router's.
    """
    try:
        if raw["name"] != target.name:
            return NoAnswer(target.name)
        samples = {
            str(name): RequestSample(int(row["asked"]), float(row["worth"]), float(row["in_time"]))
            for name, row in raw["classes"].items()
        }
        if not all(_is_possible(sample) for sample in samples.values()):
            return NoAnswer(target.name)
        return RouterReport(
            target.name,
            instance=str(raw["instance"]),
            digests={component: str(raw[key]) for component, key in DIGEST_KEYS.items()},
            # One that SIGHUP changed while it was out of service says that it is not ready until ENABLE.
            ready=raw["ready"] is True or raw.get("why") == "out of service",
            in_service=raw["service"] == "in",
            invariant_violations=int(raw["invariants"]),
            samples_by_class=samples,
            peak_memory_kb=max(0, int(raw.get("memory_kb", 0))),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return NoAnswer(target.name)


def _is_possible(sample: RequestSample) -> bool:
    """Whether a router may have counted so; not a number is impossible too."""
    return sample.request_count >= 0 and 0 <= sample.in_time_weight <= sample.requested_weight < MAX_WEIGHT


def is_zombie(process_id: int) -> bool:
    """Whether a process has ended and only waits for its parent to ask how: it still has its number."""
    try:
        stat = Path(f"/proc/{process_id}/stat").read_text()
        return stat.rpartition(")")[2].split()[0] == "Z"
    except (OSError, IndexError):
        return False


def fill_in_placeholders(words: Sequence[str], target: RouterTarget) -> list[str]:
    """A command's words with what stands in braces filled in."""
    return [
        word.format(
            router=target.name, zone=target.zone, control=target.control_address, config=target.config_path
        )
        for word in words
    ]


class RouterDriver:
    """What a controller needs of routers.  A subclass says how a process is replaced."""

    def __init__(self, plan: RolloutPlan) -> None:
        self.plan = plan
        polls_s = POLLS_PER_CALL_TIMEOUT * plan.poll_interval_ns / 1e9
        self.call_timeout_s = max(MIN_CALL_TIMEOUT_S, min(MAX_CALL_TIMEOUT_S, polls_s))

    def call_control(self, target: RouterTarget, method: str, verb: str) -> Any:
        """Make one call on a control address.

        Returns:
            The JSON of the answer.

        Raises:
            OSError: Nothing answers.
            HTTPException: What answers speaks no HTTP.
            ValueError: The answer is refused, too long or no JSON.
        """
        host, _, port = target.control_address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=self.call_timeout_s)
        try:
            connection.request(method, f"/control/{verb}")
            answer = connection.getresponse()
            body = answer.read(MAX_ANSWER_BYTES + 1)
            is_refused = answer.status >= 400 and answer.status != SERVICE_UNAVAILABLE
            if is_refused or len(body) > MAX_ANSWER_BYTES:
                # A plain ValueError: its class's name stands in the stored history.
                raise ValueError(f"answered {answer.status} with {len(body)} bytes")
            return orjson.loads(body)
        finally:
            connection.close()

    def poll(self, target: RouterTarget) -> Event:
        """A router's report, or that it did not answer."""
        try:
            return parse_state(target, self.call_control(target, "GET", "state"))
        except CALL_ERRORS:
            return NoAnswer(target.name)

    def execute(self, target: RouterTarget, kind: CommandKind) -> str:
        """Carry a command out.

        Returns:
            "" or why it failed.  That it did not fail proves nothing: only the router's report does.
        """
        if kind not in CONTROL_VERBS:
            return self.replace_process(target, kind)
        try:
            self.call_control(target, "PUT", CONTROL_VERBS[kind])
        except CALL_ERRORS as error:
            return f"{type(error).__name__}: {error}"
        return ""

    def replace_process(self, target: RouterTarget, kind: CommandKind) -> str:
        """Start a router's process anew, of the new build, the old or its own; "" or why it failed."""
        raise NotImplementedError


class CommandDriver(RouterDriver):
    """The operators' own tool: an argument list from the file, no shell, a time-out, its output kept."""

    def __init__(self, plan: RolloutPlan) -> None:
        super().__init__(plan)
        self._commands = {
            CommandKind.APPLY: plan.apply_command,
            CommandKind.UNDO: plan.undo_command,
            CommandKind.RESTART: plan.restart_command,
        }

    def replace_process(self, target: RouterTarget, kind: CommandKind) -> str:
        """Run the tool for a router; "" or why it failed, with the end of its output."""
        words = fill_in_placeholders(self._commands[kind], target)
        try:
            ended = subprocess.run(
                words,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                timeout=self.plan.command_timeout_ns / 1e9,
                check=False,
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            return f"{words[0]}: {error}"[:MAX_OUTPUT_CHARACTERS]
        if not ended.returncode:
            return ""
        output = ended.stdout[-MAX_OUTPUT_CHARACTERS:].decode(errors="replace").strip()
        return f"{words[0]} ended with {ended.returncode}: {output}"


class LocalProcessDriver(RouterDriver):
    """Processes of this machine, each with the folder of a build, its configuration and its operator's file.

    The process to end is the one that the router names (its ``instance`` begins with the process's number),
    asked for right before SIGTERM.  What runs as it should is left alone, so that a command may be repeated.
    """

    def __init__(self, plan: RolloutPlan) -> None:
        super().__init__(plan)
        assert plan.local_builds is not None
        self._folders = {
            CommandKind.UNDO: plan.local_builds.old,
            CommandKind.RESTART: plan.local_builds.old,
            CommandKind.APPLY: plan.local_builds.new,
        }
        self._new_digest = dict(plan.changes).get("program", "")
        self.children: list[subprocess.Popen[bytes]] = []
        self._restarted_instances: dict[str, str] = {}  # by router: the instance that a restart ends

    def replace_process(self, target: RouterTarget, kind: CommandKind) -> str:
        """End what runs at a router's address, unless it is as it should be, and start the build's folder."""
        self.children = [child for child in self.children if child.poll() is None]
        try:
            raw = self.call_control(target, "GET", "state")
        except ConnectionRefusedError:
            raw = None  # nothing runs there
        except CALL_ERRORS as error:
            return f"what runs at {target.control_address} does not say what it is: {error}"
        if raw is None:
            return self.start_process(target, Path(self._folders[kind]))
        if not isinstance(raw, dict) or raw.get("name") != target.name:
            return f"at {target.control_address} is another router"
        instance = str(raw.get("instance"))
        if self._is_as_ordered(target, kind, instance, raw.get("build") == self._new_digest):
            return ""
        process_id = instance.partition("-")[0]
        if not process_id.isdigit():
            return f"instance {instance!r} does not begin with a process's number"
        why = self.stop_process(int(process_id))
        return why or self.start_process(target, Path(self._folders[kind]))

    def _is_as_ordered(self, target: RouterTarget, kind: CommandKind, instance: str, is_new: bool) -> bool:
        """Whether a command has been carried out already; the instance that a restart ends is remembered."""
        if kind is not CommandKind.RESTART:
            return is_new == (kind is CommandKind.APPLY)
        if self._restarted_instances.get(target.name) not in (None, instance):
            return True
        self._restarted_instances[target.name] = instance
        return False

    def stop_process(self, process_id: int) -> str:
        """Ask a process to end, and see that it does; "" or why it does not."""
        child = next((child for child in self.children if child.pid == process_id), None)
        try:
            os.kill(process_id, signal.SIGTERM)
            deadline_s = time.monotonic() + min(STOP_TIMEOUT_S, self.plan.command_timeout_ns / 1e9)
            while time.monotonic() < deadline_s:
                if child is not None and child.poll() is not None:
                    return ""
                os.kill(process_id, 0)
                if is_zombie(process_id):
                    return ""
                time.sleep(STOP_CHECK_INTERVAL_S)
        except ProcessLookupError:
            return ""
        except PermissionError as error:
            return f"process {process_id}: {error.strerror}"
        return f"process {process_id} does not end"

    def start_process(self, target: RouterTarget, folder: Path) -> str:
        """Start a process that outlives this one; its log goes beside its configuration."""
        config = Path(target.config_path).absolute()
        environment = {**os.environ, "ROUTER_CONFIG": str(config), "ROUTER_NAME": target.name}
        environment.pop("ROUTER_RULES", None)
        if target.rules_path:
            environment["ROUTER_RULES"] = str(Path(target.rules_path).absolute())
        try:
            with config.with_suffix(".log").open("ab") as log:
                child = subprocess.Popen(
                    [sys.executable, "-O", "-m", "kelpcroft"],
                    cwd=folder,
                    env=environment,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    start_new_session=True,
                )
        except OSError as error:
            return f"{folder}: {error.strerror}"
        self.children.append(child)
        return ""


def driver_for(plan: RolloutPlan) -> RouterDriver:
    """The driver that a plan names."""
    return LocalProcessDriver(plan) if plan.local_builds else CommandDriver(plan)
