"""What touches routers: their control addresses, and what starts and ends their processes.

One interface, two ways behind it: the operators' own tool (``Commands``), and processes of this machine
(``Local``: tests, ``./demo``, a single host).  Neither decides anything: the router's own word does."""

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

ANSWER_MOST = 256 * 1024  # bytes of a router's state that are read
OUTPUT_MOST = 2_000  # characters of a command's output that are kept
END_S = 10.0  # a local process has so long to end by itself
CALLS = {CommandKind.DRAIN: "out-of-service", CommandKind.ENABLE: "in-service"}
TOLD = {"program": "build", "settings": "settings", "rules": "rules"}


def report_of(target: RouterTarget, raw: Any) -> Event:
    """A router's answer as an event; one that cannot be read, or is another router's, counts as silence."""
    try:
        if raw["name"] != target.name:
            return NoAnswer(target.name)
        classes = {
            str(cls): RequestSample(int(c["asked"]), float(c["worth"]), float(c["in_time"]))
            for cls, c in raw["classes"].items()
        }
        if any(
            not 0 <= s.in_time_weight <= s.requested_weight < 1e18 or s.request_count < 0
            for s in classes.values()
        ):
            return NoAnswer(target.name)
        return RouterReport(
            target.name,
            str(raw["instance"]),
            {what: str(raw[key]) for what, key in TOLD.items()},
            # Taken out of service it is not ready by its own word: one that SIGHUP changes stays so until IN.
            raw["ready"] is True or raw.get("why") == "out of service",
            raw["service"] == "in",
            int(raw["invariants"]),
            classes,
            max(0, int(raw.get("memory_kb", 0))),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return NoAnswer(target.name)


def unreaped(number: int) -> bool:
    """Whether a process has ended and only waits for who started it to ask how: it still has its number."""
    try:
        return Path(f"/proc/{number}/stat").read_text().rpartition(")")[2].split()[0] == "Z"
    except (OSError, IndexError):
        return False


def filled(words: Sequence[str], target: RouterTarget) -> list[str]:
    """A command's words with what stands in braces filled in."""
    return [
        w.format(
            router=target.name, zone=target.zone, control=target.control_address, config=target.config_path
        )
        for w in words
    ]


class RouterDriver:
    """What touches routers: their control addresses, and the operators' own tool."""

    def __init__(self, plan: RolloutPlan) -> None:
        self.plan = plan
        self.timeout_s = max(0.2, min(5.0, 2 * plan.poll_interval_ns / 1e9))

    def call_control(self, target: RouterTarget, method: str, verb: str) -> Any:
        """One call on a control address.  Raises OSError, HTTPException or ValueError."""
        host, _, port = target.control_address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=self.timeout_s)
        try:
            connection.request(method, f"/control/{verb}")
            answer = connection.getresponse()
            body = answer.read(ANSWER_MOST + 1)
            if answer.status >= 400 and answer.status != 503 or len(body) > ANSWER_MOST:
                raise ValueError(f"answered {answer.status} with {len(body)} bytes")
            return orjson.loads(body)
        finally:
            connection.close()

    def poll(self, target: RouterTarget) -> Event:
        """A router's state, or silence."""
        try:
            return report_of(target, self.call_control(target, "GET", "state"))
        except (OSError, http.client.HTTPException, ValueError):
            return NoAnswer(target.name)

    def execute(self, target: RouterTarget, kind: CommandKind) -> str:
        """Carry an order out: "" or why it failed.  That it did not fail proves nothing: the router tells."""
        if kind in CALLS:
            try:
                self.call_control(target, "PUT", CALLS[kind])
                return ""
            except (OSError, http.client.HTTPException, ValueError) as error:
                return f"{type(error).__name__}: {error}"
        return self.change(target, kind)

    def change(self, target: RouterTarget, act: CommandKind) -> str:
        """Start a router's process anew, of the new build, the old or its own; "" or why it failed."""
        raise NotImplementedError


