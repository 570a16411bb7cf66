"""What a control replica hears from upstream: answers of the feed with their events as they came.  No
socket."""

from __future__ import annotations

from typing import Any

import orjson

from kelpcroft.control_log.replica import UpstreamResponse
from kelpcroft.net.feed_codec import FeedError, FeedResponseCodec


class UpstreamCodec(FeedResponseCodec[UpstreamResponse]):
    """Answers of a list service or of another replica."""

    def parse_response(self, raw: Any) -> UpstreamResponse:
        """One answer; FeedError where it is none."""
        well = isinstance(raw, dict) and type(raw.get("n")) is int and isinstance(raw.get("events"), list)
        if not well:
            raise FeedError("not an answer with n and events")
        mark, as_of = raw.get("mark"), raw.get("as_of")
        return UpstreamResponse(
            raw["n"],
            tuple(raw["events"]),
            mark if isinstance(mark, str) else "",
            as_of if type(as_of) is int else None,
        )

    def parse_piece(self, found: list[bytes | None]) -> UpstreamResponse:
        """Events of a long answer; one that cannot be read is left out."""
        events = []
        for text in found:
            try:
                events.append(orjson.loads(text or b"null"))
            except orjson.JSONDecodeError:
                continue
        return UpstreamResponse(0, tuple(events), has_more=True)
