"""Estimate of servers' response times, and the silence timeout of connections derived from it."""

from __future__ import annotations

from kelpcroft.core.state import MS

MIN_SILENCE_TIMEOUT_NS = 300 * MS  # lower bound of the silence timeout
SILENCE_DEVIATIONS = 4.0  # the silence timeout is the mean response time plus this many mean deviations
RESPONSE_TIME_GAIN = 0.05  # weight of the newest response in the averages


class ResponseTimes:
    """Mean and mean deviation of response times (EWMA), like TCP's retransmission timeout (RFC 6298).

    Both averages use RESPONSE_TIME_GAIN, where the RFC has 1/8 and 1/4.

    Attributes:
        mean_ns: Mean time from an attempt's start to its response.
        deviation_ns: Mean deviation from ``mean_ns``.
    """

    def __init__(self) -> None:
        self.mean_ns = float(MIN_SILENCE_TIMEOUT_NS)
        self.deviation_ns = float(MIN_SILENCE_TIMEOUT_NS)

    def record(self, elapsed_ns: int) -> None:
        """Add one response time to the averages."""
        self.deviation_ns += RESPONSE_TIME_GAIN * (abs(elapsed_ns - self.mean_ns) - self.deviation_ns)
        self.mean_ns += RESPONSE_TIME_GAIN * (elapsed_ns - self.mean_ns)

    def silence_timeout_ns(self) -> int:
        """The silence timeout: how long a connection may be silent, well above the usual response time."""
        return max(MIN_SILENCE_TIMEOUT_NS, int(self.mean_ns + SILENCE_DEVIATIONS * self.deviation_ns))
