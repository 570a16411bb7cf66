"""Codec of a control replica's upstream: decodes the feed's responses and leaves their events unchanged.

Events are passed on to watchers whatever they contain, so the codec does not inspect them.  No socket here.
"""

from __future__ import annotations

from typing import Any

import orjson

from kelpcroft.control_log.messages import UpstreamResponse
from kelpcroft.net.feed_codec import FeedError, FeedResponseCodec


class UpstreamCodec(FeedResponseCodec[UpstreamResponse]):
    """Decodes the responses of a list service or of another replica."""

    def parse_response(self, raw: Any) -> UpstreamResponse:
        """Converts one response.

        Raises:
            FeedError: it has no number or no list of events.
        """
        is_response = (
            isinstance(raw, dict) and type(raw.get("n")) is int and isinstance(raw.get("events"), list)
        )
        if not is_response:
            raise FeedError("not a response with n and events")
        fingerprint = raw.get("mark")
        as_of_ms = raw.get("as_of")
        return UpstreamResponse(
            raw["n"],
            tuple(raw["events"]),
            fingerprint if isinstance(fingerprint, str) else "",
            as_of_ms if type(as_of_ms) is int else None,
        )

    def parse_chunk(self, encoded_events: list[bytes | None]) -> UpstreamResponse:
        """Converts events of a long response.

        An event that was too long to keep becomes None; an event that is not JSON is left out.
        """
        events = []
        for encoded_event in encoded_events:
            try:
                events.append(orjson.loads(encoded_event or b"null"))
            except orjson.JSONDecodeError:
                continue
        return UpstreamResponse(0, tuple(events), has_more=True)
