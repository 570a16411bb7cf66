"""Statistics and hashes of the decision package: rendezvous scores, running means, windowed sums.

Times are integer nanoseconds of one monotonic clock.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import Final

MAX_UINT64: Final = 0xFFFFFFFFFFFFFFFF
HASH_RANGE: Final = 18446744073709551617  # 2**64 + 1, so that 0 < hash + 1 < HASH_RANGE


def mix64(value: int) -> int:
    """Return a 64-bit hash, the same in every process: SplitMix64's finaliser (Steele et al., 2014)."""
    value = (value + 0x9E3779B97F4A7C15) & MAX_UINT64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MAX_UINT64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MAX_UINT64
    return value ^ (value >> 31)


def rendezvous_score(key: int) -> float:
    """Return a key's score for weighted rendezvous hashing by the logarithmic method.

    The score is above 0.  Among several keys, the probability that a key has the largest product of weight
    and score is its share of the total weight (Schindelhauer and Schomaker, "Weighted Distributed Hash
    Tables", 2005).
    """
    return -1 / math.log((mix64(key) + 1) / HASH_RANGE)


def price_at_work_share(priced_work: Iterable[tuple[float, float]], share: float) -> float:
    """Return the price up to which the cheapest work makes up a share of all work.

    Args:
        priced_work: Pairs of price and work, in any order.
        share: The share of all work that fits; 1 is all of it.

    Returns:
        The price of the first work that no longer fits; infinity if all of it fits.
    """
    cheapest_first = sorted(priced_work)
    remaining = share * sum(work for _, work in cheapest_first)
    for price, work in cheapest_first:
        remaining -= work
        if remaining < 0:
            return price
    return math.inf


class MeanDeviation:
    """Running mean and mean deviation of a quantity, each an exponentially weighted moving average (EWMA).

    The two are updated as in TCP's retransmission timer (Jacobson, 1988; RFC 6298).
    """

    def __init__(self, mean: float, min_gain: float) -> None:
        """Start from an assumed mean, which the first sample replaces.

        Args:
            mean: The mean before the first sample.
            min_gain: The weight of a new sample after many samples; with few samples the weight is higher.
        """
        self.mean = mean
        self.mean_deviation = mean / 2
        self.sample_count = 0
        self.min_gain = min_gain

    def add(self, sample: float) -> None:
        """Add one sample, in the unit of the mean."""
        gain = max(self.min_gain, 1 / (self.sample_count + 1))
        self.mean_deviation += gain * (abs(sample - self.mean) - self.mean_deviation)
        self.mean += gain * (sample - self.mean)
        self.sample_count += 1


class SlidingWindowSum:
    """The sum of the samples within a window that ends now.

    The sum is updated incrementally: adding up the window for each request of a zone with a cold cache used
    all the CPU time of a busy router.  Memory use is proportional to the number of samples in the window.
    """

    def __init__(self) -> None:
        self.samples: deque[tuple[int, float]] = deque()
        self.total = 0.0

    def add(self, now_ns: int, amount: float) -> None:
        """Add an amount at a time, which must never decrease."""
        self.samples.append((now_ns, amount))
        self.total += amount

    def sum_since(self, start_ns: int) -> float:
        """Return the sum of the samples after a time, which must never decrease; drop earlier samples."""
        while self.samples and self.samples[0][0] <= start_ns:
            self.total -= self.samples.popleft()[1]
        if not self.samples:
            self.total = 0.0  # remove the rounding error of the subtractions
        return self.total


class DecayingSum:
    """A sum with exponential decay: an amount of age ``time_constant_ns`` counts 1/e."""

    def __init__(self, time_constant_ns: int) -> None:
        self.time_constant_ns = time_constant_ns
        self.total = 0.0
        self.updated_ns = 0

    def add(self, now_ns: int, amount: float) -> None:
        """Add an amount at a time, which must never decrease."""
        self.total = self.value_at(now_ns) + amount
        self.updated_ns = now_ns

    def value_at(self, now_ns: int) -> float:
        """Return the sum at a time."""
        return self.total * math.exp((self.updated_ns - now_ns) / self.time_constant_ns)


class DecayingGauge:
    """The last reading of a gauge, which falls by 1 per ``unit_decay_ns`` until there is a new reading."""

    def __init__(self, unit_decay_ns: int) -> None:
        self.unit_decay_ns = unit_decay_ns
        self.value = 0.0
        self.updated_ns = 0

    def record(self, now_ns: int, value: float) -> None:
        """Record a reading at a time that never decreases."""
        self.value = value
        self.updated_ns = now_ns

    def value_at(self, now_ns: int) -> float:
        """Return the value at a time; it may fall below 0."""
        return self.value - (now_ns - self.updated_ns) / self.unit_decay_ns
