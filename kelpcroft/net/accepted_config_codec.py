"""Codec of the file in which a process leaves the configuration that it accepted last to its successor.

The functions perform no I/O; ``kelpcroft.net.predecessor_files`` reads and writes the file.

    {"v": 1, "name": "n3", "pid": 4711, "config": {...}, "required": {...}}

``config`` is the configuration, and ``required`` the one whose keys a later file must have, without the
contents of ``known``, which are not checked.  Unknown fields are ignored.  A later version of the format
declares with ``"least": 1`` that readers of version 1 can still use it.
"""

from __future__ import annotations

from typing import Final

import orjson

from kelpcroft.core.inputs import AcceptedConfig
from kelpcroft.store.handover import UnusableFileError, check_name, check_version, parse_object

VERSION: Final = 1  # version of the file's format
MAX_FILE_BYTES: Final = 4 << 20  # a larger file is neither written nor read


class ConfigTooLargeError(ValueError):
    """The configuration is over MAX_FILE_BYTES."""


def encode_accepted_config(name: str, pid: int, accepted: AcceptedConfig) -> bytes:
    """Encode the configuration that the process ``pid`` of the router ``name`` accepted last.

    Raises:
        ConfigTooLargeError: The encoded configuration is too large.
    """
    record = {"v": VERSION, "name": name, "pid": pid, "config": accepted.config}
    data = orjson.dumps({**record, "required": {**accepted.required, "known": None}}) + b"\n"
    if len(data) > MAX_FILE_BYTES:
        raise ConfigTooLargeError(f"{len(data)} bytes are over {MAX_FILE_BYTES}")
    return data


def decode_accepted_config(data: bytes, name: str) -> AcceptedConfig:
    """Decode the file that a process of the router ``name`` left.

    Raises:
        UnusableFileError: The file is too large, is not JSON, has an unknown version, is another router's, or
            has a field of the wrong type.
    """
    raw = parse_object(data, MAX_FILE_BYTES)
    check_version(raw, VERSION)
    check_name(raw, name)
    config, required = raw.get("config"), raw.get("required")
    if not isinstance(config, dict):
        raise UnusableFileError("config: is not an object")
    if not isinstance(required, dict):
        raise UnusableFileError("required: is not an object")
    return AcceptedConfig(config, required)
