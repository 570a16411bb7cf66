"""What a control replica receives from upstream: answers of the feed, with their events as they came.

No socket here.  Events are handed on to watchers whatever they hold, so they are not looked into.
"""

from __future__ import annotations

from typing import Any

import orjson

from kelpcroft.control_log.messages import UpstreamResponse
from kelpcroft.net.feed_codec import FeedError, FeedResponseCodec


class UpstreamCodec(FeedResponseCodec[UpstreamResponse]):
    """Answers of a list service or of another replica."""

    def parse_response(self, raw: Any) -> UpstreamResponse:
        """One answer.

        Raises:
            FeedError: it has no number or no list of events.
        """
        is_response = (
            isinstance(raw, dict) and type(raw.get("n")) is int and isinstance(raw.get("events"), list)
        )
        if not is_response:
            raise FeedError("not an answer with n and events")
        fingerprint = raw.get("mark")
        as_of_ms = raw.get("as_of")
        return UpstreamResponse(
            raw["n"],
            tuple(raw["events"]),
            fingerprint if isinstance(fingerprint, str) else "",
            as_of_ms if type(as_of_ms) is int else None,
        )

    def parse_piece(self, encoded_events: list[bytes | None]) -> UpstreamResponse:
        """Events of a long answer; one that cannot be read is left out."""
        events = []
        for encoded in encoded_events:
            try:
                events.append(orjson.loads(encoded or b"null"))
            except orjson.JSONDecodeError:
                continue
        return UpstreamResponse(0, tuple(events), has_more=True)
