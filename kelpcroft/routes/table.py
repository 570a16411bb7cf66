"""The routes of a file in service: what each request is granted, and what its route has seen."""

from __future__ import annotations

from random import Random

from kelpcroft.operator.model import Backoff, File, Moment, Route
from kelpcroft.routes.budget import Budget
from kelpcroft.routes.index import Index
from kelpcroft.routes.sketch import Sketch
from zincgrade import interface as api
from zincgrade.interface import Outcome

OUTCOMES = {"error": Outcome.ERROR, "reset": Outcome.RESET, "timeout": Outcome.TIMEOUT}


class Lane:
    """One route in service.  Open requests hold on to theirs when the file is read again."""

    def __init__(self, route: Route, budgets: dict[str, Budget]) -> None:
        self.name = route.name
        self.sketch: Sketch | None = None
        self.open = self.taken = self.crowded = 0
        self.declare(route, budgets)

    def declare(self, route: Route, budgets: dict[str, Budget]) -> None:
        """What the file says now; what was seen stays."""
        b = self.bounds = route.bounds
        self.budget = budgets.get(b.budget or "")
        self.copy_budget = budgets.get(b.copies.budget or "") if b.copies else None
        copies = b.copies.most if b.copies else 0
        after = b.copies.after if copies and b.copies else None
        self.learns = any(m is not None and m.quantile > 0 for m in (b.attempt, after))
        again = None if b.on is None else frozenset(OUTCOMES[word] for word in b.on)
        self.plain = api.Bounds(
            attempt_ns=b.attempt.ns if b.attempt else 0,
            attempts=b.attempts or 0,
            again=again,
            moves=-1 if b.moves is None else b.moves,
            copies=copies,
            pause_ns=b.pause_ns or 0,
            budgeted=self.budget is not None,
        )
        whole = b.timeout is None or b.timeout.share >= 1
        self.steady = whole and not b.backoff and not (b.attempt and b.attempt.quantile)

    def moment(self, now: int, m: Moment) -> int:
        """A duration, or the quantile as it stands; 0 while too little is known and no most is given."""
        if not m.quantile:
            return m.ns
        found = self.sketch.quantile(now, m.quantile) if self.sketch else 0
        if not found:
            return m.most_ns
        found = max(found, m.least_ns)
        return min(found, m.most_ns) if m.most_ns else found


class Grant:
    """What one request may cost, and the lane that it is in."""

    __slots__ = ("lane", "bounds", "wait_ns", "copy_ns", "budget", "copy_budget", "learns")

    def __init__(self, lane: Lane, bounds: api.Bounds, wait_ns: int, copy_ns: int) -> None:
        self.lane, self.bounds = lane, bounds
        self.wait_ns = wait_ns  # for the whole answer, from now
        self.copy_ns = copy_ns  # after which a copy of an attempt is due; 0 = none
        self.budget, self.copy_budget, self.learns = lane.budget, lane.copy_budget, lane.learns

    def room(self, now: int) -> bool:
        """Whether a further attempt is paid for."""
        return self.budget is None or self.budget.room(now)

    def copy_room(self, now: int) -> bool:
        """Whether a copy is paid for."""
        return self.copy_budget is None or self.copy_budget.room(now)

    def pay(self, now: int) -> bool:
        """A further attempt is made; False would overdraw."""
        return self.budget is None or self.budget.take(now)

    def pay_copy(self, now: int) -> bool:
        """A copy is sent; False would overdraw."""
        return self.copy_budget is None or self.copy_budget.take(now)

    def saw(self, now: int, took_ns: int) -> None:
        """An answer took so long, or was given up after so long: it would have taken longer still.  Without
        the latter a quantile that ends attempts would fall with each that it ends."""
        if self.lane.learns:
            if self.lane.sketch is None:
                self.lane.sketch = Sketch(now)
            self.lane.sketch.add(now, took_ns)

    def release(self) -> None:
        """The request is over."""
        self.lane.open -= 1


class Table:
    """All routes of a file, for one router."""

    def __init__(self, file: File, zone: str, seed: int, now: int) -> None:
        self.zone, self.random = zone, Random(seed)
        self.budgets: dict[str, Budget] = {}
        self.lanes: list[Lane] = []
        self.index = Index((), zone)
        self.replace(file, now)

    def replace(self, file: File, now: int) -> None:
        """Another file.  Routes and budgets that keep their name keep what they know."""
        old_budgets, old_lanes = self.budgets, {lane.name: lane for lane in self.lanes}
        self.budgets = {}
        for declared in file.budgets:
            kept = old_budgets.get(declared.name)
            if kept:
                kept.retune(declared, now)
            self.budgets[declared.name] = kept or Budget(declared, now)
        self.lanes = []
        for route in file.routes:
            lane = old_lanes.get(route.name)
            if lane:
                lane.declare(route, self.budgets)
            self.lanes.append(lane or Lane(route, self.budgets))
        self.index = Index(file.routes, self.zone)

    def take(
        self,
        now: int,
        cls: api.RequestClass,
        object: str,
        group: int,
        part: int,
        retry: bool,
        write: bool,
        patience_ns: int,
        waited_ns: int,
    ) -> Grant | None:
        """What a request is granted; None where no route takes it.  ``patience_ns`` is what is left of the
        client's, ``waited_ns`` what is gone.  The grant counts as open until it is released."""
        at = self.index.find(cls, object, group, part, retry, write)
        if at < 0:
            return None
        lane = self.lanes[at]
        b, bounds, wait = lane.bounds, lane.plain, patience_ns
        lane.taken += 1
        crowded = b.open is not None and lane.open >= b.open
        lane.open += 1
        if crowded:
            lane.crowded += 1
            return Grant(lane, api.Bounds(pause_ns=bounds.pause_ns, full=True), wait, 0)
        if lane.budget:
            lane.budget.earn(now)
        if lane.copy_budget and lane.copy_budget is not lane.budget:
            lane.copy_budget.earn(now)
        if not lane.steady:
            attempt = lane.moment(now, b.attempt) if b.attempt else 0
            if b.timeout:
                wait = max(0, min(patience_ns, b.timeout.of(patience_ns + waited_ns) - waited_ns))
            waits = self.waits(b.backoff, b.attempts) if b.backoff else ()
            p = bounds
            bounds = api.Bounds(
                attempt,
                p.attempts,
                p.again,
                p.moves,
                p.copies,
                waits,
                p.pause_ns,
                p.budgeted,
                False,
                wait < patience_ns,
            )
        copy = lane.moment(now, b.copies.after) if b.copies and bounds.copies else 0
        return Grant(lane, bounds, wait, copy)

    def waits(self, backoff: Backoff, attempts: int | None) -> tuple[int, ...]:
        """The waits before each further attempt of one request."""
        waits = []
        for n in range((attempts or 3) - 1):
            top = min(backoff.most_ns, backoff.first_ns << min(n, 40))
            waits.append(self.random.randint(0, top) if backoff.jitter else top)
        return tuple(waits)

    def tell(self) -> list[tuple[str, dict[str, int]]]:
        """Counters of each route that was used, and of each budget, for the log."""
        rows = [
            (f"route {lane.name}", {"taken": lane.taken, "open": lane.open, "crowded": lane.crowded})
            for lane in self.lanes
            if lane.taken
        ]
        return rows + [
            (f"budget {name}", {"left": int(b.tokens), "taken": b.taken, "denied": b.denied})
            for name, b in self.budgets.items()
        ]
