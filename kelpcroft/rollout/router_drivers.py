"""Drivers that execute commands at routers: requests to control addresses, and replacement of processes.

``RouterDriver`` is the common interface.  ``CommandDriver`` replaces processes with the operators' tool, and
``LocalProcessDriver`` replaces processes of this machine (tests, ``./demo``, a single host).  No decision is
based on a driver's result: only the routers' reports show whether a command took effect.
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

from kelpcroft.rollout.events import CommandKind, Event, NoResponse, RouterReport
from kelpcroft.rollout.judge import RequestSample
from kelpcroft.rollout.plan import RolloutPlan, RouterTarget

MAX_RESPONSE_BYTES = 256 * 1024  # greatest size of a control response; a larger one is rejected
MAX_OUTPUT_CHARACTERS = 2_000  # length to which an error text shortens a command's output
MAX_WEIGHT = 1e18  # a larger requested weight in a report is impossible
MIN_REQUEST_TIMEOUT_S, MAX_REQUEST_TIMEOUT_S = 0.2, 5.0  # least and greatest time-out of a control request
POLL_INTERVALS_PER_REQUEST_TIMEOUT = 2  # a control request may take this many polling intervals
STOP_TIMEOUT_S = 10.0  # a local process must end within this time after SIGTERM
STOP_CHECK_INTERVAL_S = 0.02  # time between two checks of whether a local process has ended
SERVICE_UNAVAILABLE = 503  # status of the state response of a router that is not ready

REQUEST_ERRORS = (OSError, http.client.HTTPException, ValueError)  # errors of a control request
CONTROL_PATHS = {  # last path segment of the control request, by command
    CommandKind.DRAIN: "out-of-service",
    CommandKind.ENABLE: "in-service",
}
# Keys of the digests in the response of ``GET /control/state``, by component.
DIGEST_KEYS = {"program": "build", "settings": "settings", "rules": "rules"}


def parse_state(target: RouterTarget, raw: Any) -> Event:
    """Convert a router's state response to an event.

    Args:
        target: The router that was polled.
        raw: The JSON of ``GET /control/state``.

    Returns:
        The router's report, or ``NoResponse`` if the response is malformed, has impossible values, or is that
        of another router.
    """
    try:
        if raw["name"] != target.name:
            return NoResponse(target.name)
        samples = {
            str(name): RequestSample(int(row["asked"]), float(row["worth"]), float(row["in_time"]))
            for name, row in raw["classes"].items()
        }
        if not all(_is_possible(sample) for sample in samples.values()):
            return NoResponse(target.name)
        return RouterReport(
            target.name,
            instance=str(raw["instance"]),
            digests={component: str(raw[key]) for component, key in DIGEST_KEYS.items()},
            # A router that reloaded by SIGHUP while out of service reports that it is not ready until ENABLE.
            ready=raw["ready"] is True or raw.get("why") == "out of service",
            in_service=raw["service"] == "in",
            invariant_violations=int(raw["invariants"]),
            samples_by_class=samples,
            peak_memory_kb=max(0, int(raw.get("memory_kb", 0))),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return NoResponse(target.name)


def _is_possible(sample: RequestSample) -> bool:
    """Whether the counters of a sample are consistent; NaN is rejected as well."""
    return sample.request_count >= 0 and 0 <= sample.in_time_weight <= sample.requested_weight < MAX_WEIGHT


def is_zombie(process_id: int) -> bool:
    """Whether a process has ended but keeps its process id until its parent collects the exit status."""
    try:
        stat = Path(f"/proc/{process_id}/stat").read_text()
        return stat.rpartition(")")[2].split()[0] == "Z"
    except (OSError, IndexError):
        return False


def fill_in_placeholders(arguments: Sequence[str], target: RouterTarget) -> list[str]:
    """The arguments of a command with the placeholders replaced by the router's values."""
    return [
        argument.format(
            router=target.name, zone=target.zone, control=target.control_address, config=target.config_path
        )
        for argument in arguments
    ]


