"""Parsers of the file's values: durations, shares, quantiles, rates, ranges, lists.

Each parser accepts any KDL value and raises InvalidValue for an invalid one.  The message for a value of the
wrong type has an example of the right type.
"""

from __future__ import annotations

import re

from kelpcroft.deployment_check.known_keys import parse_host_port
from kelpcroft.operator_file.diagnostics import abbreviated

MS = 10**6
SECOND = 10**9
DAY_NS = 86_400 * SECOND  # upper bound of each duration
UNITS_NS = {"us": 10**3, "ms": MS, "s": SECOND, "m": 60 * SECOND, "h": 3_600 * SECOND}
SECONDS_BY_RATE_UNIT = {"s": 1, "m": 60}
MAX_RATE_PER_S = 100_000.0  # upper bound of each rate
MAX_BURST = 1_000_000.0  # tokens of a budget
MIN_PERCENTILE = 50.0  # lower bound of a quantile, in percent
MAX_PERCENTILE = 99.9  # upper bound of a quantile, in percent

NUMBER = r"-?(?:\d{1,18}(?:\.\d{1,18})?|inf|nan)"
DURATION = re.compile(rf"({NUMBER})\s*([a-z]*)")
SHARE = re.compile(rf"({NUMBER})\s*%")
QUANTILE = re.compile(rf"p({NUMBER})")
RATE = re.compile(rf"({NUMBER})\s*/\s*([a-z]+)")
RANGE = re.compile(r"(?P<low>\d{1,18})?\s*(?P<dots>\.\.)?\s*(?P<high>\d{1,18})?")

EXAMPLES = {  # for messages: a valid value of each kind
    "a duration": '"250ms"',
    "a wait": '"2.5s" or "80%"',
    "a moment": '"150ms" or "p95"',
    "a rate": '"5/s"',
    "a range": '"8..19"',
    "a name": '"orders"',
    "a list": '"error,reset"',
    "hex digits": '"7f3a"',
    "an address": '"10.0.0.1:7100"',
}


class InvalidValue(ValueError):  # noqa: N818 - describes a value of the operator's file, not a program error
    """A value cannot be used.

    Attributes:
        code: The rule that the value breaks, see Diagnostic.code.
        reason: The message for operators.
    """

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason


def parse_text(value: object, kind: str) -> str:
    """Parse a string and strip whitespace at both ends; ``kind`` is a key of EXAMPLES."""
    if not isinstance(value, str):
        raise InvalidValue(
            "wrong-type", f"{kind} is written as text, such as {EXAMPLES[kind]}, not {abbreviated(value)}"
        )
    return value.strip()


def parse_duration(value: object, kind: str = "a duration") -> int:
    """Parse a duration, above 0 and at most one day, to nanoseconds."""
    text = parse_text(value, kind)
    match = DURATION.fullmatch(text)
    if not match:
        raise InvalidValue(
            "bad-duration", f"{abbreviated(text)} is no duration; write one as {EXAMPLES[kind]}"
        )
    number, unit = match[1], match[2]
    if number.lstrip("-") in ("inf", "nan"):
        raise InvalidValue("bad-duration", f"{abbreviated(text)} has no end; the maximum is a day")
    if not unit:
        raise InvalidValue(
            "bad-duration", f"{abbreviated(text)} has no unit; write {number}ms or {number}s, for example"
        )
    if unit not in UNITS_NS:
        raise InvalidValue("bad-duration", f"{abbreviated(unit)} is no unit; units are {', '.join(UNITS_NS)}")
    ns = round(float(number) * UNITS_NS[unit])
    if ns <= 0:
        raise InvalidValue("bad-duration", f"{abbreviated(text)} is not above 0")
    if ns > DAY_NS:
        raise InvalidValue("bad-duration", f"{abbreviated(text)} is over a day")
    return ns


def format_duration(ns: int) -> str:
    """Format a time in ns as in the file: in ms below one second, else in s."""
    return f"{ns / SECOND:g}s" if ns >= SECOND else f"{ns / MS:g}ms"


def parse_address(value: object) -> tuple[str, int]:
    """Parse ``host:port`` to the address form of the socket module."""
    address = parse_host_port(parse_text(value, "an address"))
    if address is None:
        raise InvalidValue("bad-address", f"{abbreviated(value)} is no address; host:port would do")
    return address


