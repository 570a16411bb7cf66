"""What is wrong with a file: where, which rule, what was found and what would do."""

from __future__ import annotations

import re
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches
from typing import NamedTuple

FAULTS_MOST = 1_000  # of one file; what follows is not read


class Place(NamedTuple):
    """Line and column in the file, both from 1; columns count characters."""

    line: int = 0
    column: int = 0


NEWLINE = r"\r\n|[\n\r\x85\x0b\x0c\u2028\u2029]"


class Source:
    """A text that knows its lines.  Offsets become places only where they are wanted."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.starts = [0, *(match.end() for match in re.finditer(NEWLINE, text))]

    def place(self, at: int) -> Place:
        """Line and column of an offset."""
        line = bisect_right(self.starts, at)
        return Place(line, at - self.starts[line - 1] + 1)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.  ``code`` is stable: scripts may rely on it."""

    place: Place
    code: str
    reason: str

    def text(self, path: str) -> str:
        """``FILE:LINE:COL: CODE: reason``, on one line whatever the file held."""
        reason = "".join(c if c.isprintable() else f"\\u{ord(c):04x}" for c in self.reason)
        return f"{path}:{self.place.line}:{self.place.column}: {self.code}: {reason}"


class TooMany(Exception):
    """FAULTS_MOST of them; what follows is not read."""


class Faults:
    """Collects them, up to FAULTS_MOST: a broken file of 1 MB may hold more than anyone reads."""

    def __init__(self, source: Source | None = None) -> None:
        self.kept: list[Fault] = []
        self.count = 0
        self.source = source or Source("")

    def add(self, place: Place | int, code: str, reason: str) -> None:
        """One more, at a place or at an offset into the source."""
        self.count += 1
        self.kept.append(Fault(self.place(place), code, reason))
        if self.count >= FAULTS_MOST:
            raise TooMany

    def place(self, place: Place | int) -> Place:
        """The place of an offset."""
        return self.source.place(place) if isinstance(place, int) else place

    def sorted(self) -> list[Fault]:
        """In the order of the file."""
        return sorted(self.kept, key=lambda fault: fault.place)


def shown(value: object) -> str:
    """A value for a message, cut where it is long."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def instead(word: str, known: Iterable[str]) -> str:
    """What to write in place of a word that is not known: the nearest one, or the whole choice if short."""
    choice = sorted(known)
    near = get_close_matches(word[:64], choice, 1, 0.6)
    if near:
        return f"; did you mean {near[0]!r}?"
    if not choice:
        return ""
    more = f" and {len(choice) - 12} more" if len(choice) > 12 else ""
    return f"; there is {', '.join(choice[:12])}{more}"