class CommandDriver(RouterDriver):
    """The operators' own tool: an argument list from the file, no shell, a time-out, its output kept."""

    def change(self, target: RouterTarget, act: CommandKind) -> str:
        found = {
            CommandKind.APPLY: self.plan.apply_command,
            CommandKind.UNDO: self.plan.undo_command,
            CommandKind.RESTART: self.plan.restart_command,
        }[act]
        words = filled(found, target)
        try:
            done = subprocess.run(
                words,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                timeout=self.plan.command_timeout_ns / 1e9,
                check=False,
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            return f"{words[0]}: {error}"[:OUTPUT_MOST]
        text = done.stdout[-OUTPUT_MOST:].decode(errors="replace").strip()
        return f"{words[0]} ended with {done.returncode}: {text}" if done.returncode else ""


class LocalProcessDriver(RouterDriver):
    """Processes of this machine, each with the folder of a build, its configuration and its operator's file.

    A router's process is known by its own word (``instance`` begins with its number), asked for right before
    it is told to end.  What runs as it should is left alone, so that an order may be repeated."""

    def __init__(self, plan: RolloutPlan) -> None:
        super().__init__(plan)
        assert plan.local_builds is not None
        self.folders = {
            CommandKind.UNDO: plan.local_builds[0],
            CommandKind.RESTART: plan.local_builds[0],
            CommandKind.APPLY: plan.local_builds[1],
        }
        self.new = dict(plan.changes).get("program", "")
        self.children: list[subprocess.Popen[bytes]] = []
        self.restarted: dict[str, str] = {}  # by router: the instance that was told to end

    def change(self, target: RouterTarget, act: CommandKind) -> str:
        self.children = [c for c in self.children if c.poll() is None]
        try:
            raw = self.call_control(target, "GET", "state")
        except ConnectionRefusedError:
            raw = None  # nothing runs there
        except (OSError, http.client.HTTPException, ValueError) as error:
            return f"what runs at {target.control_address} does not say what it is: {error}"
        if raw is not None:
            if not isinstance(raw, dict) or raw.get("name") != target.name:
                return f"at {target.control_address} is another router"
            is_new = raw.get("build") == self.new
            instance = str(raw.get("instance"))
            if act is CommandKind.RESTART:
                if self.restarted.get(target.name) not in (None, instance):
                    return ""
                self.restarted[target.name] = instance
            elif is_new == (act is CommandKind.APPLY):
                return ""
            number = instance.partition("-")[0]
            if not number.isdigit():
                return f"instance {instance!r} does not begin with a process's number"
            why = self.stop_process(int(number))
            if why:
                return why
        return self.start_process(target, Path(self.folders[act]))

    def stop_process(self, number: int) -> str:
        """Ask a process to end, and see that it does."""
        child = next((c for c in self.children if c.pid == number), None)
        try:
            os.kill(number, signal.SIGTERM)
            until = time.monotonic() + min(END_S, self.plan.command_timeout_ns / 1e9)
            while time.monotonic() < until:
                if child is not None and child.poll() is not None:
                    return ""
                os.kill(number, 0)
                if unreaped(number):
                    return ""
                time.sleep(0.02)
        except ProcessLookupError:
            return ""
        except PermissionError as error:
            return f"process {number}: {error.strerror}"
        return f"process {number} does not end"

    def start_process(self, target: RouterTarget, folder: Path) -> str:
        """A process that outlives this one; its log goes beside its configuration."""
        config = Path(target.config_path).absolute()
        env = {**os.environ, "ROUTER_CONFIG": str(config), "ROUTER_NAME": target.name}
        env.pop("ROUTER_RULES", None)
        if target.rules_path:
            env["ROUTER_RULES"] = str(Path(target.rules_path).absolute())
        try:
            with config.with_suffix(".log").open("ab") as log:
                self.children.append(
                    subprocess.Popen(
                        [sys.executable, "-O", "-m", "kelpcroft"],
                        cwd=folder,
                        env=env,
                        stdin=subprocess.DEVNULL,
                        stdout=log,
                        stderr=log,
                        start_new_session=True,
                    )
                )
        except OSError as error:
            return f"{folder}: {error.strerror}"
        return ""


def hands_for(plan: RolloutPlan) -> RouterDriver:
    """What a plan names."""
    return LocalProcessDriver(plan) if plan.local_builds else CommandDriver(plan)
