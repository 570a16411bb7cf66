"""Generator of docs/CAPACITY.md: text from docs/capacity/page.md, figures from docs/capacity/*.json."""

from __future__ import annotations

import json
import re
from typing import Any

from testbed.stand_ins import ROOT

PAGE = ROOT / "docs/CAPACITY.md"
FOLDER = ROOT / "docs/capacity"
MARK = re.compile(r"\{\{([^{}]+)\}\}")


def whole() -> str:
    """The complete page."""
    return MARK.sub(lambda found: filled(found[1].strip()), (FOLDER / "page.md").read_text())


def filled(text: str) -> str:
    """The text that replaces a placeholder of the page.

    ``table SWEEP FIGURE[*FACTOR][:DIGITS][=HEAD] ...`` is a table, ``value SWEEP X FIGURE...`` one figure,
    ``slope SWEEP FIGURE`` a slope with its intercept and residual, and ``commit SWEEP`` the measured commit.
    """
    what, name, *words = text.split()
    path = FOLDER / f"{name}.json"
    if not path.exists():
        return "not measured"
    told: dict[str, Any] = json.loads(path.read_text())
    if what == "table":
        return table(told, words)
    if what == "value":
        row = next((row for row in told["rows"] if row["x"] == float(words[0])), None)
        return shown(row["figures"], words[1]) if row else "not measured"
    if what == "slope":
        key, factor, digits = read(words[0])
        line = told["slopes"][key]
        rise, start, off = (
            f"{line[part] * factor:.{digits}f}" for part in ("slope", "intercept", "residual")
        )
        return f"{rise} each, from {start}, within {off}"
    if what == "commit":
        return str(told["commit"])
    raise ValueError(f"unknown placeholder {what!r}; use table, value, slope or commit")


def read(word: str) -> tuple[str, float, int]:
    """A figure's name, its factor and its number of decimal digits."""
    word, _, _ = word.partition("=")
    word, _, digits = word.partition(":")
    key, _, factor = word.partition("*")
    return key, float(factor or 1), int(digits or 0)


def shown(figures: dict[str, dict[str, float]], word: str) -> str:
    """A figure's median, with its minimum and maximum if these differ."""
    key, factor, digits = read(word)
    if key not in figures:
        return "not measured"
    middle, least, most = (
        f"{figures[key][part] * factor:.{digits}f}" for part in ("median", "least", "most")
    )
    return middle if least == most else f"{middle} ({least} to {most})"


def head(word: str) -> str:
    """A column's head, which is the text after ``=`` or the figure's name."""
    word, _, label = word.partition("=")
    return label.replace("_", " ") or read(word)[0]


def table(told: dict[str, Any], words: list[str]) -> str:
    """A table with one row for each value of the sweep's quantity."""
    heads = [told["by"], *map(head, words)]
    lines = ["| " + " | ".join(heads) + " |", "| " + " | ".join("---" for _ in heads) + " |"]
    for row in told["rows"]:
        cells = [f"{row['x']:g}", *(shown(row["figures"], word) for word in words)]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)
