"""Digests that identify a process: those of its program, settings and operator's file.

All functions compute from their arguments without I/O, except ``program_digest``, which reads the program's
files.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from pathlib import Path

DIGEST_BYTES = 8  # length of a digest
NAME_LENGTH_BYTES = 4  # length of the field that precedes a file's name and holds its length in characters
SIZE_BYTES = 8  # length of the field that precedes a file's content and holds its size in bytes
PROGRAM_SUFFIXES = (".py", ".so")  # files that belong to the program
ROUTER_KEYS = ("az", "self_index")  # settings keys that differ between the routers of a fleet
MAX_PROGRAM_FILES = 2_000  # files that are read; a folder with more is not the program's


def hex_digest(data: bytes) -> str:
    """BLAKE2b digest of 8 bytes, as 16 hexadecimal digits."""
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def json_digest(value: Any) -> str:
    """Digest of a JSON value, independent of the order of keys."""
    return hex_digest(orjson.dumps(value, option=orjson.OPT_SORT_KEYS))


def settings_digest(settings: Any) -> str:
    """Digest of settings, independent of the order of their keys.

    The keys that differ between the routers of a fleet are left out, so that all of its routers with
    otherwise equal settings report the same digest, which a rollout plan can name.
    """
    if isinstance(settings, dict):
        settings = {key: value for key, value in settings.items() if key not in ROUTER_KEYS}
    return json_digest(settings)


def files_digest(files: Iterable[tuple[str, bytes]]) -> str:
    """Digest of a program's files by their names and contents, independent of their order."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for name, data in sorted(files):
        digest.update(len(name).to_bytes(NAME_LENGTH_BYTES, "big") + name.encode())
        digest.update(len(data).to_bytes(SIZE_BYTES, "big") + data)
    return digest.hexdigest()


def program_digest(package: Path) -> str:
    """Digest of a package's files on disk, compiled or not; "" if they cannot be read."""
    try:
        paths = [path for path in package.rglob("*") if path.suffix in PROGRAM_SUFFIXES]
        return files_digest(
            (str(path.relative_to(package.parent)), path.read_bytes()) for path in paths[:MAX_PROGRAM_FILES]
        )
    except OSError:
        return ""
