"""Error rates of the rollout judge in simulated rollouts, compared with the configured rates.

    python -m benchmarks.rollout_judge [--runs 10000] [--seconds 600]

Each run has one new and eleven old routers in one zone with some tens of requests a second, which arrive at
random, and a baseline of one minute. The share of requests that are not served in time drifts for both
sides together, as with a lost parent or a slow origin. The new side has a given regression, or none.
"""

from __future__ import annotations

import math
import sys
from concurrent.futures import ProcessPoolExecutor
from random import Random
from time import perf_counter

from kelpcroft.rollout.judge import RegressionJudge, RequestSample, StopCriteria, Verdict, ZoneClass

ZONE_CLASS = ZoneClass("zone", "class")


def poisson(random: Random, mean: float) -> int:
    """A Poisson-distributed count; above a mean of 50, the normal approximation."""
    if mean > 50:
        return max(0, round(random.gauss(mean, math.sqrt(mean))))
    count, product, limit = 0, random.random(), math.exp(-mean)
    while product > limit:
        count, product = count + 1, product * random.random()
    return count


def sample(random: Random, rate: float, late_share: float) -> RequestSample:
    """One second of requests of one side."""
    sent = poisson(random, rate)
    late_count = min(sent, poisson(random, sent * late_share)) if sent else 0
    return RequestSample(sent, 2.0 * sent, 2.0 * (sent - late_count))


def rollout(
    random: Random,
    rate: float,
    usual_late_share: float,
    regression: float,
    own_late_share: float,
    seconds: int,
) -> tuple[Verdict, int]:
    """Run one rollout; return the verdict, and the second at which it was reached.

    ``own_late_share`` is the share by which the new router was worse already before the change.
    """
    judge, drift = RegressionJudge(StopCriteria()), 0.0
    for _ in range(60):
        judge.add_baseline(True, {ZONE_CLASS: sample(random, rate, usual_late_share + own_late_share)})
        judge.add_baseline(False, {ZONE_CLASS: sample(random, 11 * rate, usual_late_share)})
    for second in range(seconds):
        drift = 0.95 * drift + random.gauss(0, 0.02)
        late_share = min(0.9, max(0.0, usual_late_share + drift + (0.3 if 30 <= second < 45 else 0.0)))
        judge.add_interval(
            {ZONE_CLASS: sample(random, rate, min(1.0, late_share + regression + own_late_share))},
            {ZONE_CLASS: sample(random, 11 * rate, late_share)},
        )
        verdict, _ = judge.verdict(frozenset((ZONE_CLASS,)))
        if verdict is not Verdict.UNDECIDED:
            return verdict, second + 1
    return Verdict.UNDECIDED, seconds


ROWS = (  # regression, usual late share, late share of the new router's own, requests a second
    (0.0, 0.02, 0.0, 30.0),
    (0.0, 0.10, 0.05, 30.0),
    (0.0, 0.05, 0.0, 10.0),
    (0.05, 0.02, 0.0, 30.0),
    (0.05, 0.10, 0.05, 30.0),
    (0.10, 0.05, 0.0, 30.0),
    (0.30, 0.05, 0.0, 30.0),
    (0.95, 0.05, 0.0, 10.0),
)


def row(parameters: tuple[float, float, float, float], runs: int, seconds: int) -> tuple[str, bool]:
    """One line of the table, and whether its error rate exceeds the configured rate."""
    regression, usual_late_share, own_late_share, rate = parameters
    rates = StopCriteria()
    random, verdict_counts, verdict_seconds, intervals, began = (
        Random(7),
        dict.fromkeys(Verdict, 0),
        [],
        0,
        perf_counter(),
    )
    for _ in range(runs):
        verdict, verdict_s = rollout(random, rate, usual_late_share, regression, own_late_share, seconds)
        verdict_counts[verdict] += 1
        verdict_seconds.append(verdict_s)
        intervals += verdict_s
    judge_us = (perf_counter() - began) / max(1, intervals) * 1e6
    shares = {v: n / runs for v, n in verdict_counts.items()}
    line = (
        f"{regression:>6}{usual_late_share:>7}{own_late_share:>6}{rate:>7g}{shares[Verdict.REGRESSION]:>9.4f}{shares[Verdict.NO_REGRESSION]:>9.4f}"
        f"{shares[Verdict.UNDECIDED]:>9.4f}{sorted(verdict_seconds)[runs // 2]:>10}{judge_us:>10.1f}"
    )
    error_ratio = (
        shares[Verdict.REGRESSION] / rates.false_stop
        if not regression
        else shares[Verdict.NO_REGRESSION] / rates.missed_harm
    )
    return line, error_ratio > 1


def main(arguments: list[str]) -> int:
    """Print the table; return exit code 1 if an error rate exceeds the configured rate."""
    runs = int(arguments[arguments.index("--runs") + 1]) if "--runs" in arguments else 10_000
    seconds = int(arguments[arguments.index("--seconds") + 1]) if "--seconds" in arguments else 600
    rates = StopCriteria()
    print(
        f"{runs} rollouts per row; configured rates: false stops {rates.false_stop}, "
        f"missed regressions {rates.missed_harm} of {rates.harm}"
    )
    print(" added  usual   own  req/s regress.     none undecid.  median s us/second")
    wrong_rows = 0
    with ProcessPoolExecutor() as pool:  # rows have their own seeds: same results on any number of cores
        for line, exceeds_rate in pool.map(row, ROWS, [runs] * len(ROWS), [seconds] * len(ROWS)):
            print(line, flush=True)
            wrong_rows += exceeds_rate
    return 1 if wrong_rows else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
