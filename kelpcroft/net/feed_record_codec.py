"""Codec of the feed record, in which a process leaves what it knows from the feed for its successor.

The record has the form of a watch response, with the digest of the configuration's ``known`` to which its
numbers refer:

    {"v": 1, "name": "n3", "pid": 4711, "known": "d1f0...", "n": 57, "events": [
      {"members": {"snapshot": false, "endpoints": [{"name": "s-00c41f7a", "status": "leaving", ...}]}},
      {"purge": {"key": "7f3a9c21e0b4d655", "group": 17, "at": 1764576000123}}]}

Unknown fields are ignored.  A later version of the format declares with ``"least": 1`` that readers of
version 1 can still use it.  No file here: ``kelpcroft.net.predecessor_files`` reads and writes it.
"""

from __future__ import annotations

from typing import Any, Final

import orjson

from kelpcroft.core.inputs import EndpointRecord, EndpointUpdate, FeedRecord, Purge
from kelpcroft.net.feed_codec import ENDPOINT_STATES, NS_PER_MS, FeedError, parse_watch_response
from kelpcroft.store.handover import UnusableFileError, check_name, check_version, parse_object

VERSION: Final = 1  # version of the file's format
MAX_RECORD_BYTES: Final = 4 << 20  # a larger record is neither written nor read
STATUS_BY_STATE: Final = {state: status for status, state in ENDPOINT_STATES.items()}


class RecordTooLargeError(ValueError):
    """The record is over MAX_RECORD_BYTES."""


def encode_feed_record(name: str, pid: int, record: FeedRecord) -> bytes:
    """Encodes the record of the process ``pid`` of the router ``name``.

    Raises:
        RecordTooLargeError: the encoded record is too large.
    """
    events: list[dict[str, Any]] = [{"purge": _encode_purge(purge)} for purge in record.purges]
    if record.endpoints:
        members = {"snapshot": False, "endpoints": [_encode_endpoint(e) for e in record.endpoints]}
        events.insert(0, {"members": members})
    data = orjson.dumps(
        {
            "v": VERSION,
            "name": name,
            "pid": pid,
            "known": record.known_digest,
            "n": record.last_event,
            "events": events,
        }
    )
    if len(data) > MAX_RECORD_BYTES:
        raise RecordTooLargeError(f"{len(data)} bytes are over {MAX_RECORD_BYTES}")
    return data + b"\n"


def decode_feed_record(data: bytes, name: str) -> FeedRecord:
    """Decodes the record that a process of the router ``name`` left.

    Raises:
        UnusableFileError: the file is too large, is not JSON, has an unknown version, is another router's, or
            has a field or an event that cannot be used.
    """
    raw = parse_object(data, MAX_RECORD_BYTES + 1)
    check_version(raw, VERSION)
    check_name(raw, name)
    known_digest = raw.get("known")
    if not isinstance(known_digest, str):
        raise UnusableFileError("known: is not a digest")
    try:
        response = parse_watch_response(raw)
    except FeedError as error:
        raise UnusableFileError(f"{error}") from error
    if response.unusable_events:
        raise UnusableFileError(response.unusable_events[0])
    if response.last_event < 0:
        raise UnusableFileError(f"n: {response.last_event} is less than 0")
    updates = [event for event in response.events if isinstance(event, EndpointUpdate)]
    if any(update.is_snapshot for update in updates):
        raise UnusableFileError("members: is a snapshot")
    return FeedRecord(
        known_digest,
        response.last_event,
        tuple(endpoint for update in updates for endpoint in update.endpoints),
        tuple(event for event in response.events if isinstance(event, Purge)),
    )


def _encode_endpoint(endpoint: EndpointRecord) -> dict[str, Any]:
    return {
        "name": endpoint.name,
        "address": endpoint.address,
        "zone": endpoint.zone,
        "type": endpoint.kind,
        "group": endpoint.cell,
        "status": STATUS_BY_STATE[endpoint.state],
        "weight": endpoint.weight,
        "since_ms": endpoint.started_ns // NS_PER_MS,
    }


def _encode_purge(purge: Purge) -> dict[str, Any]:
    encoded: dict[str, Any] = {"group": purge.group, "at": purge.purged_at_ns // NS_PER_MS}
    if purge.object_number is not None:
        encoded["key"] = f"{purge.object_number:016x}"
    return encoded