class RouterDriver:
    """Access of the controller to routers.  Subclasses implement the replacement of a process."""

    def __init__(self, plan: RolloutPlan) -> None:
        self.plan = plan
        timeout_s = POLL_INTERVALS_PER_REQUEST_TIMEOUT * plan.poll_interval_ns / 1e9
        self.request_timeout_s = max(MIN_REQUEST_TIMEOUT_S, min(MAX_REQUEST_TIMEOUT_S, timeout_s))

    def request_control(self, target: RouterTarget, method: str, path: str) -> Any:
        """Send one control request.

        Returns:
            The JSON of the response.

        Raises:
            OSError: The connection failed or the request timed out.
            HTTPException: The response is not valid HTTP.
            ValueError: The response has an error status, is too long, or is not JSON.
        """
        host, _, port = target.control_address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=self.request_timeout_s)
        try:
            connection.request(method, f"/control/{path}")
            response = connection.getresponse()
            body = response.read(MAX_RESPONSE_BYTES + 1)
            is_rejected = response.status >= 400 and response.status != SERVICE_UNAVAILABLE
            if is_rejected or len(body) > MAX_RESPONSE_BYTES:
                # This is not a subclass of ValueError, because the stored history contains the class's name.
                raise ValueError(f"response has status {response.status} and {len(body)} bytes")
            return orjson.loads(body)
        finally:
            connection.close()

    def poll(self, target: RouterTarget) -> Event:
        """Request a router's state.

        Returns:
            The router's report, or ``NoResponse`` if the request failed or the response could not be used.
        """
        try:
            return parse_state(target, self.request_control(target, "GET", "state"))
        except REQUEST_ERRORS:
            return NoResponse(target.name)

    def execute(self, target: RouterTarget, kind: CommandKind) -> str:
        """Execute a command.

        Returns:
            "" or the reason of the failure.  "" does not prove that the command took effect; only the
            router's report proves that.
        """
        if kind not in CONTROL_PATHS:
            return self.replace_process(target, kind)
        try:
            self.request_control(target, "PUT", CONTROL_PATHS[kind])
        except REQUEST_ERRORS as error:
            return f"{type(error).__name__}: {error}"
        return ""

    def replace_process(self, target: RouterTarget, kind: CommandKind) -> str:
        """Replace a router's process by one of the new build (APPLY) or the old build (UNDO, RESTART).

        Returns:
            "" or the reason of the failure.
        """
        raise NotImplementedError


class CommandDriver(RouterDriver):
    """Driver that runs the operators' tool, which is an argument list of the plan.

    The tool runs without a shell and with a time-out; a failure is reported with its output.
    """

    def __init__(self, plan: RolloutPlan) -> None:
        super().__init__(plan)
        self._commands = {
            CommandKind.APPLY: plan.apply_command,
            CommandKind.UNDO: plan.undo_command,
            CommandKind.RESTART: plan.restart_command,
        }

    def replace_process(self, target: RouterTarget, kind: CommandKind) -> str:
        """Run the tool for a router.

        Returns:
            "" or the reason of the failure, with the end of the tool's output if it exited with an error.
        """
        arguments = fill_in_placeholders(self._commands[kind], target)
        try:
            completed = subprocess.run(
                arguments,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                timeout=self.plan.command_timeout_ns / 1e9,
                check=False,
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            return f"{arguments[0]}: {error}"[:MAX_OUTPUT_CHARACTERS]
        if not completed.returncode:
            return ""
        output = completed.stdout[-MAX_OUTPUT_CHARACTERS:].decode(errors="replace").strip()
        return f"{arguments[0]} ended with {completed.returncode}: {output}"


class LocalProcessDriver(RouterDriver):
    """Driver for routers that are processes of this machine.

    Each has the folder of a build, a configuration file and an operator's file.  The process to end is
    identified by the router's state, which is requested right before SIGTERM: its ``instance`` begins with
    the process id.  A process that already is in the commanded state is not replaced, so that a command may
    be repeated.
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
        self._restarted_instances: dict[str, str] = {}  # by router: the instance that its restart ends

    def replace_process(self, target: RouterTarget, kind: CommandKind) -> str:
        """Stop the process at a router's address, and start one from the folder of the commanded build.

        A process that already is in the commanded state is not replaced.

        Returns:
            "" or the reason of the failure.
        """
        self.children = [child for child in self.children if child.poll() is None]
        try:
            raw = self.request_control(target, "GET", "state")
        except ConnectionRefusedError:
            raw = None  # no process listens there
        except REQUEST_ERRORS as error:
            return f"state request to {target.control_address} failed: {error}"
        if raw is None:
            return self.start_process(target, Path(self._folders[kind]))
        if not isinstance(raw, dict) or raw.get("name") != target.name:
            return f"process at {target.control_address} is another router"
        instance = str(raw.get("instance"))
        if self._has_taken_effect(target, kind, instance, raw.get("build") == self._new_digest):
            return ""
        process_id = instance.partition("-")[0]
        if not process_id.isdigit():
            return f"instance {instance!r} does not begin with a process id"
        failure = self.stop_process(int(process_id))
        return failure or self.start_process(target, Path(self._folders[kind]))

    def _has_taken_effect(self, target: RouterTarget, kind: CommandKind, instance: str, is_new: bool) -> bool:
        """Whether a command has already taken effect.

        A RESTART has taken effect if the instance differs from the one that the first RESTART recorded.
        """
        if kind is not CommandKind.RESTART:
            return is_new == (kind is CommandKind.APPLY)
        if self._restarted_instances.get(target.name) not in (None, instance):
            return True
        self._restarted_instances[target.name] = instance
        return False

    def stop_process(self, process_id: int) -> str:
        """Send SIGTERM to a process and wait until it ends.

        Returns:
            "" or the reason why the process did not end.
        """
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
        """Start a process that outlives this one; its log file is in the folder of its configuration file.

        Returns:
            "" or the reason of the failure.
        """
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
    """The driver for a plan: LocalProcessDriver if it has local builds, otherwise CommandDriver."""
    return LocalProcessDriver(plan) if plan.local_builds else CommandDriver(plan)
