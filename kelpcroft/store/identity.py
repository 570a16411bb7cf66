"""What a process is: digests of its program, settings and operator's file.  Bytes in, names out; the reading
of the program's own files is at the end, for the edge."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson

SUFFIXES = (".py", ".so")
PLACE = ("az", "self_index")  # keys of the settings that are one router's own
FILES_MOST = 2_000  # of a program; more are a wrong folder


def hex_digest(data: bytes) -> str:
    """16 hex digits."""
    return blake2b(data, digest_size=8).hexdigest()


def settings_digest(settings: Any) -> str:
    """Of settings, whatever the order of their keys.  What says where a router stands among others is left
    out: all routers of a fleet that have the same settings tell the same, and a change can name it."""
    if isinstance(settings, dict):
        settings = {key: value for key, value in settings.items() if key not in PLACE}
    return hex_digest(orjson.dumps(settings, option=orjson.OPT_SORT_KEYS))


def files_digest(files: Iterable[tuple[str, bytes]]) -> str:
    """Of a program's files, by their names, in any order."""
    whole = blake2b(digest_size=8)
    for name, data in sorted(files):
        whole.update(len(name).to_bytes(4, "big") + name.encode() + len(data).to_bytes(8, "big") + data)
    return whole.hexdigest()


def program_digest(package: Path) -> str:
    """Of the package as it stands, compiled or not.  Empty where they cannot be
    read."""
    try:
        found = [
            p for name in ("kelpcroft",) for p in (package.parent / name).rglob("*") if p.suffix in SUFFIXES
        ]
        return files_digest((str(p.relative_to(package.parent)), p.read_bytes()) for p in found[:FILES_MOST])
    except OSError:
        return ""
