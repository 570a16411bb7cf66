"""Quantiles of a route's recent answers, in a fixed space, with old samples fading.

Buckets grow by GROWTH from LEAST_NS, so a quantile is off by half a bucket at the most (2.5%).  Samples are
weighted forward in time (each newer one heavier), which fades the old without touching them; the weights are
brought back to size now and then.  Why not hdrhistogram: docs/design/routes.md.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from math import ceil, log

LEAST_NS, MAX_LATENCY_NS = 1_000_000, 120 * 10**9
BUCKET_GROWTH = 1.05
HALF_LIFE_NS = 10 * 10**9  # a sample counts half after so long
BUCKETS = ceil(log(MAX_LATENCY_NS / LEAST_NS) / log(BUCKET_GROWTH)) + 1
EDGES = [LEAST_NS * BUCKET_GROWTH**n for n in range(BUCKETS)]
SCALE_MOST = 2.0**40  # weight of a new sample at which all are brought back to size
FEW = 20.0  # samples, faded ones counted as they fade, under which nothing is known ...
TAIL = 2.0  # ... nor with fewer than so many past the quantile
FRESH_NS = 100 * 10**6  # a quantile is worked out anew so often at the most


class LatencySketch:
    """The recent answers of one route."""

    def __init__(self, now: int) -> None:
        self.counts = array("d", bytes(8 * BUCKETS))
        self.total = 0.0
        self.epoch_ns = now  # a sample weighs 2 ** ((now - epoch) / HALF_NS)
        self.known: dict[float, tuple[int, int]] = {}  # quantile: when worked out, and what

    def weight(self, now: int) -> float:
        """Of a sample of now.  Brings all back to size where it has grown too large."""
        weight = float(2.0 ** min(1_000.0, max(0, now - self.epoch_ns) / HALF_LIFE_NS))
        if weight > SCALE_MOST:
            for at, count in enumerate(self.counts):
                self.counts[at] = count / weight
            self.total = sum(self.counts)
            self.epoch_ns, weight = now, 1.0
        return weight

    def record(self, now: int, took_ns: int) -> None:
        """One more answer, or the time after which one was given up: it would have taken longer still."""
        weight = self.weight(now)
        self.counts[min(BUCKETS - 1, bisect_left(EDGES, took_ns))] += weight
        self.total += weight

    def quantile(self, now: int, share: float) -> int:
        """The time within which this share of recent answers came, in ns; 0 where too few are known."""
        found = self.known.get(share)
        if found and now - found[0] < FRESH_NS:
            return found[1]
        value = self.work_out(now, share)
        self.known[share] = now, value
        return value

    def work_out(self, now: int, share: float) -> int:
        weight = self.weight(now)
        samples = self.total / weight
        if samples < FEW or samples * (1 - share) < TAIL and samples < 50 * FEW:
            return 0
        left = share * self.total
        for at, count in enumerate(self.counts):
            left -= count
            if left <= 0 and count:
                return int(EDGES[at] / BUCKET_GROWTH**0.5) if at else LEAST_NS
        return MAX_LATENCY_NS
