"""Quantiles of a route's recent latencies, in constant memory, with exponential decay of old samples.

A histogram with logarithmic buckets, which grow by BUCKET_GROWTH from MIN_LATENCY_NS, so that the error of a
quantile is at most half a bucket (2.5%).  The decay is applied forward in time: each newer sample has a
larger weight, so that old samples decay without being updated.  The weights are scaled down when they become
too large.  Source of forward decay: Cormode et al., 2009.  Why not hdrhistogram: docs/design/routes.md.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from math import ceil, log
from typing import Final

MIN_LATENCY_NS: Final = 1_000_000  # shorter latencies count as this
MAX_LATENCY_NS: Final = 120 * 10**9  # longer latencies count as this
BUCKET_GROWTH: Final = 1.05  # ratio of the edges of adjacent buckets
HALF_LIFE_NS: Final = 10 * 10**9  # after this time the weight of a sample is halved
BUCKETS: Final = ceil(log(MAX_LATENCY_NS / MIN_LATENCY_NS) / log(BUCKET_GROWTH)) + 1
BUCKET_EDGES_NS: Final = [MIN_LATENCY_NS * BUCKET_GROWTH**n for n in range(BUCKETS)]
BYTES_PER_DOUBLE: Final = 8
MAX_DOUBLINGS: Final = 1_000.0  # doublings of a weight; the exponent of a float is limited to 1024
MAX_WEIGHT: Final = 2.0**40  # weight of a new sample; beyond it all weights are scaled down
MIN_SAMPLES: Final = 20.0  # samples, weighted by their decay, without which no quantile is computed
MIN_TAIL_SAMPLES: Final = 2.0  # samples needed above the quantile, unless there are MANY_SAMPLES
MANY_SAMPLES: Final = 50 * MIN_SAMPLES  # so many samples are enough for every quantile
CACHE_NS: Final = 100 * 10**6  # a computed quantile is reused for this time


class CachedQuantile:
    """A quantile, and the time at which it was computed."""

    def __init__(self, computed_ns: int, latency_ns: int) -> None:
        self.computed_ns = computed_ns
        self.latency_ns = latency_ns


class LatencySketch:
    """The recent latencies of one route."""

    def __init__(self, now: int) -> None:
        # Total weight of the samples in each bucket.
        self.weights = array("d", bytes(BYTES_PER_DOUBLE * BUCKETS))
        self.total_weight = 0.0
        self.epoch_ns = now  # a sample weighs 2 ** ((now - epoch) / HALF_LIFE_NS)
        self.cached: dict[float, CachedQuantile] = {}  # by quantile, from 0 to 1

    def sample_weight(self, now: int) -> float:
        """The weight of a sample at ``now``.  Scales all weights down if it exceeds MAX_WEIGHT."""
        weight = float(2.0 ** min(MAX_DOUBLINGS, max(0, now - self.epoch_ns) / HALF_LIFE_NS))
        if weight > MAX_WEIGHT:
            for bucket, bucket_weight in enumerate(self.weights):
                self.weights[bucket] = bucket_weight / weight
            self.total_weight = sum(self.weights)
            self.epoch_ns = now
            weight = 1.0
        return weight

    def record(self, now: int, latency_ns: int) -> None:
        """Add the latency of a response, or of an abandoned attempt, which would have taken even longer."""
        weight = self.sample_weight(now)
        bucket = min(BUCKETS - 1, bisect_left(BUCKET_EDGES_NS, latency_ns))
        self.weights[bucket] += weight
        self.total_weight += weight

    def quantile(self, now: int, share: float) -> int:
        """The latency in ns that this share (0 to 1) of recent samples does not exceed; 0 = too few."""
        cached = self.cached.get(share)
        if cached is not None and now - cached.computed_ns < CACHE_NS:
            return cached.latency_ns
        latency_ns = self.compute_quantile(now, share)
        self.cached[share] = CachedQuantile(now, latency_ns)
        return latency_ns

    def compute_quantile(self, now: int, share: float) -> int:
        """Compute ``quantile`` from the buckets."""
        weight = self.sample_weight(now)  # may scale the total down
        samples = self.total_weight / weight
        if samples < MIN_SAMPLES:
            return 0
        if samples * (1 - share) < MIN_TAIL_SAMPLES and samples < MANY_SAMPLES:
            return 0
        remaining_weight = share * self.total_weight
        for bucket, bucket_weight in enumerate(self.weights):
            remaining_weight -= bucket_weight
            if remaining_weight <= 0 and bucket_weight:
                return bucket_middle_ns(bucket)
        return MAX_LATENCY_NS


def bucket_middle_ns(bucket: int) -> int:
    """The latency that represents a bucket."""
    if bucket == 0:
        return MIN_LATENCY_NS
    return int(BUCKET_EDGES_NS[bucket] / BUCKET_GROWTH**0.5)
