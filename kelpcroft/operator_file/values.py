"""Texts of the file to values: durations, shares, quantiles, rates, ranges.  Each raises Unusable."""

from __future__ import annotations

import re

from kelpcroft.deployment_check.known_keys import parse_host_port
from kelpcroft.operator_file.diagnostics import abbreviated

DAY_NS = 86_400 * 10**9
UNITS = {"us": 10**3, "ms": 10**6, "s": 10**9, "m": 60 * 10**9, "h": 3_600 * 10**9}
NUMBER = r"-?(?:\d{1,18}(?:\.\d{1,18})?|inf|nan)"
DURATION = re.compile(rf"({NUMBER})\s*([a-z]*)")
SHARE = re.compile(rf"({NUMBER})\s*%")
QUANTILE = re.compile(rf"p({NUMBER})")
RATE = re.compile(rf"({NUMBER})\s*/\s*([a-z]+)")
RANGE = re.compile(r"(\d{1,18})?\s*(\.\.)?\s*(\d{1,18})?")
RATE_MOST, BURST_MOST = 100_000.0, 1_000_000.0


class InvalidValue(ValueError):
    """A value that cannot be used, and the code of the rule that it breaks."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(reason)
        self.code, self.reason = code, reason


def parse_text(value: object, what: str) -> str:
    """A string; anything else is the wrong type."""
    if not isinstance(value, str):
        raise InvalidValue(
            "wrong-type", f"{what} is written as text, such as {EXAMPLES[what]}, not {abbreviated(value)}"
        )
    return value.strip()


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
    if unit not in UNITS:
        raise InvalidValue("bad-duration", f"{abbreviated(unit)} is no unit; there are {', '.join(UNITS)}")
    ns = round(float(number) * UNITS[unit])
    if ns <= 0:
        raise InvalidValue("bad-duration", f"{abbreviated(text)} is not above 0")
    if ns > DAY_NS:
        raise InvalidValue("bad-duration", f"{abbreviated(text)} is over a day")
    return ns


def parse_address(value: object) -> tuple[str, int]:
    """``host:port`` as a socket wants it."""
    found = parse_host_port(parse_text(value, "an address"))
    if found is None:
        raise InvalidValue("bad-address", f"{abbreviated(value)} is no address; host:port would do")
    return found


def parse_share(value: object) -> float | None:
    """A share above 0 and up to 1 from a text in percent; None for a text that is none."""
    match = SHARE.fullmatch(value.strip()) if isinstance(value, str) else None
    if not match:
        return None
    found = float(match[1]) / 100
    if not 0 < found <= 1:
        raise InvalidValue("bad-share", f"{abbreviated(value)} is not above 0% and at most 100%")
    return found


def parse_quantile(value: object) -> float | None:
    """A quantile from p50 to p99.9; None for a text that is none."""
    match = QUANTILE.fullmatch(value.strip()) if isinstance(value, str) else None
    if not match:
        return None
    found = float(match[1])
    if not 50 <= found <= 99.9:
        raise InvalidValue("bad-quantile", f"{abbreviated(value)} is not from p50 to p99.9")
    return round(found / 100, 6)


def parse_rate(value: object) -> float:
    """So many a second."""
    text = parse_text(value, "a rate")
    match = RATE.fullmatch(text)
    if not match or match[2] not in ("s", "m"):
        raise InvalidValue(
            "bad-rate", f'{abbreviated(text)} is no rate; write one a second or a minute, as "5/s" or "30/m"'
        )
    found = float(match[1]) / (60 if match[2] == "m" else 1)
    if not 0 <= found <= RATE_MOST:
        raise InvalidValue("bad-rate", f"{abbreviated(text)} is not from 0 to {RATE_MOST:g}/s")
    return found


def parse_number(value: object, least: float, most: float, code: str) -> float:
    """A number between two others."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise InvalidValue("wrong-type", f"a number is due, not {abbreviated(value)}")
    if not least <= value <= most:
        raise InvalidValue(code, f"{abbreviated(value)} is not from {least:g} to {most:g}")
    return float(value)


def parse_count(value: object, least: int, most: int) -> int:
    """A whole number between two others."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidValue("wrong-type", f"a whole number is due, not {abbreviated(value)}")
    if not least <= value <= most:
        raise InvalidValue("bad-count", f"{abbreviated(value)} is not from {least} to {most}")
    return value


def parse_flag(value: object) -> bool:
    """#true or #false."""
    if not isinstance(value, bool):
        raise InvalidValue("wrong-type", f"#true or #false is due, not {abbreviated(value)}")
    return value


def parse_range(value: object, whole: tuple[int, int]) -> tuple[int, int]:
    """A range as ``8``, ``8..19``, ``8..`` or ``..19``, both ends included, within the whole."""
    if isinstance(value, int) and not isinstance(value, bool):
        value = str(value)
    text = parse_text(value, "a range")
    match = RANGE.fullmatch(text)
    if not match or not (match[1] or match[3]) or (match[1] and match[3] and not match[2]):
        raise InvalidValue(
            "bad-range", f"{abbreviated(text)} is no range; write one as 8, 8..19, 8.. or ..19"
        )
    low = int(match[1]) if match[1] else whole[0]
    high = int(match[3]) if match[3] else (whole[1] if match[2] else low)
    if low > high:
        raise InvalidValue("bad-range", f"{abbreviated(text)} is upside down; did you mean {high}..{low}?")
    if low < whole[0] or high > whole[1]:
        raise InvalidValue("bad-range", f"{abbreviated(text)} is not within {whole[0]}..{whole[1]}")
    return low, high


def parse_list(value: object, what: str = "a list") -> list[str]:
    """A list, its members apart by commas."""
    return [word.strip() for word in parse_text(value, what).split(",")]
