"""The usual time of a server's answer: how long a connection may be silent."""

from __future__ import annotations

from kelpcroft.core.state import MS

MIN_SILENCE_LIMIT_NS = 300 * MS
SILENCE_DEVIATIONS = 4.0  # mean deviations past the usual time of an answer
RESPONSE_TIME_GAIN = 0.05  # weight of the newest answer in the averages


class ResponseTimes:
    """Mean and mean deviation of answers' times (EWMA), like TCP's time-out estimate (RFC 6298).

    Both averages use RESPONSE_TIME_GAIN, where the RFC has 1/8 and 1/4.

    Attributes:
        mean_ns: Mean time from an attempt's start to its answer.
        deviation_ns: Mean deviation from it.
    """

    def __init__(self) -> None:
        self.mean_ns = float(MIN_SILENCE_LIMIT_NS)
        self.deviation_ns = float(MIN_SILENCE_LIMIT_NS)

    def record(self, elapsed_ns: int) -> None:
        """Take the time of one answer in."""
        self.deviation_ns += RESPONSE_TIME_GAIN * (abs(elapsed_ns - self.mean_ns) - self.deviation_ns)
        self.mean_ns += RESPONSE_TIME_GAIN * (elapsed_ns - self.mean_ns)

    def silence_limit_ns(self) -> int:
        """How long a connection may be silent: well past the usual time of an answer."""
        return max(MIN_SILENCE_LIMIT_NS, int(self.mean_ns + SILENCE_DEVIATIONS * self.deviation_ns))
