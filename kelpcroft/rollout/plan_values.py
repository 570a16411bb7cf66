"""The values of a rollout file: each function takes one of KDL's and checks it.

All of them raise InvalidValue, with a stable code and a message, for a value that cannot be used.
"""

from __future__ import annotations

from kelpcroft.deployment_check.known_keys import address_form
from kelpcroft.operator_file import values
from kelpcroft.operator_file.diagnostics import abbreviated
from kelpcroft.operator_file.text import Value
from kelpcroft.operator_file.values import InvalidValue

MAX_ROUTERS = 10_000
MAX_PLACED_OBJECTS = 100_000
MAX_MEMORY_RATIO = 100
MAX_WORD_CHARACTERS = 4_096
MIN_DIGEST_DIGITS = 4
MAX_DIGEST_DIGITS = 64
COMMAND_FIELDS = ("router", "zone", "control", "config")  # what may stand in braces in a command's word


def parse_count(raw: Value) -> int:
    """A number of routers, or none."""
    return values.parse_count(raw, 0, MAX_ROUTERS)


def parse_positive_count(raw: Value) -> int:
    """A number of routers, at least one."""
    return values.parse_count(raw, 1, MAX_ROUTERS)


def parse_object_count(raw: Value) -> int:
    """For how many objects placements are compared."""
    return values.parse_count(raw, 1, MAX_PLACED_OBJECTS)


def parse_probability(raw: Value) -> float:
    """0 to 1."""
    return values.parse_number(raw, 0, 1, "bad-rate")


def parse_memory_ratio(raw: Value) -> float:
    """Times the most memory of an old router."""
    return values.parse_number(raw, 1, MAX_MEMORY_RATIO, "bad-rate")


def parse_name(raw: Value) -> str:
    """A name that stands elsewhere."""
    return values.parse_text(raw, "a name")


def parse_path(raw: Value) -> str:
    """A path as it was written; whether something is there is not looked at."""
    return values.parse_text(raw, "a path")


def parse_digest(raw: Value) -> str:
    """A digest in hexadecimal."""
    text = values.parse_text(raw, "hex digits")
    if not MIN_DIGEST_DIGITS <= len(text) <= MAX_DIGEST_DIGITS or set(text) - set("0123456789abcdef"):
        raise InvalidValue("bad-digest", f"{abbreviated(raw)} is not 4 to 64 hex digits in lower case")
    return text


def parse_command_word(raw: Value) -> str:
    """One word of a command.  What stands in braces is one of COMMAND_FIELDS; {{ and }} are braces."""
    text = values.parse_text(raw, "a name")
    if not text or len(text) > MAX_WORD_CHARACTERS or "\0" in text:
        raise InvalidValue("bad-word", f"{abbreviated(raw)} is no argument of a command")
    try:
        text.format(**dict.fromkeys(COMMAND_FIELDS, ""))
    except (KeyError, IndexError, ValueError) as error:
        known = ", ".join("{" + name + "}" for name in COMMAND_FIELDS)
        raise InvalidValue("bad-word", f"{abbreviated(raw)}: {error} is none of {known}") from error
    return text


def parse_control_address(raw: Value) -> str:
    """``host:port``."""
    text = values.parse_text(raw, "a name")
    if address_form(text):
        raise InvalidValue("bad-address", f"{abbreviated(raw)} is no address; host:port would do")
    return text


def parse_router_share(raw: Value) -> float:
    """A share of all routers, as ``"10%"``."""
    share = values.parse_share(raw)
    if share is None:
        raise InvalidValue("bad-share", f'{abbreviated(raw)} is no share; write one as "10%"')
    return share
