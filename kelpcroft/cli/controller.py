"""The controller of a rollout: polls routers, commits each step and sends the commands of the step.

The package ``kelpcroft.rollout`` makes the decisions.  The commands of a step are sent only after the step
was committed under this controller's lease.  After a restart, ``Rollout.resume_after_takeover`` decides which
commands are sent again.
"""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from threading import Lock

from kelpcroft.rollout.events import (
    CommandKind,
    Effect,
    Event,
    HistoryEntry,
    OperatorCommand,
    RouterCommand,
    Tick,
)
from kelpcroft.rollout.phases import FINAL_OUTCOME_VALUES, RolloutOutcome
from kelpcroft.rollout.plan import RolloutPlan
from kelpcroft.rollout.router_drivers import RouterDriver, driver_for
from kelpcroft.rollout.snapshot import from_snapshot, to_snapshot
from kelpcroft.rollout.state_machine import Rollout
from kelpcroft.store.rollouts import LeaseLostError, RolloutStore, StoredRun

MAX_THREADS = 64  # threads of the pool that runs commands and polls
LEASE_RENEWAL_NS = 4 * 10**9  # a step is committed at least this often, even without a decision
MAX_STEP_SLEEP_S = 0.25  # longest sleep before a step
STEPS_PER_POLL_INTERVAL = 4  # steps within one poll interval, if MAX_STEP_SLEEP_S does not shorten the sleep
STOP_COMMAND = "stop"  # operator command for the controller; all others are for the state machine


@dataclass(frozen=True, slots=True)
class RunningCommand:
    """A command that was sent, with its future result: "", or the reason for its failure."""

    command: RouterCommand
    result: Future[str]


