"""Quantiles of a route's recent answers, in a fixed space, with old samples fading.

A histogram with logarithmic buckets: they grow by BUCKET_GROWTH from MIN_LATENCY_NS, so a quantile is off
by half a bucket at the most (2.5%).  Exponential decay is weighted forward in time (each newer sample is
heavier), which fades the old without touching them; the weights are brought back to size now and then.
Source of forward decay: Cormode et al., 2009.  Why not hdrhistogram: docs/design/routes.md.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from math import ceil, log
from typing import Final

MIN_LATENCY_NS: Final = 1_000_000
MAX_LATENCY_NS: Final = 120 * 10**9
BUCKET_GROWTH: Final = 1.05
HALF_LIFE_NS: Final = 10 * 10**9  # after which a sample counts half
BUCKETS: Final = ceil(log(MAX_LATENCY_NS / MIN_LATENCY_NS) / log(BUCKET_GROWTH)) + 1
BUCKET_EDGES_NS: Final = [MIN_LATENCY_NS * BUCKET_GROWTH**n for n in range(BUCKETS)]
BYTES_PER_DOUBLE: Final = 8
MAX_DOUBLINGS: Final = 1_000.0  # of a weight; a float ends at 1024
MAX_WEIGHT: Final = 2.0**40  # of a new sample, at which all are brought back to size
MIN_SAMPLES: Final = 20.0  # faded ones counted as they fade, under which nothing is known ...
MIN_TAIL_SAMPLES: Final = 2.0  # ... nor with fewer than so many past the quantile ...
MANY_SAMPLES: Final = 50 * MIN_SAMPLES  # ... unless there are so many in all
CACHE_NS: Final = 100 * 10**6  # a quantile is worked out anew so often at the most


class CachedQuantile:
    """A quantile, and when it was worked out."""

    def __init__(self, worked_out_ns: int, latency_ns: int) -> None:
        self.worked_out_ns = worked_out_ns
        self.latency_ns = latency_ns


class LatencySketch:
    """The recent answers of one route."""

    def __init__(self, now: int) -> None:
        self.weights = array("d", bytes(BYTES_PER_DOUBLE * BUCKETS))  # of the samples in each bucket
        self.total_weight = 0.0
        self.epoch_ns = now  # a sample weighs 2 ** ((now - epoch) / HALF_LIFE_NS)
        self.cached: dict[float, CachedQuantile] = {}  # by quantile, 0 to 1

    def sample_weight(self, now: int) -> float:
        """The weight of a sample of ``now``.  Brings all back to size where it has grown too large."""
        weight = float(2.0 ** min(MAX_DOUBLINGS, max(0, now - self.epoch_ns) / HALF_LIFE_NS))
        if weight > MAX_WEIGHT:
            for bucket, bucket_weight in enumerate(self.weights):
                self.weights[bucket] = bucket_weight / weight
            self.total_weight = sum(self.weights)
            self.epoch_ns = now
            weight = 1.0
        return weight

    def record(self, now: int, took_ns: int) -> None:
        """One more answer, or the time after which one was given up: it would have taken longer still."""
        weight = self.sample_weight(now)
        bucket = min(BUCKETS - 1, bisect_left(BUCKET_EDGES_NS, took_ns))
        self.weights[bucket] += weight
        self.total_weight += weight

    def quantile(self, now: int, share: float) -> int:
        """The time in ns within which this share (0 to 1) of recent answers came; 0 where too few did."""
        cached = self.cached.get(share)
        if cached is not None and now - cached.worked_out_ns < CACHE_NS:
            return cached.latency_ns
        latency_ns = self.work_out_quantile(now, share)
        self.cached[share] = CachedQuantile(now, latency_ns)
        return latency_ns

    def work_out_quantile(self, now: int, share: float) -> int:
        """``quantile``, from the buckets."""
        weight = self.sample_weight(now)  # may bring the total back to size
        samples = self.total_weight / weight
        if samples < MIN_SAMPLES:
            return 0
        if samples * (1 - share) < MIN_TAIL_SAMPLES and samples < MANY_SAMPLES:
            return 0
        left = share * self.total_weight
        for bucket, bucket_weight in enumerate(self.weights):
            left -= bucket_weight
            if left <= 0 and bucket_weight:
                return bucket_middle_ns(bucket)
        return MAX_LATENCY_NS


def bucket_middle_ns(bucket: int) -> int:
    """The latency that a bucket stands for."""
    if bucket == 0:
        return MIN_LATENCY_NS
    return int(BUCKET_EDGES_NS[bucket] / BUCKET_GROWTH**0.5)
