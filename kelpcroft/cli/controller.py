"""The process that carries a rollout out: it asks routers, commits each step, and gives the step's orders.

The decisions are ``kelpcroft.rollout``'s.  Orders go out only after the step that they are of was committed
under this controller's lease; after a restart, what was ordered last at each router is looked at anew."""

from __future__ import annotations

import http.client
import os
import secrets
import subprocess
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from threading import Lock
from typing import Any

import orjson

from kelpcroft.rollout.judge import Sample
from kelpcroft.rollout.plan import Plan, Target
from kelpcroft.rollout.snapshot import dump, load
from kelpcroft.rollout.stages import Act, Do, Event, Note, Order, Outcome, Report, Rollout, Silent, Tick
from kelpcroft.store.rollouts import LeaseLost, Run, Store

ANSWER_MOST = 256 * 1024  # bytes of a router's state that are read
OUTPUT_MOST = 2_000  # characters of a command's output that are kept
THREADS_MOST = 64
RENEW_NS = 4 * 10**9  # a step is committed this often even if nothing was decided
CALLS = {Act.OUT: "out-of-service", Act.IN: "in-service"}
TOLD = {"program": "build", "settings": "settings", "rules": "rules"}


def report_of(target: Target, raw: Any) -> Event:
    """A router's answer as an event; one that cannot be read, or is another router's, counts as silence."""
    try:
        if raw["name"] != target.name:
            return Silent(target.name)
        classes = {
            str(cls): Sample(int(c["asked"]), float(c["worth"]), float(c["in_time"]))
            for cls, c in raw["classes"].items()
        }
        if any(not 0 <= s.in_time <= s.worth < 1e18 or s.asked < 0 for s in classes.values()):
            return Silent(target.name)
        return Report(
            target.name,
            str(raw["instance"]),
            {what: str(raw[key]) for what, key in TOLD.items()},
            raw["ready"] is True,
            raw["service"] == "in",
            int(raw["invariants"]),
            classes,
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return Silent(target.name)


class Hands:
    """What touches routers: their control addresses, and the operators' own tool."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.timeout_s = max(0.2, min(5.0, 2 * plan.every_ns / 1e9))

    def call(self, target: Target, method: str, verb: str) -> Any:
        """One call on a control address.  Raises OSError, HTTPException or ValueError."""
        host, _, port = target.control.rpartition(":")
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

    def ask(self, target: Target) -> Event:
        """A router's state, or silence."""
        try:
            return report_of(target, self.call(target, "GET", "state"))
        except (OSError, http.client.HTTPException, ValueError):
            return Silent(target.name)

    def act(self, target: Target, act: Act) -> str:
        """Carry an order out: "" or why it failed.  That it did not fail proves nothing: the router tells."""
        if act in CALLS:
            try:
                self.call(target, "PUT", CALLS[act])
                return ""
            except (OSError, http.client.HTTPException, ValueError) as error:
                return f"{type(error).__name__}: {error}"
        words = [
            w.format(router=target.name, zone=target.zone, control=target.control)
            for w in (self.plan.apply if act is Act.APPLY else self.plan.undo)
        ]
        try:
            done = subprocess.run(
                words,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                timeout=self.plan.act_ns / 1e9,
                check=False,
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            return f"{words[0]}: {error}"[:OUTPUT_MOST]
        text = done.stdout[-OUTPUT_MOST:].decode(errors="replace").strip()
        return f"{words[0]} ended with {done.returncode}: {text}" if done.returncode else ""


class Controller:
    """One process's leadership of one run."""

    def __init__(
        self, store: Store, run: Run, plan: Plan, tell: Callable[[Note], None], hands: Hands | None = None
    ) -> None:
        self.store, self.run, self.plan, self.tell = store, run, plan, tell
        self.owner = f"{os.getpid()}-{secrets.token_hex(4)}"
        self.hands = hands or Hands(plan)
        self.targets = {t.name: t for t in plan.routers}
        self.pool = ThreadPoolExecutor(min(THREADS_MOST, 2 * len(self.targets) + 2))
        self.asked: dict[str, Future[Event]] = {}
        self.acting: list[tuple[Do, Future[str]]] = []
        self.locks = {name: Lock() for name in self.targets}  # one order at a time at a router
        self.committed_ns = 0
        self.stopped = False

    def lead(self) -> Outcome:
        """Until the run is over, or people stop this controller.  Raises LeaseLost."""
        now = time.time_ns()
        self.store.take(self.run.id, self.owner, now)
        run = self.store.last()  # as it was committed last: another may have led until now
        assert run is not None and run.id == self.run.id
        self.rollout = load(self.plan, run.snapshot, now)
        try:
            self.commit(
                now, self.rollout.resume(now, self.plan.repeat) if run.snapshot["stage"] >= 0 else [], 0
            )
            while self.rollout.outcome not in (Outcome.DONE, Outcome.REVERTED) and not self.stopped:
                self.turn()
            return self.rollout.outcome
        finally:
            self.pool.shutdown(wait=False, cancel_futures=True)
            self.store.leave(self.run.id, self.owner)

    def turn(self) -> None:
        """One turn: what was heard, the step, its commit, its orders."""
        time.sleep(min(0.25, self.plan.every_ns / 4e9))
        now, heard = time.time_ns(), 0
        events: list[Event] = []
        for number, verb in self.store.words(self.run.id):
            heard = number
            if verb == "stop":
                self.stopped = True
            else:
                events.append(Order(verb))
        for name, future in list(self.asked.items()):
            if future.done():
                del self.asked[name]
                events.append(future.result())
        effects: list[Do | Note] = []
        for do, result in [x for x in self.acting if x[1].done()]:
            self.acting.remove((do, result))
            if result.result():
                effects.append(Note("order-failed", f"{do.router}: {do.act.value}: {result.result()}", {}))
        for event in (*events, Tick()):
            effects += self.rollout.handle(now, event)
        self.commit(now, effects, heard)

    def commit(self, now: int, effects: list[Do | Note], heard: int) -> None:
        """The step on the disk first; then its orders."""
        notes = [e for e in effects if isinstance(e, Note)]
        orders = [e for e in effects if isinstance(e, Do) and e.act is not Act.ASK]
        if notes or orders or heard or now - self.committed_ns >= RENEW_NS:
            self.store.step(
                self.run.id,
                self.owner,
                time.time_ns(),
                dump(self.rollout),
                self.rollout.outcome.value,
                notes,
                heard,
            )
            self.committed_ns = now
        for note in notes:
            self.tell(note)
        for do in orders:
            self.acting.append((do, self.pool.submit(self.order, do)))
        for e in effects:
            if isinstance(e, Do) and e.act is Act.ASK and e.router not in self.asked:
                self.asked[e.router] = self.pool.submit(self.hands.ask, self.targets[e.router])

    def order(self, do: Do) -> str:
        with self.locks[do.router]:
            return self.hands.act(self.targets[do.router], do.act)


def begin(store: Store, data: bytes, plan: Plan) -> Run:
    """The run to lead: the one that is not over, if it is of this very plan, else a new one."""
    last = store.last()
    if last is not None and last.outcome not in (Outcome.DONE.value, Outcome.REVERTED.value):
        if last.plan != data:
            raise LeaseLost(
                f"run {last.id} of another plan is not over; revert it, or go on with its own file"
            )
        return last
    now = time.time_ns()
    store.begin(now, data, dump(Rollout(plan, now)))
    run = store.last()
    assert run is not None
    return run