def parse_share(value: object) -> float | None:
    """Parse a percentage to a share above 0 and at most 1.  Returns None if the value is not a percentage."""
    match = SHARE.fullmatch(value.strip()) if isinstance(value, str) else None
    if not match:
        return None
    share = float(match[1]) / 100
    if not 0 < share <= 1:
        raise InvalidValue("bad-share", f"{abbreviated(value)} is not above 0% and at most 100%")
    return share


def parse_quantile(value: object) -> float | None:
    """Parse ``p50`` to ``p99.9`` to a quantile (0 to 1).  Returns None if the value has another form."""
    match = QUANTILE.fullmatch(value.strip()) if isinstance(value, str) else None
    if not match:
        return None
    percentile = float(match[1])
    if not MIN_PERCENTILE <= percentile <= MAX_PERCENTILE:
        raise InvalidValue("bad-quantile", f"{abbreviated(value)} is not from p50 to p99.9")
    return round(percentile / 100, 6)


def parse_rate(value: object) -> float:
    """Parse a rate, from 0 to MAX_RATE_PER_S, to a number per second."""
    text = parse_text(value, "a rate")
    match = RATE.fullmatch(text)
    if not match or match[2] not in SECONDS_BY_RATE_UNIT:
        raise InvalidValue(
            "bad-rate", f'{abbreviated(text)} is no rate; write one per second or minute: "5/s" or "30/m"'
        )
    per_s = float(match[1]) / SECONDS_BY_RATE_UNIT[match[2]]
    if not 0 <= per_s <= MAX_RATE_PER_S:
        raise InvalidValue("bad-rate", f"{abbreviated(text)} is not from 0 to {MAX_RATE_PER_S:g}/s")
    return per_s


def parse_number(value: object, minimum: float, maximum: float, code: str) -> float:
    """Parse a number between two bounds, both included; ``code`` is the rule that limits it."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise InvalidValue("wrong-type", f"a number is due, not {abbreviated(value)}")
    if not minimum <= value <= maximum:
        raise InvalidValue(code, f"{abbreviated(value)} is not from {minimum:g} to {maximum:g}")
    return float(value)


def parse_count(value: object, minimum: int, maximum: int) -> int:
    """Parse a whole number between two bounds, both included."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidValue("wrong-type", f"a whole number is due, not {abbreviated(value)}")
    if not minimum <= value <= maximum:
        raise InvalidValue("bad-count", f"{abbreviated(value)} is not from {minimum} to {maximum}")
    return value


def parse_flag(value: object) -> bool:
    """Parse #true or #false."""
    if not isinstance(value, bool):
        raise InvalidValue("wrong-type", f"#true or #false is due, not {abbreviated(value)}")
    return value


def parse_range(value: object, allowed: tuple[int, int]) -> tuple[int, int]:
    """Parse ``8``, ``8..19``, ``8..`` or ``..19``, both ends included, to a range within the allowed one."""
    if isinstance(value, int) and not isinstance(value, bool):
        value = str(value)
    text = parse_text(value, "a range")
    match = RANGE.fullmatch(text)
    if not match or not is_range(match):
        raise InvalidValue(
            "bad-range", f"{abbreviated(text)} is no range; write one as 8, 8..19, 8.. or ..19"
        )
    low = int(match["low"]) if match["low"] else allowed[0]
    if match["high"]:
        high = int(match["high"])
    elif match["dots"]:
        high = allowed[1]
    else:
        high = low
    if low > high:
        raise InvalidValue("bad-range", f"{abbreviated(text)} is upside down; did you mean {high}..{low}?")
    if low < allowed[0] or high > allowed[1]:
        raise InvalidValue("bad-range", f"{abbreviated(text)} is not within {allowed[0]}..{allowed[1]}")
    return low, high


def is_range(match: re.Match[str]) -> bool:
    """Whether a match of RANGE is a range: it has at least one end, and dots if it has both."""
    if match["low"] and match["high"]:
        return bool(match["dots"])
    return bool(match["low"] or match["high"])


def parse_list(value: object, kind: str = "a list") -> list[str]:
    """Parse a comma-separated list; ``kind`` is a key of EXAMPLES."""
    return [word.strip() for word in parse_text(value, kind).split(",")]
