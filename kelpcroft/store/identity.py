"""What a process is: digests of its program, settings and operator's file.

Bytes in, names out; the reading of the program's own files is at the end, for the edge.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson

DIGEST_BYTES = 8
NAME_LENGTH_BYTES = 4
SIZE_BYTES = 8
PROGRAM_SUFFIXES = (".py", ".so")
ROUTER_KEYS = ("az", "self_index")  # keys of the settings that are one router's own
MAX_PROGRAM_FILES = 2_000  # more are a wrong folder


def hex_digest(data: bytes) -> str:
    """16 hex digits of BLAKE2b."""
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def settings_digest(settings: Any) -> str:
    """Of settings, whatever the order of their keys.

    What says where a router stands among others is left out: all routers of a fleet that have the same
    settings tell the same, and a change can name it.
    """
    if isinstance(settings, dict):
        settings = {key: value for key, value in settings.items() if key not in ROUTER_KEYS}
    return hex_digest(orjson.dumps(settings, option=orjson.OPT_SORT_KEYS))


def files_digest(files: Iterable[tuple[str, bytes]]) -> str:
    """Of a program's files, by their names and contents, in any order."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for name, data in sorted(files):
        digest.update(len(name).to_bytes(NAME_LENGTH_BYTES, "big") + name.encode())
        digest.update(len(data).to_bytes(SIZE_BYTES, "big") + data)
    return digest.hexdigest()


def program_digest(package: Path) -> str:
    """Of a package as it stands, compiled or not.  Empty where it cannot be read."""
    try:
        found = [path for path in package.rglob("*") if path.suffix in PROGRAM_SUFFIXES]
        return files_digest(
            (str(path.relative_to(package.parent)), path.read_bytes()) for path in found[:MAX_PROGRAM_FILES]
        )
    except OSError:
        return ""
