"""Arithmetic of the decisions, which decides nothing: a hash, running means, sums over a span of time."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable


def mix64(value: int) -> int:
    """A 64-bit hash that is the same in every process (splitmix64's finaliser)."""
    value = (value + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return value ^ (value >> 31)


def rendezvous_score(key: int) -> float:
    """A number for a key, above 0, such that of several keys each is the largest as often as its weight says,
    when each number is multiplied by its weight."""
    return -1 / math.log((mix64(key) + 1) / 18446744073709551617)


def price_threshold(priced_work: Iterable[tuple[float, float]], share: float) -> float:
    """Of pairs of price and work, the price up to which the cheapest make up a share of all work; infinity
    where all fit."""
    priced_work = sorted(priced_work)
    left = share * sum(work for _, work in priced_work)
    for price, work in priced_work:
        left -= work
        if left < 0:
            return price
    return math.inf


class MeanDeviation:
    """Running mean and mean deviation of a quantity, as TCP's retransmission timer keeps them.  A new sample
    weighs ``gain``, or more while there are few."""

    def __init__(self, mean: float, gain: float) -> None:
        self.mean, self.mean_deviation, self.sample_count, self.min_gain = mean, mean / 2, 0, gain

    def add(self, sample: float) -> None:
        """One sample, in the unit of the mean."""
        gain = max(self.min_gain, 1 / (self.sample_count + 1))
        self.mean_deviation += gain * (abs(sample - self.mean) - self.mean_deviation)
        self.mean += gain * (sample - self.mean)
        self.sample_count += 1


class SlidingWindowSum:
    """The sum of what came in a window that ends now, kept as it changes: adding the window up for each
    request of a zone with a cold cache took all of a busy router's CPU.  Its length is that of the window."""

    def __init__(self) -> None:
        self.samples: deque[tuple[int, float]] = deque()
        self.total = 0.0

    def add(self, now_ns: int, amount: float) -> None:
        """One more, at a time in ns that never runs back."""
        self.samples.append((now_ns, amount))
        self.total += amount

    def sum_since(self, start_ns: int) -> float:
        """What came after a time in ns, which only advances; the rest is forgotten."""
        while self.samples and self.samples[0][0] <= start_ns:
            self.total -= self.samples.popleft()[1]
        if not self.samples:
            self.total = 0.0
        return self.total


class DecayingSum:
    """A sum in which what came ``span_ns`` ago counts 1/e."""

    def __init__(self, span_ns: int) -> None:
        self.time_constant_ns, self.total, self.updated_ns = span_ns, 0.0, 0

    def add(self, now_ns: int, amount: float) -> None:
        """One more, at a time in ns that never runs back."""
        self.total, self.updated_ns = self.value_at(now_ns) + amount, now_ns

    def value_at(self, now_ns: int) -> float:
        """The sum as of a time in ns."""
        return self.total * math.exp((self.updated_ns - now_ns) / self.time_constant_ns)


class LinearDecay:
    """A figure as last told, which falls by 1 in every ``span_ns`` in which it is not told anew."""

    def __init__(self, span_ns: int) -> None:
        self.unit_decay_ns, self.value, self.updated_ns = span_ns, 0.0, 0

    def record(self, now_ns: int, value: float) -> None:
        """The figure at a time in ns that never runs back."""
        self.value, self.updated_ns = value, now_ns

    def value_at(self, now_ns: int) -> float:
        """The figure as of a time in ns."""
        return self.value - (now_ns - self.updated_ns) / self.unit_decay_ns
