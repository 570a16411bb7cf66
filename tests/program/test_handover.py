"""Handover file of an upgrade: every reason to ignore it, and its effect on the reducer."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path

import orjson

from kelpcroft.core import effects, inputs
from kelpcroft.core.state import SECOND
from kelpcroft.net.predecessor_files import write_handover
from kelpcroft.store.handover import MAX_AGE_NS, MAX_FILE_BYTES, HandoverRecord, decode, encode, file_path
from tests.support.reducer_fixtures import NOW, effects_of_type, make_reducer


class File(unittest.TestCase):
    def test_a_written_record_is_read_back(self) -> None:
        data = encode("n3", 4711, NOW, False, NOW - SECOND)
        assert decode(data, "n3", NOW + SECOND) == (HandoverRecord(False, NOW - SECOND, NOW, 4711), "")
        assert file_path("/run/x/", "n3") == "/run/x/kelpcroft-n3.json"

    def test_decodes_an_end_and_a_readable_later_version(self) -> None:
        data = encode("n3", 4711, NOW, True, NOW, NOW - SECOND)
        record, _ = decode(data, "n3", NOW)
        assert record is not None
        assert record.ended_ns == NOW - SECOND
        good = orjson.loads(data)
        later = orjson.dumps({**good, "v": 3, "least": 1, "fields": ["not", "known"]})
        assert decode(later, "n3", NOW)[0] == record
        for bad in (
            {"v": 3},
            {"v": 3, "least": 2},
            {"v": 3, "least": True},
            {"v": True},
            {"v": 0, "least": 1},
        ):
            assert decode(orjson.dumps({**good, **bad}), "n3", NOW)[0] is None, bad
        for ended in (-1, "1", True, good["written_ms"] + 1):
            assert decode(orjson.dumps({**good, "ended_ms": ended}), "n3", NOW)[0] is None, ended

    def test_an_end_keeps_the_service_state_of_the_successor(self) -> None:
        """A process that ends must not overwrite the service state of its successor, which may be drained."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(file_path(folder, "n3"))
            path.write_bytes(encode("n3", 4711, NOW, False, NOW))
            write_handover(
                folder, "n3", NOW + SECOND, effects.PersistServiceState(True, 1, NOW + SECOND, NOW - SECOND)
            )
            record, _ = decode(path.read_bytes(), "n3", NOW + SECOND)
            assert record is not None
            assert (record.in_service, record.pid, record.ended_ns) == (False, 4711, NOW + SECOND)
            path.write_bytes(encode("n3", 4711, NOW - 2 * SECOND, False, NOW))
            write_handover(
                folder,
                "n3",
                NOW + SECOND,
                effects.PersistServiceState(True, 1 * SECOND, NOW + SECOND, NOW - SECOND),
            )
            record, _ = decode(path.read_bytes(), "n3", NOW + SECOND)
            assert record is not None
            assert (record.in_service, record.pid) == (True, os.getpid()), (
                "the state of the ending process is the later one"
            )

    def test_unusable_records_are_rejected(self) -> None:
        good = orjson.loads(encode("n3", 4711, NOW, True, NOW))
        cases = [
            (b"x" * (MAX_FILE_BYTES + 1), "is over"),
            (b"{", "is not JSON"),
            (b"[]", "is not a JSON object"),
            (orjson.dumps({**good, "v": 2}), "not a version known"),
            (orjson.dumps({**good, "name": "n4"}), "another router's"),
            (orjson.dumps({**good, "pid": "4711"}), "pid:"),
            (orjson.dumps({**good, "since_ms": True}), "since_ms:"),
            (orjson.dumps({**good, "service": "maybe"}), "neither in nor out"),
            (orjson.dumps({k: v for k, v in good.items() if k != "written_ms"}), "written_ms:"),
        ]
        for data, expected in cases:
            with self.subTest(expected=expected):
                record, reason = decode(data, "n3", NOW)
                assert record is None
                assert expected in reason
        assert "ago" in decode(encode("n3", 1, NOW, True, NOW), "n3", NOW + MAX_AGE_NS + SECOND)[1]
        assert "future" in decode(encode("n3", 1, NOW + 60 * SECOND, True, NOW), "n3", NOW)[1]


class Reducer(unittest.TestCase):
    def test_a_drain_is_recorded_and_applied_by_the_successor(self) -> None:
        r = make_reducer()
        assert effects_of_type(
            effects.PersistServiceState,
            r.handle(NOW, inputs.ControlRequest(1, inputs.ControlOperation.OUT_OF_SERVICE)),
        ) == [effects.PersistServiceState(False, NOW)]
        resumed = r.handle(NOW + SECOND, inputs.ControlRequest(2, inputs.ControlOperation.IN_SERVICE))
        assert effects_of_type(effects.PersistServiceState, resumed) == [
            effects.PersistServiceState(True, NOW + SECOND)
        ]
        assert (
            effects_of_type(
                effects.PersistServiceState,
                r.handle(NOW + SECOND, inputs.ControlRequest(3, inputs.ControlOperation.IN_SERVICE)),
            )
            == []
        )  # no change
        successor = make_reducer()
        effect_list = successor.handle(NOW, inputs.PredecessorState(False, NOW - SECOND))
        assert effects_of_type(effects.DrainClients, effect_list) == [effects.DrainClients(True)]
        (response,) = effects_of_type(
            effects.ControlResponse,
            successor.handle(NOW, inputs.ControlRequest(4, inputs.ControlOperation.READY)),
        )
        assert isinstance(response, effects.ControlResponse)
        assert not response.ok
        assert successor.handle(NOW, inputs.PredecessorState(True, NOW)) == []
        assert (
            len(
                effects_of_type(
                    effects.LogEvent,
                    make_reducer().handle(NOW, inputs.PredecessorState(None, reason="x: is not JSON")),
                )
            )
            == 1
        )


if __name__ == "__main__":
    unittest.main()
