"""Generator of docs/CAPACITY.md: text from docs/capacity/page.md, figures from docs/capacity/*.json."""

from __future__ import annotations

import json
import re
from typing import Any

from testbed.stand_ins import ROOT

PAGE = ROOT / "docs/CAPACITY.md"
FOLDER = ROOT / "docs/capacity"
PLACEHOLDER = re.compile(r"\{\{([^{}]+)\}\}")


def generate() -> str:
    """The complete page."""
    return PLACEHOLDER.sub(lambda match: placeholder_text(match[1].strip()), (FOLDER / "page.md").read_text())


def placeholder_text(text: str) -> str:
    """The text that replaces a placeholder of the page.

    ``table SWEEP FIGURE[*FACTOR][:DIGITS][=HEAD] ...`` is a table, ``value SWEEP X FIGURE...`` one figure,
    ``slope SWEEP FIGURE`` a slope with its intercept and residual, and ``commit SWEEP`` the measured commit.
    """
    kind, name, *arguments = text.split()
    path = FOLDER / f"{name}.json"
    if not path.exists():
        return "not measured"
    sweep: dict[str, Any] = json.loads(path.read_text())
    if kind == "table":
        return table(sweep, arguments)
    if kind == "value":
        row = next((row for row in sweep["rows"] if row["x"] == float(arguments[0])), None)
        return figure_text(row["figures"], arguments[1]) if row else "not measured"
    if kind == "slope":
        key, factor, digits = parse_figure_spec(arguments[0])
        line = sweep["slopes"][key]
        gradient, intercept, residual = (
            f"{line[part] * factor:.{digits}f}" for part in ("slope", "intercept", "residual")
        )
        return f"{gradient} each, from {intercept}, within {residual}"
    if kind == "commit":
        return str(sweep["commit"])
    raise ValueError(f"unknown placeholder {kind!r}; use table, value, slope or commit")


def parse_figure_spec(spec: str) -> tuple[str, float, int]:
    """A figure's name, its factor and its number of decimal digits."""
    spec, _, _ = spec.partition("=")
    spec, _, digits = spec.partition(":")
    key, _, factor = spec.partition("*")
    return key, float(factor or 1), int(digits or 0)


def figure_text(figures: dict[str, dict[str, float]], spec: str) -> str:
    """A figure's median, with its minimum and maximum if these differ."""
    key, factor, digits = parse_figure_spec(spec)
    if key not in figures:
        return "not measured"
    median, minimum, maximum = (
        f"{figures[key][part] * factor:.{digits}f}" for part in ("median", "least", "most")
    )
    return median if minimum == maximum else f"{median} ({minimum} to {maximum})"


def column_head(spec: str) -> str:
    """A column's head, which is the text after ``=`` or the figure's name."""
    spec, _, label = spec.partition("=")
    return label.replace("_", " ") or parse_figure_spec(spec)[0]


def table(sweep: dict[str, Any], specs: list[str]) -> str:
    """A table with one row for each value of the sweep's quantity."""
    heads = [sweep["by"], *map(column_head, specs)]
    lines = ["| " + " | ".join(heads) + " |", "| " + " | ".join("---" for _ in heads) + " |"]
    for row in sweep["rows"]:
        cells = [f"{row['x']:g}", *(figure_text(row["figures"], spec) for spec in specs)]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)
