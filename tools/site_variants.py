"""Make variants of the operators' deployments for benchmarks, by changing values in their site files.

    python tools/site_variants.py KIT [--to deploy/sites]

KIT is the folder of the operators' kit. Each variant gets a folder with its site file and copies of the files
next to the original site file. The folder is ignored by git, so that no file of a kit enters the repository.
A change names a table, its index if several tables have this name, and the keys that it sets. A change whose
key or table is missing in the site file is an error, because a variant without changes tests nothing new.
Exit codes: 0 success, 2 usage error.
"""

from __future__ import annotations

import argparse
import re
import shutil
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path

# Files that are copied if they are next to the original site file.
COPIED_FILES = ("wire.json", "real.json", "design.json", "unlock.txt")


@dataclass(frozen=True)
class Change:
    """New values of one table; ``index`` counts the tables of this name, from 0."""

    table: str
    values: dict[str, str]  # by key, in TOML syntax
    index: int = 0


# By name of the variant: the path of the original site file in the kit, and the changes.
VARIANTS: dict[str, tuple[str, tuple[Change, ...]]] = {
    # Writes with an idempotency key that has a short window; short deadlines, few attempts, high prices.
    "near-keyed": (
        "sites/tt-kits.toml",
        (
            Change("", {"name": '"near-keyed"'}),
            Change(
                "class", {"name": '"strip"', "share": "[3.0, 3.6]", "deadline_ms": "3000", "aim_ms": "450"}
            ),
            Change(
                "class", {"name": '"leaf"', "share": "[4.6, 5.2]", "deadline_ms": "1500", "worth": "2"}, 1
            ),
            Change(
                "class",
                {
                    "name": '"stamp"',
                    "share": "[0.6, 0.9]",
                    "deadline_ms": "2000",
                    "effect": '"keyed"',
                    "group": '"all"',
                    "window_ms": "700",
                },
                2,
            ),
            Change("allow", {"max_attempts": "3", "second_copies": "false", "retry_after": "false"}),
            Change("rules", {"drain_grace_ms": "300"}),
            Change("prices", {"probe": "0.05", "cross_zone": "0.03", "waste": "0.1"}),
            Change("tier.conn", {"idle_s": "8", "streams": "8"}),
        ),
    ),
    # Two classes must not run twice, and one of them has most of the value; no cancellation and no probes.
    "far-once": (
        "more/mass/other/branch-caches.toml",
        (
            Change("", {"name": '"far-once"'}),
            Change("class", {"name": '"reel"', "share": "[5.5, 6.5]", "worth": "1", "deadline_ms": "9000"}),
            Change(
                "class", {"name": '"plate"', "share": "[2.2, 2.8]", "aim_ms": "400", "late_worth": "0.4"}, 1
            ),
            Change(
                "class", {"name": '"ledger"', "share": "[0.7, 0.9]", "worth": "6", "deadline_ms": "2500"}, 2
            ),
            Change("allow", {"probes": "false", "cancel": "false", "max_attempts": "4"}),
            Change("clients", {"retries": "[0, 1]", "backoff_ms": "[20, 120]"}),
            Change("discovery", {"notice_s": "[0.4, 2]", "add_s": "[0.2, 1]"}),
            Change("tier.conn", {"idle_s": "12", "connect_timeout_ms": "300"}),
            Change("prices", {"waste": "0.05", "origin": "0.06"}),
        ),
    ),
}


def apply_changes(text: str, changes: tuple[Change, ...]) -> str:
    """Return a site file with changed values.

    Raises:
        ValueError: The file lacks a table, or a key of a table other than a class.
    """
    lines = text.splitlines()
    for change in changes:
        table_line = -1 if not change.table else None
        pattern, matching_tables = re.compile(rf"\[\[?{re.escape(change.table)}\]\]?"), 0
        for n, line in enumerate(lines):
            if table_line is None and pattern.fullmatch(line.strip()):
                if matching_tables == change.index:
                    table_line = n
                matching_tables += 1
        if table_line is None:
            raise ValueError(f"no table {change.table!r} with index {change.index}")
        table_end = next(
            (n for n in range(table_line + 1, len(lines)) if lines[n].startswith("[")), len(lines)
        )
        for key, value in change.values.items():
            key_line = next(
                (n for n in range(table_line + 1, table_end) if re.match(rf"{re.escape(key)}\s*=", lines[n])),
                None,
            )
            if key_line is not None:
                lines[key_line] = f"{key} = {value}"
            elif change.table == "class":
                lines.insert(table_line + 1, f"{key} = {value}")
                table_end += 1
            else:
                raise ValueError(f"{change.table or 'the top level'} has no key {key!r}")
    result = "\n".join(lines) + "\n"
    tomllib.loads(result)
    return result


def main() -> int:
    """Write the variants and print the paths of their site files."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("kit", type=Path, help="folder of the operators' kit")
    parser.add_argument("--to", type=Path, default=Path(__file__).parent.parent / "deploy/sites")
    arguments = parser.parse_args()
    for name, (site, changes) in VARIANTS.items():
        source = arguments.kit / site
        try:
            text = apply_changes(source.read_text(), changes)
        except (OSError, ValueError) as error:
            print(f"{source}: {error}", file=sys.stderr)
            return 2
        folder = arguments.to / name
        folder.mkdir(parents=True, exist_ok=True)
        for file_name in COPIED_FILES:
            if (source.parent / file_name).exists():
                shutil.copyfile(source.parent / file_name, folder / file_name)
        (folder / f"{name}.toml").write_text(text)
        print(folder / f"{name}.toml")
    return 0


if __name__ == "__main__":
    sys.exit(main())
