"""Database of rollouts: one SQLite file that a controller shares with the commands that read it.

A run's snapshot and the history entries of a step are one transaction.  It is committed before any command of
the step is sent (with write-ahead log and ``synchronous=FULL``, so that a committed step survives a power
failure).  A controller holds a lease and renews it with every committed step.  A step is committed only under
a lease that has not expired, so of two controllers only one can act.  Times are Unix nanoseconds; the caller
passes the current time.

Tables, columns and the snapshot's keys are a stored form that earlier and later versions read.  The table
``word`` holds the commands of operators until a controller handles them.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypedDict

import orjson

from kelpcroft.rollout.events import HistoryEntry
from kelpcroft.rollout.snapshot import StoredRollout

SCHEMA = """
create table if not exists run (
    id integer primary key, plan blob not null, began integer not null, snapshot blob not null,
    outcome text not null, owner text not null default '', lease integer not null default 0);
create table if not exists history (
    run integer not null references run(id), at integer not null, name text not null, text not null,
    figures blob not null);
create table if not exists word (
    run integer not null references run(id), at integer not null, verb text not null);
"""
LEASE_NS = 15 * 10**9  # duration of a lease from its last renewal
BUSY_TIMEOUT_S = 5.0  # how long a writer waits for another one's transaction


class LeaseLostError(RuntimeError):
    """The lease of a run is not held, or a run that has not ended prevents a new one.

    Another controller leads the run, or the lease expired because this controller had a process stall or was
    too slow.  The controller must not send any more commands.

    Attributes:
        path: The store's file.
        run_id: The run that another controller leads, or that prevents a new one.
    """

    def __init__(self, message: str, *, path: str, run_id: int) -> None:
        super().__init__(message)
        self.path = path
        self.run_id = run_id


@dataclass(frozen=True, slots=True)
class StoredRun:
    """A run as of its last commit.

    Attributes:
        id: The run's number in the file.
        plan: The bytes of its rollout file.
        began_ns: When it was created.
        snapshot: The snapshot of its state machine.
        outcome: A value of ``RolloutOutcome``.
        owner: The controller that leads it or led it last; "" before the first.
        lease_ns: When the owner's lease expires; 0 = released, or never acquired.
    """

    id: int
    plan: bytes
    began_ns: int
    snapshot: StoredRollout
    outcome: str
    owner: str
    lease_ns: int


class PendingCommand(NamedTuple):
    """Command of an operator that no step has handled yet.

    Attributes:
        number: Orders the commands; a later command has a greater number.
        command: A value of ``OperatorCommand``, or ``stop``.
    """

    number: int
    command: str


class HistoryRow(TypedDict):
    """One history entry, as ``kelpcroft rollout history --format json`` prints it."""

    at_ns: int
    name: str
    text: str
    figures: dict[str, Any]


class RolloutStore:
    """Connection to the database file.  Each process opens its own and closes it with ``close``."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.database = sqlite3.connect(path, timeout=BUSY_TIMEOUT_S, isolation_level=None)
        self.database.execute("pragma journal_mode=wal")
        self.database.execute("pragma synchronous=full")
        self.database.executescript(SCHEMA)

    def close(self) -> None:
        """Close the file."""
        self.database.close()

    def create_run(self, now_ns: int, plan: bytes, snapshot: Mapping[str, Any]) -> int:
        """Add a new run.

        Returns:
            The number of the run.

        Raises:
            LeaseLostError: Another run has not ended.
        """
        with Transaction(self.database):
            row = self.database.execute(
                "select id from run where outcome not in ('done', 'taken back')"
            ).fetchone()
            if row:
                raise LeaseLostError(f"run {row[0]} is not over", path=self.path, run_id=row[0])
            cursor = self.database.execute(
                "insert into run (plan, began, snapshot, outcome) values (?, ?, ?, ?)",
                (plan, now_ns, orjson.dumps(snapshot), "running"),
            )
            return int(cursor.lastrowid or 0)

    def newest_run(self) -> StoredRun | None:
        """The newest run, or None if there is none."""
        row = self.database.execute(
            "select id, plan, began, snapshot, outcome, owner, lease from run order by id desc limit 1"
        ).fetchone()
        if row is None:
            return None
        run_id, plan, began_ns, snapshot, outcome, owner, lease_ns = row
        return StoredRun(run_id, plan, began_ns, orjson.loads(snapshot), outcome, owner, lease_ns)

    def acquire_lease(self, run_id: int, owner: str, now_ns: int) -> None:
        """Acquire a run's lease if it is free, has expired, or is held by the same owner.

        Raises:
            LeaseLostError: Another controller holds the lease.
        """
        updated = self.database.execute(
            "update run set owner = ?, lease = ? where id = ? and (owner = ? or lease < ?)",
            (owner, now_ns + LEASE_NS, run_id, owner, now_ns),
        )
        if not updated.rowcount:
            raise LeaseLostError(f"run {run_id} is led by another controller", path=self.path, run_id=run_id)

    def commit_step(
        self,
        run_id: int,
        owner: str,
        now_ns: int,
        snapshot: Mapping[str, Any],
        outcome: str,
        entries: Iterable[HistoryEntry],
        last_command_number: int = 0,
    ) -> None:
        """Commit one step atomically and renew the lease.

        Args:
            run_id: The number of the run.
            owner: The controller that leads the run.
            now_ns: The current time.
            snapshot: The snapshot of the state machine after the step.
            outcome: The outcome after the step.
            entries: The history entries of the step.
            last_command_number: Operators' commands up to this number were handled in the step; 0 = none.

        Raises:
            LeaseLostError: The lease has expired; none of the step's commands may be sent.
        """
        with Transaction(self.database):
            updated = self.database.execute(
                "update run set snapshot = ?, outcome = ?, lease = ? "
                "where id = ? and owner = ? and lease >= ?",
                (orjson.dumps(snapshot), outcome, now_ns + LEASE_NS, run_id, owner, now_ns),
            )
            if not updated.rowcount:
                raise LeaseLostError(f"the lease of run {run_id} has expired", path=self.path, run_id=run_id)
            self._add_history(run_id, now_ns, entries)
            self.database.execute(
                "delete from word where run = ? and rowid <= ?", (run_id, last_command_number)
            )

    def _add_history(self, run_id: int, now_ns: int, entries: Iterable[HistoryEntry]) -> None:
        rows = [
            (run_id, now_ns, entry.name, entry.text, _figures_to_json(entry.figures)) for entry in entries
        ]
        self.database.executemany("insert into history values (?, ?, ?, ?, ?)", rows)

    def release_lease(self, run_id: int, owner: str) -> None:
        """Release the lease."""
        self.database.execute("update run set lease = 0 where id = ? and owner = ?", (run_id, owner))

    def add_operator_command(self, run_id: int, now_ns: int, command: str) -> None:
        """Store an operator's command; the controller handles it in its next iteration."""
        self.database.execute("insert into word values (?, ?, ?)", (run_id, now_ns, command))

    def pending_operator_commands(self, run_id: int) -> list[PendingCommand]:
        """The commands of operators that no step has handled yet, in order."""
        rows = self.database.execute("select rowid, verb from word where run = ? order by rowid", (run_id,))
        return [PendingCommand(number, command) for number, command in rows]

    def history(self, run_id: int) -> list[HistoryRow]:
        """All history entries of a run, with the figures on which the decisions were based."""
        rows = self.database.execute(
            "select at, name, text, figures from history where run = ? order by rowid", (run_id,)
        )
        return [
            {"at_ns": at_ns, "name": name, "text": text, "figures": orjson.loads(figures)}
            for at_ns, name, text, figures in rows
        ]


def _figures_to_json(figures: Mapping[str, object]) -> bytes:
    return orjson.dumps(dict(figures), option=orjson.OPT_NON_STR_KEYS)


class Transaction:
    """Write transaction that is rolled back after an error.

    It takes the write lock when it begins, so that of two writers the second one waits.
    """

    def __init__(self, database: sqlite3.Connection) -> None:
        self.database = database

    def __enter__(self) -> None:
        self.database.execute("begin immediate")

    def __exit__(self, error_type: type[BaseException] | None, *_: object) -> None:
        self.database.execute("commit" if error_type is None else "rollback")
