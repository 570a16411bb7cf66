"""Arithmetic of the decisions, which decides nothing: a hash, running means, sums over a span of time."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable


def mix(value: int) -> int:
    """A 64-bit hash that is the same in every process (splitmix64's finaliser)."""
    value = (value + 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
    return value ^ (value >> 31)


def rendezvous(key: int) -> float:
    """A number for a key, above 0, such that of several keys each is the largest as often as its weight says,
    when each number is multiplied by its weight."""
    return -1 / math.log((mix(key) + 1) / 18446744073709551617)


def fitting(items: Iterable[tuple[float, float]], share: float) -> float:
    """Of pairs of price and work, the price up to which the cheapest make up a share of all work; infinity
    where all fit."""
    items = sorted(items)
    left = share * sum(work for _, work in items)
    for price, work in items:
        left -= work
        if left < 0:
            return price
    return math.inf


class Spread:
    """Running mean and mean deviation of a quantity, as TCP's retransmission timer keeps them.  A new sample
    weighs ``gain``, or more while there are few."""

    def __init__(self, mean: float, gain: float) -> None:
        self.mean, self.dev, self.seen, self.gain = mean, mean / 2, 0, gain

    def add(self, x: float) -> None:
        """One sample, in the unit of the mean."""
        gain = max(self.gain, 1 / (self.seen + 1))
        self.dev += gain * (abs(x - self.mean) - self.dev)
        self.mean += gain * (x - self.mean)
        self.seen += 1


class Sliding:
    """The sum of what came in a window that ends now, kept as it changes: adding the window up for each
    request of a zone with a cold cache took all of a busy router's CPU.  Its length is that of the window."""

    def __init__(self) -> None:
        self.items: deque[tuple[int, float]] = deque()
        self.total = 0.0

    def add(self, now: int, amount: float) -> None:
        """One more, at a time in ns that never runs back."""
        self.items.append((now, amount))
        self.total += amount

    def since(self, start: int) -> float:
        """What came after a time in ns, which only advances; the rest is forgotten."""
        while self.items and self.items[0][0] <= start:
            self.total -= self.items.popleft()[1]
        if not self.items:
            self.total = 0.0
        return self.total


class Faded:
    """A sum in which what came ``span_ns`` ago counts 1/e."""

    def __init__(self, span_ns: int) -> None:
        self.span_ns, self.total, self.at_ns = span_ns, 0.0, 0

    def add(self, now: int, amount: float) -> None:
        """One more, at a time in ns that never runs back."""
        self.total, self.at_ns = self.now(now) + amount, now

    def now(self, now: int) -> float:
        """The sum as of a time in ns."""
        return self.total * math.exp((self.at_ns - now) / self.span_ns)


class Falling:
    """A figure as last told, which falls by 1 in every ``span_ns`` in which it is not told anew."""

    def __init__(self, span_ns: int) -> None:
        self.span_ns, self.value, self.at_ns = span_ns, 0.0, 0

    def told(self, now: int, value: float) -> None:
        """The figure at a time in ns that never runs back."""
        self.value, self.at_ns = value, now

    def now(self, now: int) -> float:
        """The figure as of a time in ns."""
        return self.value - (now - self.at_ns) / self.span_ns