class RolloutController:
    """Leadership of one run by one process.

    Commands and polls run in threads, with at most one command at a time per router.  Only the thread that
    calls ``lead`` uses the state machine and the store.
    """

    def __init__(
        self,
        store: RolloutStore,
        run: StoredRun,
        plan: RolloutPlan,
        on_entry: Callable[[HistoryEntry], None],
        driver: RouterDriver | None = None,
        clock: Callable[[], int] = time.time_ns,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Prepare to lead, without using the store or a router.

        Args:
            store: The store that holds the run.
            run: The run to lead.
            plan: The plan of the run.
            on_entry: Called with each entry of the history after it was committed.
            driver: Polls and changes routers; by default the driver that the plan names.
            clock: Returns the time in Unix nanoseconds.
            sleep: Sleeps for a number of seconds.
        """
        self.store = store
        self.run = run
        self.plan = plan
        self.on_entry = on_entry
        self.owner = f"{os.getpid()}-{secrets.token_hex(4)}"
        self.driver = driver or driver_for(plan)
        self.clock = clock
        self.sleep = sleep
        self.targets = {target.name: target for target in plan.routers}
        # Each router may have one poll and one command in progress.
        self.pool = ThreadPoolExecutor(min(MAX_THREADS, 2 * len(self.targets) + 2))
        self.pending_polls: dict[str, Future[Event]] = {}
        self.running_commands: list[RunningCommand] = []
        self.command_locks = {name: Lock() for name in self.targets}
        self.committed_ns = 0
        self.is_stopped = False

    def lead(self) -> RolloutOutcome:
        """Lead until the run is over or an operator stops this controller.

        Returns:
            The outcome of the run at that time.

        Raises:
            LeaseLostError: Another controller leads the run, or a process stall outlasted this one's lease.
            SnapshotError: The snapshot in the store cannot be used.
        """
        now_ns = self.clock()
        self.store.acquire_lease(self.run.id, self.owner, now_ns)
        run = self.store.newest_run()  # the last committed state: another controller may have led until now
        assert run is not None
        assert run.id == self.run.id
        self.rollout: Rollout = from_snapshot(self.plan, run.snapshot)
        try:
            was_led = bool(self.run.owner)  # by an earlier controller, even by one that ended in order
            effects = (
                self.rollout.resume_after_takeover(now_ns, self.plan.commands_repeatable) if was_led else []
            )
            self._commit(now_ns, effects, last_command_number=0)
            while not self.rollout.outcome.is_final and not self.is_stopped:
                self._step()
            return self.rollout.outcome
        finally:
            self.pool.shutdown(wait=False, cancel_futures=True)
            self.store.release_lease(self.run.id, self.owner)

    def _step(self) -> None:
        """Make one step: collect operator commands, poll results and failures, commit, send commands."""
        self.sleep(min(MAX_STEP_SLEEP_S, self.plan.poll_interval_ns / (STEPS_PER_POLL_INTERVAL * 1e9)))
        now_ns = self.clock()
        events, last_command_number = self._collect_operator_commands()
        events += self._collect_poll_results()
        effects: list[Effect] = [*self._collect_command_failures()]
        for event in (*events, Tick()):
            effects += self.rollout.handle(now_ns, event)
        self._commit(now_ns, effects, last_command_number)

    def _collect_operator_commands(self) -> tuple[list[Event], int]:
        """Return the pending operator commands and the number of the last one; 0 = there is none."""
        events: list[Event] = []
        last_command_number = 0
        for number, name in self.store.pending_operator_commands(self.run.id):
            last_command_number = number
            if name == STOP_COMMAND:
                self.is_stopped = True
            else:
                events.append(OperatorCommand(name))
        return events, last_command_number

    def _collect_poll_results(self) -> list[Event]:
        """Return the results of the polls that have ended."""
        ended = {name: future for name, future in self.pending_polls.items() if future.done()}
        for name in ended:
            del self.pending_polls[name]
        return [future.result() for future in ended.values()]

    def _collect_command_failures(self) -> list[HistoryEntry]:
        """Return a history entry for each command that has ended and failed."""
        ended = [running for running in self.running_commands if running.result.done()]
        failures = []
        for running in ended:
            self.running_commands.remove(running)
            reason = running.result.result()
            if reason:
                command = running.command
                text = f"{command.router}: {command.kind.value}: {reason}"
                failures.append(HistoryEntry("order-failed", text, {}))
        return failures

    def _commit(self, now_ns: int, effects: list[Effect], last_command_number: int) -> None:
        """Commit the step, then publish its history entries and send its commands."""
        entries = [effect for effect in effects if isinstance(effect, HistoryEntry)]
        router_commands = [effect for effect in effects if isinstance(effect, RouterCommand)]
        commands = [command for command in router_commands if command.kind is not CommandKind.POLL]
        renewal_due = now_ns - self.committed_ns >= LEASE_RENEWAL_NS
        if entries or commands or last_command_number or renewal_due:
            self.store.commit_step(
                self.run.id,
                self.owner,
                self.clock(),
                to_snapshot(self.rollout),
                self.rollout.outcome.value,
                entries,
                last_command_number,
            )
            self.committed_ns = now_ns
        for entry in entries:
            self.on_entry(entry)
        for command in commands:
            self.running_commands.append(RunningCommand(command, self.pool.submit(self._execute, command)))
        for command in router_commands:
            if command.kind is CommandKind.POLL and command.router not in self.pending_polls:
                target = self.targets[command.router]
                self.pending_polls[command.router] = self.pool.submit(self.driver.poll, target)

    def _execute(self, command: RouterCommand) -> str:
        """Execute a command in a thread of the pool; return "", or the reason for its failure."""
        with self.command_locks[command.router]:
            return self.driver.execute(self.targets[command.router], command.kind)


def begin_or_continue_run(
    store: RolloutStore, file_bytes: bytes, plan: RolloutPlan, clock: Callable[[], int] = time.time_ns
) -> StoredRun:
    """Return the run to lead: the unfinished run if it has the same rollout file, else a new one.

    Args:
        store: The store that holds the runs.
        file_bytes: The bytes of the rollout file.
        plan: The plan in these bytes.
        clock: Returns the time in Unix nanoseconds.

    Raises:
        LeaseLostError: A run of another rollout file is not over.
    """
    newest = store.newest_run()
    if newest is not None and newest.outcome not in FINAL_OUTCOME_VALUES:
        if newest.plan != file_bytes:
            raise LeaseLostError(
                f"run {newest.id} of another plan is not over; revert it, or continue it with its own file",
                path=store.path,
                run_id=newest.id,
            )
        return newest
    now_ns = clock()
    store.create_run(now_ns, file_bytes, to_snapshot(Rollout(plan, now_ns)))
    run = store.newest_run()
    assert run is not None
    return run
