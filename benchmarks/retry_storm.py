"""Effect of budgets in a retry storm: at 0.8 of their capacity, servers fail half of all responses for 20 s.

    python -m benchmarks.retry_storm [SEEDS]

In virtual time, with caches that serve a limited number of requests concurrently and queue the rest. Clients
retry once when they are rejected. For each variant, the table has the attempts for each request and the share
served in time before, during and in the 20 s after the failure, as means over the seeds, and the ratio to
no budget. The admission control of the decision package sheds load as soon as responses are late, which hides
the effect of a budget. In the second table the classes' latency objective is therefore so long that admission
control rarely acts.
"""

from __future__ import annotations

import sys
from collections import deque
from statistics import mean

from kelpcroft.core import effects, inputs
from kelpcroft.decision.interface import FillResult
from testbed.virtual import (
    EXAMPLE,
    MS,
    OUTCOME_BY_NAME,
    START,
    AttemptRecord,
    RequestRecord,
    S,
    VirtualRouter,
)

SLOTS, SERVICE_MS = 8, (10, 30)  # concurrency and service time of a cache; 20 ms on average
RATE = 0.8 * 2 * SLOTS / 0.020  # requests a second at two caches
FAILURE = (5 * S, 25 * S)
END = 46 * S
PERIODS = {"before": (0, FAILURE[0]), "during": FAILURE, "20 s after": (FAILURE[1], FAILURE[1] + 20 * S)}
ORDERS = 'kelpcroft version=1\nroute "orders" { match class="order"; attempts most=1; }\n'
VARIANTS = {
    "no budget": 'budget "b" ratio=10 burst=1000000\nroute "rest" { match class="page"; '
    'attempts most=4 budget="b"; }',
    "no operator file": "",
    "budget 0.2": 'budget "b" ratio=0.2 least="5/s" burst=20\nroute "rest" { match class="page"; '
    'attempts most=4 budget="b"; }',
    "budget 0.1, backoff": 'budget "b" ratio=0.1 least="5/s" burst=20\nroute "rest" { match class="page"; '
    'attempts most=4 budget="b"; backoff first="20ms" most="200ms" jitter="full"; }',
}


class StormRouter(VirtualRouter):
    """A router whose servers have slots and queues, and fail half of their responses for a while."""

    def __init__(self, rules: str | None, seed: int, aim_ns: int) -> None:
        classes = [{**c, "aim_ns": aim_ns} for c in EXAMPLE["settings"]["classes"]]
        super().__init__(rules, seed, {"done": 1}, settings={"classes": classes})
        self.busy: dict[str, int] = {}
        self.queue: dict[str, deque[effects.SendAttempt]] = {}
        self.cancelled: set[tuple[int, str]] = set()
        self.retries: set[str] = set()

    def run_attempt(self, e: effects.SendAttempt) -> None:
        """Serve an attempt, or queue it if all slots are in use."""
        server = self.address_by_connection[e.connection]
        self.records[e.attempt_id].attempts.append(AttemptRecord(self.now, server, ""))
        self.cancelled.discard((e.connection, e.attempt_id))
        if self.busy.get(server, 0) < SLOTS:
            self.serve(server, e)
        else:
            self.queue.setdefault(server, deque()).append(e)

    def serve(self, server: str, e: effects.SendAttempt) -> None:
        """Occupy a slot and schedule the response and the slot's release."""
        self.busy[server] = self.busy.get(server, 0) + 1
        failing = FAILURE[0] <= self.now - START < FAILURE[1]
        outcome = "broke" if failing and self.random.random() < 0.5 else "done"
        done = self.now + self.random.randint(*SERVICE_MS) * MS
        note = FillResult.HIT if outcome == "done" else FillResult.NONE
        self.schedule(
            done,
            inputs.ServerResponse(
                e.connection, e.attempt_id, OUTCOME_BY_NAME[outcome], note, 0, {"server": 0.0}, False, b"x"
            ),
        )
        self.schedule(done, server)

    def custom_event(self, server: str) -> None:
        """Release a slot to the next queued attempt that was not cancelled."""
        self.busy[server] -= 1
        waiting = self.queue.get(server, deque())
        while waiting:
            e = waiting.popleft()
            if (
                e.connection,
                e.attempt_id,
            ) not in self.cancelled and e.connection in self.address_by_connection:
                self.serve(server, e)
                return

    def carry_out(self, effect_list: list[effects.Effect]) -> None:
        """Also record cancelled attempts, and let clients retry once after a rejection or failure."""
        super().carry_out(effect_list)
        for e in effect_list:
            if isinstance(e, effects.CancelAttempt):
                self.cancelled.add((e.connection, e.attempt_id))
            elif isinstance(e, (effects.RejectRequest, effects.FailRequest)):
                record = self.records_by_number[e.client, e.request_number]
                remaining_ns = record.arrives_ns + 2_500 * MS - self.now
                if record.request.trace_id not in self.retries and remaining_ns > 100 * MS:
                    retry = self.schedule_request(
                        self.now - START, "page", remaining_ns // MS, record.request.object_number
                    )
                    self.retries.add(retry.request.trace_id)
                    record.client_retry = retry


def run_variant(rules: str | None, seed: int, aim_ns: int) -> dict[str, tuple[float, float]]:
    """Run one variant; return attempts for each request and the share served in time, by period."""
    router = StormRouter(rules, seed, aim_ns)
    arrivals, at = [], 0.0
    while at < END:
        at += router.random.expovariate(RATE) * S
        arrivals.append(router.schedule_request(int(at), "page", 2_500, router.random.randint(0, 400)))
    router.run()
    by_period = {}
    for name, (low, high) in PERIODS.items():
        requests = [record for record in arrivals if low <= record.arrives_ns - START < high]
        attempts = sum(
            len(record.attempts) + (len(record.client_retry.attempts) if record.client_retry else 0)
            for record in requests
        )
        by_period[name] = (
            attempts / len(requests),
            sum(in_time(record, aim_ns) for record in requests) / len(requests),
        )
    return by_period


def in_time(record: RequestRecord, aim_ns: int) -> bool:
    """Whether the client got a response within the latency objective, possibly to its own retry."""
    for attempted in (record, record.client_retry):
        if (
            attempted
            and attempted.final_effects
            and isinstance(attempted.final_effects[0][1], effects.SendResponse)
        ):
            return attempted.final_effects[0][0] - record.arrives_ns <= aim_ns
    return False


def main() -> None:
    """Run all variants and print the tables."""
    seeds = range(1, 1 + int(sys.argv[1] if len(sys.argv) > 1 else 3))
    print(f"{RATE:.0f} requests a second, seeds {seeds.start} to {seeds.stop - 1}")
    print("attempts per request, share served in time (ratio to the variant without a budget)")
    for aim_ms in (250, 1_000):
        print(f"\n{f'objective {aim_ms} ms':22}" + "".join(f"{period:>24}" for period in PERIODS))
        baseline: dict[str, float] = {}
        for name, text in VARIANTS.items():
            runs = [run_variant(ORDERS + text if text else None, seed, aim_ms * MS) for seed in seeds]
            cells = []
            for period in PERIODS:
                attempts_per_request, in_time_share = (mean(run[period][k] for run in runs) for k in (0, 1))
                baseline.setdefault(period, in_time_share)
                cells.append(
                    f"{attempts_per_request:6.2f} {in_time_share:7.3f} "
                    f"({in_time_share / max(baseline[period], 1e-9):5.2f})"
                )
            print(f"{name:22}" + "".join(f"{cell:>24}" for cell in cells))


if __name__ == "__main__":
    main()
