"""Parsers of the values in a rollout file; each takes a KDL value and checks it.

All parsers raise InvalidValue, with a stable code and a message, for a value that cannot be used.
"""

from __future__ import annotations

from kelpcroft.deployment_check.known_keys import address_form
from kelpcroft.operator_file import values
from kelpcroft.operator_file.diagnostics import abbreviated
from kelpcroft.operator_file.text import Value
from kelpcroft.operator_file.values import InvalidValue

MAX_ROUTERS = 10_000  # most routers in one file
MAX_PLACED_OBJECTS = 100_000  # most objects whose placements are compared
MAX_MEMORY_RATIO = 100  # upper limit of ``memory`` in ``stop``
MAX_WORD_CHARACTERS = 4_096  # greatest length of one argument of a command
# Least and greatest length of a digest, in hexadecimal digits.
MIN_DIGEST_DIGITS = 4
MAX_DIGEST_DIGITS = 64
# Names that a command's arguments may have in braces, as placeholders for a router's values.
COMMAND_PLACEHOLDERS = ("router", "zone", "control", "config")


def parse_count(raw: Value) -> int:
    """A number of routers, at least 0."""
    return values.parse_count(raw, 0, MAX_ROUTERS)


def parse_positive_count(raw: Value) -> int:
    """A number of routers, at least 1."""
    return values.parse_count(raw, 1, MAX_ROUTERS)


def parse_object_count(raw: Value) -> int:
    """A number of objects whose placements are compared, at least 1."""
    return values.parse_count(raw, 1, MAX_PLACED_OBJECTS)


def parse_probability(raw: Value) -> float:
    """A probability or a difference of shares, 0 to 1."""
    return values.parse_number(raw, 0, 1, "bad-rate")


def parse_memory_ratio(raw: Value) -> float:
    """A multiple of the old build's peak memory, 1 to MAX_MEMORY_RATIO."""
    return values.parse_number(raw, 1, MAX_MEMORY_RATIO, "bad-rate")


def parse_name(raw: Value) -> str:
    """A name; whether it is defined is not checked here."""
    return values.parse_text(raw, "a name")


def parse_path(raw: Value) -> str:
    """A path as written; whether it exists is not checked."""
    return values.parse_text(raw, "a path")


def parse_digest(raw: Value) -> str:
    """A digest in hexadecimal."""
    text = values.parse_text(raw, "hex digits")
    if not MIN_DIGEST_DIGITS <= len(text) <= MAX_DIGEST_DIGITS or set(text) - set("0123456789abcdef"):
        raise InvalidValue("bad-digest", f"{abbreviated(raw)} is not 4 to 64 hex digits in lower case")
    return text


def parse_command_word(raw: Value) -> str:
    """One argument of a command.

    A name in braces is a placeholder, one of COMMAND_PLACEHOLDERS; ``{{`` and ``}}`` stand for single braces.
    """
    text = values.parse_text(raw, "a name")
    if not text or len(text) > MAX_WORD_CHARACTERS or "\0" in text:
        raise InvalidValue("bad-word", f"{abbreviated(raw)} cannot be an argument of a command")
    try:
        text.format(**dict.fromkeys(COMMAND_PLACEHOLDERS, ""))
    except (KeyError, IndexError, ValueError) as error:
        allowed = ", ".join("{" + name + "}" for name in COMMAND_PLACEHOLDERS)
        raise InvalidValue("bad-word", f"{abbreviated(raw)}: {error} is not one of {allowed}") from error
    return text


def parse_control_address(raw: Value) -> str:
    """The address of a control endpoint, ``host:port``."""
    text = values.parse_text(raw, "a name")
    if address_form(text):
        raise InvalidValue("bad-address", f"{abbreviated(raw)} is not an address; write host:port")
    return text


def parse_router_share(raw: Value) -> float:
    """A share of all routers, as ``"10%"``."""
    share = values.parse_share(raw)
    if share is None:
        raise InvalidValue("bad-share", f'{abbreviated(raw)} is not a share; write one as in "10%"')
    return share
