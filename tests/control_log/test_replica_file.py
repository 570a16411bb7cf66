"""A control replica's file, the command that starts it, and the wire protocol of its watchers."""

from __future__ import annotations

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcroft.cli import main
from kelpcroft.control_log.follower import LogPosition
from kelpcroft.net.watch_codec import EventsRequest, StateRequest, WatchRequestError, WatchServerCodec
from kelpcroft.operator_file.replica import ControlReplicaFile, load
from testbed.stand_ins import ROOT

EXAMPLE = (ROOT / "examples/control-replica.kdl").read_text()
CONFIG = str(ROOT / "examples/config.json")
MS = 10**6


class File(unittest.TestCase):
    def test_the_example(self) -> None:
        file, diagnostics = load(EXAMPLE.encode())
        assert diagnostics == []
        assert file == ControlReplicaFile(("127.0.0.1", 7100), (("127.0.0.1", 9400),))

    def test_each_error_has_its_code_and_line(self) -> None:
        for old, new, expected in (
            ("control-replica version=1\n", "", ("no-version", 1)),
            ("version=1", "version=2", ("unknown-version", 1)),
            ("version=1", "", ("unknown-version", 1)),
            ('"127.0.0.1:7100"', '"7100"', ("bad-address", 2)),
            ('listen "127.0.0.1:7100"', "", ("missing-value", 1)),
            ('list-service "127.0.0.1:9400"', "", ("missing-value", 1)),
            ('"127.0.0.1:9400"', "", ("missing-value", 3)),
            ('"127.0.0.1:9400"', '"a:1" "a:1"', ("duplicate-name", 3)),
            ('"3s"', '"500ms"', ("bad-duration", 4)),
            ('"400ms"', '"4s"', ("bad-duration", 5)),
            ('"400ms"', "400", ("wrong-type", 5)),
            ("watches 1000", "watches 0", ("bad-count", 6)),
            ("watches", "watch", ("unknown-node", 6)),
            ("lease", 'batch "1s"\nlease', ("duplicate-node", 6)),
        ):
            with self.subTest(new=new, old=old):
                _, diagnostics = load(EXAMPLE.replace(old, new, 1).encode())
                assert expected in [(diagnostic.code, diagnostic.position.line) for diagnostic in diagnostics]

    def test_a_peer_is_a_sufficient_upstream(self) -> None:
        file, diagnostics = load(EXAMPLE.replace("list-service", "peer").encode())
        assert (diagnostics, file.peers) == ([], (("127.0.0.1", 9400),))

    def test_the_command(self) -> None:
        run = CliRunner().invoke
        arguments = [
            "control-replica",
            str(ROOT / "examples/control-replica.kdl"),
            "--config",
            CONFIG,
            "--dry-run",
        ]
        result = run(main, arguments)
        assert result.exit_code == 0, result.output
        assert (
            "1000 watchers at 127.0.0.1:7100 from 127.0.0.1:9400; a purge matters for 66 s" in result.output
        )
        with TemporaryDirectory() as folder:
            bad, missing = Path(folder) / "bad.kdl", Path(folder) / "none.kdl"
            bad.write_text("control-replica version=1\n")
            assert run(main, ["control-replica", str(bad), "--config", CONFIG]).exit_code == 1
            assert run(main, ["control-replica", str(missing), "--config", CONFIG]).exit_code == 2


class Wire(unittest.TestCase):
    def test_requests_are_parsed(self) -> None:
        codec = WatchServerCodec()
        data = (
            b"GET /v1/events?SUB=41&wait=1000 HTTP/1.1\r\nHost: a\r\n\r\n"
            b"GET /v1/events?SUB=41&wait=10&mark=0a0b HTTP/1.1\r\n\r\nGET /control/state HTTP/1.1\r\n\r\n"
        )
        requests = [
            request for n in range(0, len(data), 7) for request in codec.receive_data(data[n : n + 7])
        ]
        assert requests == [
            EventsRequest(LogPosition(41), False, 1000 * MS),
            EventsRequest(LogPosition(41, "0a0b"), True, 10 * MS),
            StateRequest(),
        ]

    def test_other_requests_are_rejected(self) -> None:
        for data in (
            b"GET /v1/events HTTP/1.1\r\n\r\n",
            b"GET /v1/events?SUB=x&wait=1 HTTP/1.1\r\n\r\n",
            b"GET /v1/events?SUB=1&wait=1&mark=UPPER HTTP/1.1\r\n\r\n",
            b"GET /v1/events?SUB=" + b"1" * 30 + b"&wait=1 HTTP/1.1\r\n\r\n",
            b"POST /v1/events?SUB=1&wait=1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx",
            b"GET /" + b"x" * 9_000,
            b"\x00garbage\r\n\r\n",
            b"GET /control/state HTTP/1.1\r\n\r\n" * 9,
        ):
            with self.subTest(data=data[:60]), pytest.raises(WatchRequestError):
                WatchServerCodec().receive_data(data)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=300), st.integers(1, 50))
    def test_any_bytes_are_parsed_or_rejected(self, data: bytes, size: int) -> None:
        codec = WatchServerCodec()
        try:
            for n in range(0, len(data), size):
                codec.receive_data(data[n : n + size])
        except WatchRequestError:
            pass


if __name__ == "__main__":
    unittest.main()
