"""Rollouts on a disk: one SQLite file that a controller and those who look share.

A run's snapshot and the notes of a step are one transaction, committed before any of the step's orders goes
out (write-ahead log, ``synchronous=FULL``: what was committed is there after a power cut).  A controller has
a lease and renews it with every step; a step is committed only under a lease that has not ended, so of two
controllers one cannot act.  Times are Unix nanoseconds of the caller.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from kelpcroft.rollout.events import HistoryEntry

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
LEASE_NS = 15 * 10**9


class LeaseLost(RuntimeError):
    """Another controller leads this run, or this one stood still for too long: it may order nothing more."""


@dataclass(frozen=True, slots=True)
class StoredRun:
    """A run as it was last committed."""

    id: int
    plan: bytes
    began_ns: int
    snapshot: dict[str, Any]
    outcome: str
    owner: str
    lease_ns: int


class RolloutStore:
    """The file.  One for each process."""

    def __init__(self, path: str) -> None:
        self.db = sqlite3.connect(path, timeout=5.0, isolation_level=None)
        self.db.execute("pragma journal_mode=wal")
        self.db.execute("pragma synchronous=full")
        self.db.executescript(SCHEMA)

    def close(self) -> None:
        self.db.close()

    def create_run(self, now: int, plan: bytes, snapshot: Mapping[str, Any]) -> int:
        """A new run.  Raises LeaseLost while another is not over."""
        with Transaction(self.db):
            row = self.db.execute("select id from run where outcome not in ('done', 'taken back')").fetchone()
            if row:
                raise LeaseLost(f"run {row[0]} is not over")
            cursor = self.db.execute(
                "insert into run (plan, began, snapshot, outcome) values (?, ?, ?, ?)",
                (plan, now, orjson.dumps(snapshot), "running"),
            )
            return int(cursor.lastrowid or 0)

    def newest_run(self) -> StoredRun | None:
        """The newest run."""
        row = self.db.execute(
            "select id, plan, began, snapshot, outcome, owner, lease from run order by id desc limit 1"
        ).fetchone()
        return (
            StoredRun(row[0], row[1], row[2], orjson.loads(row[3]), row[4], row[5], row[6]) if row else None
        )

    def acquire_lease(self, run: int, owner: str, now: int) -> None:
        """Take a run's lease, if nobody has it or it has ended.  Raises LeaseLost."""
        done = self.db.execute(
            "update run set owner = ?, lease = ? where id = ? and (owner = ? or lease < ?)",
            (owner, now + LEASE_NS, run, owner, now),
        )
        if not done.rowcount:
            raise LeaseLost(f"run {run} is led by another controller")

    def commit_step(
        self,
        run: int,
        owner: str,
        now: int,
        snapshot: Mapping[str, Any],
        outcome: str,
        notes: Iterable[HistoryEntry],
        heard: int = 0,
    ) -> None:
        """One step: the snapshot, the notes, the lease, and the words of people that were heard in it (up to
        this number); or nothing.  Raises LeaseLost; then none of the step's orders may go out."""
        with Transaction(self.db):
            done = self.db.execute(
                "update run set snapshot = ?, outcome = ?, lease = ? "
                "where id = ? and owner = ? and lease >= ?",
                (orjson.dumps(snapshot), outcome, now + LEASE_NS, run, owner, now),
            )
            if not done.rowcount:
                raise LeaseLost(f"the lease of run {run} has ended")
            self.db.executemany(
                "insert into history values (?, ?, ?, ?, ?)",
                [
                    (run, now, n.name, n.text, orjson.dumps(dict(n.figures), option=orjson.OPT_NON_STR_KEYS))
                    for n in notes
                ],
            )
            self.db.execute("delete from word where run = ? and rowid <= ?", (run, heard))

    def release_lease(self, run: int, owner: str) -> None:
        """Give the lease back."""
        self.db.execute("update run set lease = 0 where id = ? and owner = ?", (run, owner))

    def add_operator_command(self, run: int, now: int, verb: str) -> None:
        """What people order; the controller takes it up in its next turn."""
        self.db.execute("insert into word values (?, ?, ?)", (run, now, verb))

    def pending_operator_commands(self, run: int) -> list[tuple[int, str]]:
        """What people have ordered and no step has heard yet, each with its number."""
        return self.db.execute("select rowid, verb from word where run = ? order by rowid", (run,)).fetchall()

    def history(self, run: int) -> list[dict[str, Any]]:
        """Every decision, with the figures that it was made on."""
        return [
            {"at_ns": at, "name": name, "text": text, "figures": orjson.loads(figures)}
            for at, name, text, figures in self.db.execute(
                "select at, name, text, figures from history where run = ? order by rowid", (run,)
            )
        ]


class Transaction:
    """All or nothing, begun at once so that of two writers the second waits."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self.db = db

    def __enter__(self) -> None:
        self.db.execute("begin immediate")

    def __exit__(self, kind: object, *_: object) -> None:
        self.db.execute("rollback" if kind else "commit")
