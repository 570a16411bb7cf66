"""Parsers of the file's values: durations, shares, quantiles, rates, ranges, lists.

Each raises InvalidValue.  It takes whatever a KDL value may be, and refuses what has the wrong type with an
example of the right one.
"""

from __future__ import annotations

import re

from kelpcroft.deployment_check.known_keys import parse_host_port
from kelpcroft.operator_file.diagnostics import abbreviated

MS = 10**6
SECOND = 10**9
DAY_NS = 86_400 * SECOND
UNITS_NS = {"us": 10**3, "ms": MS, "s": SECOND, "m": 60 * SECOND, "h": 3_600 * SECOND}
SECONDS_BY_RATE_UNIT = {"s": 1, "m": 60}
MAX_RATE_PER_S = 100_000.0
MAX_BURST = 1_000_000.0
MIN_PERCENTILE = 50.0
MAX_PERCENTILE = 99.9

NUMBER = r"-?(?:\d{1,18}(?:\.\d{1,18})?|inf|nan)"
DURATION = re.compile(rf"({NUMBER})\s*([a-z]*)")
SHARE = re.compile(rf"({NUMBER})\s*%")
QUANTILE = re.compile(rf"p({NUMBER})")
RATE = re.compile(rf"({NUMBER})\s*/\s*([a-z]+)")
RANGE = re.compile(r"(?P<low>\d{1,18})?\s*(?P<dots>\.\.)?\s*(?P<high>\d{1,18})?")

EXAMPLES = {
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


class InvalidValue(ValueError):  # noqa: N818 - a value of the operator's file, and no error of the program
    """A value that cannot be used.

    Attributes:
        code: The rule that it breaks, see Diagnostic.code.
        reason: What is wrong, for people.
    """

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason


def parse_text(value: object, what: str) -> str:
    """A string without the blanks at its ends; ``what`` is a key of EXAMPLES."""
    if not isinstance(value, str):
        raise InvalidValue(
            "wrong-type", f"{what} is written as text, such as {EXAMPLES[what]}, not {abbreviated(value)}"
        )
    return value.strip()


def parse_duration(value: object, what: str = "a duration") -> int:
    """Nanoseconds, above 0 and at most a day."""
    text = parse_text(value, what)
    match = DURATION.fullmatch(text)
    if not match:
        raise InvalidValue(
            "bad-duration", f"{abbreviated(text)} is no duration; write one as {EXAMPLES[what]}"
        )
    number, unit = match[1], match[2]
    if number.lstrip("-") in ("inf", "nan"):
        raise InvalidValue("bad-duration", f"{abbreviated(text)} has no end; a day is the most")
    if not unit:
        raise InvalidValue(
            "bad-duration", f"{abbreviated(text)} has no unit; {number}ms and {number}s are two of them"
        )
    if unit not in UNITS_NS:
        raise InvalidValue("bad-duration", f"{abbreviated(unit)} is no unit; there are {', '.join(UNITS_NS)}")
    ns = round(float(number) * UNITS_NS[unit])
    if ns <= 0:
        raise InvalidValue("bad-duration", f"{abbreviated(text)} is not above 0")
    if ns > DAY_NS:
        raise InvalidValue("bad-duration", f"{abbreviated(text)} is over a day")
    return ns


def format_duration(ns: int) -> str:
    """A time in ns as the file would write it: in ms under a second, else in s."""
    return f"{ns / SECOND:g}s" if ns >= SECOND else f"{ns / MS:g}ms"


def parse_address(value: object) -> tuple[str, int]:
    """``host:port`` as a socket wants it."""
    address = parse_host_port(parse_text(value, "an address"))
    if address is None:
        raise InvalidValue("bad-address", f"{abbreviated(value)} is no address; host:port would do")
    return address


def parse_share(value: object) -> float | None:
    """A share above 0 and up to 1 from a text in percent; None for what is not written in percent."""
    match = SHARE.fullmatch(value.strip()) if isinstance(value, str) else None
    if not match:
        return None
    share = float(match[1]) / 100
    if not 0 < share <= 1:
        raise InvalidValue("bad-share", f"{abbreviated(value)} is not above 0% and at most 100%")
    return share


def parse_quantile(value: object) -> float | None:
    """A quantile (0 to 1) from a text as ``p95``, p50 to p99.9; None for what is not written so."""
    match = QUANTILE.fullmatch(value.strip()) if isinstance(value, str) else None
    if not match:
        return None
    percentile = float(match[1])
    if not MIN_PERCENTILE <= percentile <= MAX_PERCENTILE:
        raise InvalidValue("bad-quantile", f"{abbreviated(value)} is not from p50 to p99.9")
    return round(percentile / 100, 6)


def parse_rate(value: object) -> float:
    """So many a second, from 0 to MAX_RATE_PER_S."""
    text = parse_text(value, "a rate")
    match = RATE.fullmatch(text)
    if not match or match[2] not in SECONDS_BY_RATE_UNIT:
        raise InvalidValue(
            "bad-rate", f'{abbreviated(text)} is no rate; write one a second or a minute, as "5/s" or "30/m"'
        )
    per_s = float(match[1]) / SECONDS_BY_RATE_UNIT[match[2]]
    if not 0 <= per_s <= MAX_RATE_PER_S:
        raise InvalidValue("bad-rate", f"{abbreviated(text)} is not from 0 to {MAX_RATE_PER_S:g}/s")
    return per_s


def parse_number(value: object, minimum: float, maximum: float, code: str) -> float:
    """A number between two others, both included; ``code`` is the rule that one beyond them breaks."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise InvalidValue("wrong-type", f"a number is due, not {abbreviated(value)}")
    if not minimum <= value <= maximum:
        raise InvalidValue(code, f"{abbreviated(value)} is not from {minimum:g} to {maximum:g}")
    return float(value)


def parse_count(value: object, minimum: int, maximum: int) -> int:
    """A whole number between two others, both included."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidValue("wrong-type", f"a whole number is due, not {abbreviated(value)}")
    if not minimum <= value <= maximum:
        raise InvalidValue("bad-count", f"{abbreviated(value)} is not from {minimum} to {maximum}")
    return value


def parse_flag(value: object) -> bool:
    """#true or #false."""
    if not isinstance(value, bool):
        raise InvalidValue("wrong-type", f"#true or #false is due, not {abbreviated(value)}")
    return value


def parse_range(value: object, allowed: tuple[int, int]) -> tuple[int, int]:
    """A range as ``8``, ``8..19``, ``8..`` or ``..19``, both ends included, within the allowed one."""
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
    """Whether what RANGE takes is a range: it has an end, and dots between two ends."""
    if match["low"] and match["high"]:
        return bool(match["dots"])
    return bool(match["low"] or match["high"])


def parse_list(value: object, what: str = "a list") -> list[str]:
    """A list, its members apart by commas; ``what`` is a key of EXAMPLES."""
    return [word.strip() for word in parse_text(value, what).split(",")]
