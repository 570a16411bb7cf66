"""Effect of hedging on the slowest requests, and its cost, when 2% of responses are late by 1 s.

    python -m benchmarks.late_answers [SEEDS]

In virtual time, at a load well below the servers' capacity.
"""

from __future__ import annotations

import sys
from statistics import mean

from kelpcroft.core import effects, inputs
from kelpcroft.decision.interface import FillResult
from testbed.virtual import MS, OUTCOME_BY_NAME, AttemptRecord, S, VirtualRouter

LATE, LATE_NS = 0.02, S
GAP_NS, REQUESTS = 5 * MS, 6_000
HEAD = 'kelpcroft version=1\nroute "orders" { match class="order"; attempts most=1; }\n'
VARIANTS = {
    "no hedging": 'route "rest" { match class="page"; copies most=0; }',
    "fixed, 150 ms": 'route "rest" { match class="page"; copies most=1 after="150ms"; }',
    "p95, min. 20 ms": 'route "rest" { match class="page"; copies most=1 after="p95" least="20ms"; }',
    "p95, budget 0.03": 'budget "b" ratio=0.03 least="1/s" burst=10\n'
    'route "rest" { match class="page"; copies most=1 after="p95" least="20ms" budget="b"; }',
}


class LateRouter(VirtualRouter):
    """A router whose servers respond in 20 to 60 ms, and 2% of the time a second later."""

    def run_attempt(self, e: effects.SendAttempt) -> None:
        """Schedule the response, which is late with probability ``LATE``."""
        self.records[e.attempt_id].attempts.append(
            AttemptRecord(self.now, self.address_by_connection[e.connection], "done")
        )
        delay_ns = self.random.randint(20, 60) * MS + (LATE_NS if self.random.random() < LATE else 0)
        self.schedule(
            self.now + delay_ns,
            inputs.ServerResponse(
                e.connection, e.attempt_id, OUTCOME_BY_NAME["done"], FillResult.HIT, 0, {}, False, b"x"
            ),
        )


def run_variant(text: str, seed: int) -> tuple[float, float, float]:
    """Run one variant; return p50 and p99 in ms, and the mean number of attempts of a request."""
    router = LateRouter(HEAD + text, seed, {"done": 1})
    records = [
        router.schedule_request(n * GAP_NS, "page", 2_500, router.random.randint(0, 400))
        for n in range(REQUESTS)
    ]
    router.run()
    latencies_ms = sorted(
        (record.final_effects[0][0] - record.arrives_ns) / MS
        for record in records
        if isinstance(record.final_effects[0][1], effects.SendResponse)
    )
    assert len(latencies_ms) > 0.995 * REQUESTS, f"{REQUESTS - len(latencies_ms)} requests were not served"
    attempts_per_request = sum(len(record.attempts) for record in records) / REQUESTS
    return (
        latencies_ms[len(latencies_ms) // 2],
        latencies_ms[len(latencies_ms) * 99 // 100],
        attempts_per_request,
    )


def main() -> None:
    """Run all variants and print the table."""
    seeds = range(1, 1 + int(sys.argv[1] if len(sys.argv) > 1 else 3))
    baseline_p99 = 0.0
    print(
        f"{REQUESTS} requests, seeds {seeds.start} to {seeds.stop - 1}\n{'':18}{'p50 ms':>8}{'p99 ms':>9}"
        f"{'ratio':>8}{'extra sends':>13}"
    )
    for name, text in VARIANTS.items():
        runs = [run_variant(text, seed) for seed in seeds]
        p50, p99, attempts_per_request = (mean(run[k] for run in runs) for k in range(3))
        baseline_p99 = baseline_p99 or p99
        print(
            f"{name:18}{p50:8.1f}{p99:9.1f}{p99 / baseline_p99:8.2f}{100 * (attempts_per_request - 1):12.1f}%"
        )


if __name__ == "__main__":
    main()
