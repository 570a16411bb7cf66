"""The process that carries a rollout out: it asks routers, commits each step, and gives the step's orders.

The decisions are ``kelpcroft.rollout``'s.  Orders go out only after the step that they are of was committed
under this controller's lease; after a restart, what was ordered last at each router is looked at anew."""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from threading import Lock

from kelpcroft.rollout.events import CommandKind, Event, HistoryEntry, OperatorCommand, RouterCommand, Tick
from kelpcroft.rollout.phases import RolloutOutcome
from kelpcroft.rollout.plan import RolloutPlan
from kelpcroft.rollout.router_drivers import RouterDriver, driver_for
from kelpcroft.rollout.snapshot import from_snapshot, to_snapshot
from kelpcroft.rollout.state_machine import Rollout
from kelpcroft.store.rollouts import LeaseLost, RolloutStore, StoredRun

THREADS_MOST = 64
RENEW_NS = 4 * 10**9  # a step is committed this often even if nothing was decided


class RolloutController:
    """One process's leadership of one run."""

    def __init__(
        self,
        store: RolloutStore,
        run: StoredRun,
        plan: RolloutPlan,
        tell: Callable[[HistoryEntry], None],
        driver: RouterDriver | None = None,
        clock: Callable[[], int] = time.time_ns,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.store, self.run, self.plan, self.tell = store, run, plan, tell
        self.owner = f"{os.getpid()}-{secrets.token_hex(4)}"
        self.driver = driver or driver_for(plan)
        self.clock, self.sleep = clock, sleep
        self.targets = {t.name: t for t in plan.routers}
        self.pool = ThreadPoolExecutor(min(THREADS_MOST, 2 * len(self.targets) + 2))
        self.asked: dict[str, Future[Event]] = {}
        self.acting: list[tuple[RouterCommand, Future[str]]] = []
        self.locks = {name: Lock() for name in self.targets}  # one order at a time at a router
        self.committed_ns = 0
        self.stopped = False

    def lead(self) -> RolloutOutcome:
        """Until the run is over, or people stop this controller.  Raises LeaseLost."""
        now = self.clock()
        self.store.acquire_lease(self.run.id, self.owner, now)
        run = self.store.newest_run()  # as it was committed last: another may have led until now
        assert run is not None and run.id == self.run.id
        self.rollout = from_snapshot(self.plan, run.snapshot)
        try:
            led = bool(self.run.owner)  # by another before, or by one that died
            self.commit(
                now, self.rollout.resume_after_takeover(now, self.plan.commands_repeatable) if led else [], 0
            )
            while (
                self.rollout.outcome not in (RolloutOutcome.DONE, RolloutOutcome.ROLLED_BACK)
                and not self.stopped
            ):
                self.turn()
            return self.rollout.outcome
        finally:
            self.pool.shutdown(wait=False, cancel_futures=True)
            self.store.release_lease(self.run.id, self.owner)

    def turn(self) -> None:
        """One turn: what was heard, the step, its commit, its orders."""
        self.sleep(min(0.25, self.plan.poll_interval_ns / 4e9))
        now, heard = self.clock(), 0
        events: list[Event] = []
        for number, verb in self.store.pending_operator_commands(self.run.id):
            heard = number
            if verb == "stop":
                self.stopped = True
            else:
                events.append(OperatorCommand(verb))
        for name, future in list(self.asked.items()):
            if future.done():
                del self.asked[name]
                events.append(future.result())
        effects: list[RouterCommand | HistoryEntry] = []
        for do, result in [x for x in self.acting if x[1].done()]:
            self.acting.remove((do, result))
            if result.result():
                effects.append(
                    HistoryEntry("order-failed", f"{do.router}: {do.kind.value}: {result.result()}", {})
                )
        for event in (*events, Tick()):
            effects += self.rollout.handle(now, event)
        self.commit(now, effects, heard)

    def commit(self, now: int, effects: list[RouterCommand | HistoryEntry], heard: int) -> None:
        """The step on the disk first; then its orders."""
        notes = [e for e in effects if isinstance(e, HistoryEntry)]
        orders = [e for e in effects if isinstance(e, RouterCommand) and e.kind is not CommandKind.POLL]
        if notes or orders or heard or now - self.committed_ns >= RENEW_NS:
            self.store.commit_step(
                self.run.id,
                self.owner,
                self.clock(),
                to_snapshot(self.rollout),
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
            if isinstance(e, RouterCommand) and e.kind is CommandKind.POLL and e.router not in self.asked:
                self.asked[e.router] = self.pool.submit(self.driver.poll, self.targets[e.router])

    def order(self, do: RouterCommand) -> str:
        with self.locks[do.router]:
            return self.driver.execute(self.targets[do.router], do.kind)


def begin_or_continue_run(
    store: RolloutStore, data: bytes, plan: RolloutPlan, clock: Callable[[], int] = time.time_ns
) -> StoredRun:
    """The run to lead: the one that is not over, if it is of this very plan, else a new one."""
    last = store.newest_run()
    if last is not None and last.outcome not in (RolloutOutcome.DONE.value, RolloutOutcome.ROLLED_BACK.value):
        if last.plan != data:
            raise LeaseLost(
                f"run {last.id} of another plan is not over; revert it, or go on with its own file"
            )
        return last
    now = clock()
    store.create_run(now, data, to_snapshot(Rollout(plan, now)))
    run = store.newest_run()
    assert run is not None
    return run
