"""Responses of the feed that are too long to be parsed in one step.

The tests check that they are split into events, that memory stays bounded, and that routers apply them.
"""

from __future__ import annotations

import json
import time
import unittest
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.core.inputs import EndpointUpdate, Purge, WatchResponse
from kelpcroft.net.event_stream import MAX_ENVELOPE_BYTES, MAX_EVENT_BYTES, EventSplitter
from kelpcroft.net.feed_codec import (
    MAX_RESPONSE_BYTES,
    MAX_UNSPLIT_RESPONSE_BYTES,
    FeedCodec,
    FeedError,
    parse_watch_response,
)
from testbed.router_process import RouterProcess
from testbed.stand_ins import StandInServers

PURGED_MS = 1_764_576_000_000
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=8,
)


def purge(number: int, at_ms: int = PURGED_MS, extra: dict[str, Any] | None = None) -> dict[str, Any]:
    return {"n": number, "purge": {"key": f"{number:016x}", "at": at_ms}, **(extra or {})}


def response_body(events: list[Any], last: int, extra: dict[str, Any] | None = None) -> bytes:
    return json.dumps({**(extra or {}), "n": last, "events": events}).encode()


def http_response(body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (size, body)


def chunks(data: bytes, chunk_size: int) -> Iterator[bytes]:
    for offset in range(0, len(data), chunk_size):
        yield data[offset : offset + chunk_size]


def decode(codec: FeedCodec, data: bytes, chunk_size: int = 1 << 16) -> list[WatchResponse]:
    return [
        response for chunk in chunks(data, chunk_size) for response in codec.receive_data(memoryview(chunk))
    ]


class Splitting(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(st.dictionaries(st.text(max_size=4), JSON_VALUES, max_size=3), max_size=6),
        st.dictionaries(
            st.text(max_size=4).filter(lambda k: k not in ("events", "n")), JSON_VALUES, max_size=3
        ),
        st.booleans(),
        st.integers(1, 40),
        st.sampled_from([None, 2]),
        st.booleans(),
    )
    def test_any_response_is_split_into_its_events(
        self,
        events: list[Any],
        extra: dict[str, Any],
        extra_first: bool,
        chunk_size: int,
        indent: int | None,
        ascii_only: bool,
    ) -> None:
        raw = {**extra, "n": 7, "events": events} if extra_first else {"events": events, "n": 7, **extra}
        splitter = EventSplitter()
        found = []
        for chunk in chunks(json.dumps(raw, indent=indent, ensure_ascii=ascii_only).encode(), chunk_size):
            found += splitter.receive_data(chunk)
        assert [json.loads(event or b"") for event in found] == events
        assert json.loads(splitter.end()) == {**raw, "events": []}

    def test_a_long_event_is_skipped_and_a_long_envelope_is_an_error(self) -> None:
        long_event = {"n": 2, "filler": [["x" * 1_000]] * (MAX_EVENT_BYTES // 1_000 + 10)}
        splitter, found = EventSplitter(), list[bytes | None]()
        max_pending = 0
        for chunk in chunks(response_body([purge(1), long_event, purge(3)], 3), 1 << 16):
            found += splitter.receive_data(chunk)
            max_pending = max(max_pending, len(splitter.pending))
        assert [event and json.loads(event)["n"] for event in found] == [1, None, 3]
        assert max_pending < MAX_EVENT_BYTES + (1 << 17)
        for text in (
            b'{"n":1,"x":"' + b"y" * MAX_ENVELOPE_BYTES + b'"',
            b'{"n":1}}',
            b'{"events":[{"n":"' + b"y" * 2 * MAX_EVENT_BYTES,
            b'{"n":1,' + b" " * 2 * MAX_ENVELOPE_BYTES,
        ):
            with self.subTest(text=text[:20]):
                splitter = EventSplitter()
                for chunk in chunks(text, 1 << 16):
                    if not splitter.error:
                        splitter.receive_data(chunk)
                assert splitter.error
        for text in (b'{"events":[{"n":1}', b'{"events":[{"n":"', b'{"n":1'):
            with self.subTest(text=text):
                splitter = EventSplitter()
                splitter.receive_data(text)
                splitter.end()
                assert splitter.error


class Codec(unittest.TestCase):
    def test_a_long_response_comes_in_chunks_and_memory_stays_small(self) -> None:
        codec = FeedCodec()
        responses = decode(
            codec, http_response(response_body([purge(n) for n in range(2, 100_002)], 100_001))
        )
        assert len(responses) > 10
        assert {response.has_more for response in responses[:-1]} == {True}
        assert (responses[-1].has_more, responses[-1].last_event, responses[-1].events) == (False, 100001, ())
        events = [event for response in responses for event in response.events]
        assert [e.object_number for e in events if isinstance(e, Purge)] == list(range(2, 100002))
        assert [response.last_event for response in responses] == sorted(
            response.last_event for response in responses
        )
        assert len(codec.body) < MAX_UNSPLIT_RESPONSE_BYTES + 1

    def test_unusable_events_are_reported_and_the_others_are_kept(self) -> None:
        filler = [purge(n) for n in range(2, 5_000)]
        unusable = [{"n": 5_000, "purge": {}}, [1], {"n": 5_001, "members": {"endpoints": [{}]}}]
        responses = decode(
            FeedCodec(), http_response(response_body([*filler, *unusable, purge(5_002)], 5_002))
        )
        unsplit = parse_watch_response({"n": 5_002, "events": [*filler, *unusable, purge(5_002)]})
        assert [e for response in responses for e in response.events] == list(unsplit.events)
        assert [reason for response in responses for reason in response.unusable_events] == list(
            unsplit.unusable_events
        )
        assert len(unsplit.unusable_events) == 2
        broken = http_response(response_body(filler, 9).replace(b'"at": 1764576000000', b'"at": ~', 1))
        assert sum(len(response.unusable_events) for response in decode(FeedCodec(), broken)) == 1

    def test_events_before_an_error_are_kept(self) -> None:
        codec, responses = FeedCodec(), list[WatchResponse]()
        data = http_response(response_body([purge(n) for n in range(2, 9_000)], 9_000)[:-2] + b"}}}]}")
        with pytest.raises(FeedError):
            for chunk in chunks(data, 1 << 16):
                responses += codec.receive_data(memoryview(chunk))
        responses += codec.completed
        assert responses[-1].last_event == 8999
        with pytest.raises(FeedError):
            long_event = b'{"n":1,"x":"%s"},' % (b"y" * 9_000)
            decode(
                FeedCodec(), http_response(b'{"n":1,"events":[' + long_event * (MAX_RESPONSE_BYTES // 9_000))
            )

    def test_a_long_endpoint_list_is_a_full_list(self) -> None:
        endpoints = [
            {"name": f"s{n}", "address": f"10.0.0.1:{n + 1}", "zone": "a", "type": "box", "status": "active"}
            for n in range(5_000)
        ]
        event = {"n": 9, "members": {"snapshot": True, "endpoints": endpoints}}
        responses = decode(FeedCodec(), http_response(response_body([event], 9)))
        updates = [e for response in responses for e in response.events if isinstance(e, EndpointUpdate)]
        assert [(len(e.endpoints), e.is_snapshot, e.event_number) for e in updates] == [(5000, True, 9)]


class RouterProcesses(unittest.TestCase):
    """Router processes, and a feed with very long responses."""

    def wait(self, condition: Any, description: str) -> None:
        deadline = time.monotonic() + 20
        while not condition():
            assert time.monotonic() < deadline, description
            time.sleep(0.02)

    def last_requested_events(self, stand_ins: StandInServers) -> list[int]:
        return [after for _, after, _ in stand_ins.feed_requests[-3:]]

    def test_a_router_100_000_events_behind_catches_up(self) -> None:
        """Guards against a router that misses a drain behind hours of purges, or catches up too slowly."""
        now = time.time_ns() // 10**6
        with StandInServers() as stand_ins:
            stand_ins.publish(purge={"key": "1" * 16, "at": now})
            with RouterProcess(stand_ins, release=True) as router:
                self.wait(
                    lambda: 2 in self.last_requested_events(stand_ins), "the router sends a watch request"
                )
                with stand_ins.lock:  # 5.1 purges a second for 5.4 hours
                    stand_ins.feed_events += [purge(n, now - (100_002 - n) * 196) for n in range(3, 100_002)]
                    stand_ins.feed_events += [
                        {
                            "n": 100_002,
                            "members": {
                                "snapshot": False,
                                "endpoints": [
                                    {
                                        **stand_ins.endpoint_snapshot()["members"]["endpoints"][0],
                                        "status": "leaving",
                                    }
                                ],
                            },
                        }
                    ]
                    requests_before = len(stand_ins.feed_requests)
                self.wait(
                    lambda: 100_002 in self.last_requested_events(stand_ins), "the router has caught up"
                )
                assert len(stand_ins.feed_requests) - requests_before < 8, (
                    "watch requests until it has caught up"
                )
                client = router.client()
                served = {client.request("page", object=f"{n:016x}").body for n in range(40)}
                assert served == {b"by cache2"}, "the drained server gets no request"
                events = [line["event"] for line in router.log_events()]
                assert (events.count("feed.behind"), events.count("feed.lost")) == (1, 0)
                catch_up = next(line for line in router.log_events() if line["event"] == "feed.pieces")
                assert (catch_up["events"], catch_up["to"]) == (100000, 100002)
                assert catch_up["past"] > 99000, "purges that are too old to matter"

    def test_a_feed_whose_responses_stay_too_long_is_requested_rarely(self) -> None:
        """Guards against constant retries when each response is megabytes long and has no usable event."""
        with StandInServers() as stand_ins, RouterProcess(stand_ins, release=True) as router:
            self.wait(lambda: len(stand_ins.feed_requests) >= 1, "the router sends a watch request")
            with stand_ins.lock:
                stand_ins.feed_events.append({"n": 1, "filler": "x" * (3 * MAX_EVENT_BYTES)})
            self.wait(
                lambda: any(line["event"] == "feed.lost" for line in router.log_events()),
                "the response is rejected",
            )
            client = router.client()
            requests_before, lines_before = len(stand_ins.feed_requests), len(router.log_events())
            for part in range(60):  # it continues to serve with the endpoint list that it has
                assert client.request("page", part=part).kind == "served"
                time.sleep(0.05)
            assert len(stand_ins.feed_requests) - requests_before <= 1, "watch requests in 3 s"
            assert sum(line["event"] == "feed.lost" for line in router.log_events()[lines_before:]) <= 1


if __name__ == "__main__":
    unittest.main()
