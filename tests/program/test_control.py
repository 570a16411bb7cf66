"""Codec of the control address, modes of the service state, and a drain through the reducer."""

from __future__ import annotations

import unittest

from kelpcroft.core import effects, inputs
from kelpcroft.core.service_state import (
    DRAIN_GRACE_NS,
    MAX_SHUTDOWN_WAIT_NS,
    SHUTDOWN_GRACE_NS,
    ServiceMode,
    ServiceState,
)
from kelpcroft.core.state import MS, SECOND
from kelpcroft.net.control_codec import MAX_BODY_BYTES, MAX_HEAD_BYTES, ControlCodec
from tests.support.reducer_fixtures import NOW, client_request, effects_of_type, make_reducer

READY = b"GET /control/ready HTTP/1.1\r\nHost: r\r\n\r\n"


def status(response: object) -> int:
    assert isinstance(response, bytes), response
    return int(response.split(b" ", 2)[1])


class Codec(unittest.TestCase):
    def test_requests_in_any_chunks(self) -> None:
        for size in (1, 2, 7, len(READY)):
            codec, results = ControlCodec(), []
            for start in range(0, len(READY), size):
                results.append(codec.receive_data(READY[start : start + size]))
            with self.subTest(size=size):
                assert [s for s in results if s is not None] == [inputs.ControlOperation.READY]
                assert not codec.has_partial_message()
        out = b"PUT /control/out-of-service HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
        for text, operation in (
            (out, inputs.ControlOperation.OUT_OF_SERVICE),
            (b"PUT /control/in-service/ HTTP/1.1\r\n\r\n", inputs.ControlOperation.IN_SERVICE),
            (b"GET /control/ready?now=1 HTTP/1.0\r\n\r\n", inputs.ControlOperation.READY),
        ):
            assert ControlCodec().receive_data(text) is operation

    def test_an_invalid_request_gets_an_error_and_nothing_more_is_read(self) -> None:
        cases = [
            (b"GET /control HTTP/1.1\r\n\r\n", 404),
            (b"GET /control/out-of-service HTTP/1.1\r\n\r\n", 405),
            (b"DELETE /control/ready HTTP/1.1\r\n\r\n", 405),
            (b"hello\r\n\r\n", 400),
            (b"GET /control/ready HTTP/1.1\r\nHost: a\r\nHost\r\n\r\n", 400),
            (b"GET /control/ready HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n", 400),
            (b"GET /control/ready HTTP/1.1\r\nX: " + b"a" * MAX_HEAD_BYTES + b"\r\n\r\n", 431),
            (b"GET /" + b"a" * (MAX_HEAD_BYTES + 10), 431),
            (b"PUT /control/in-service HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
            (
                b"PUT /control/in-service HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"%x\r\n" % (MAX_BODY_BYTES + 1)
                + b"a" * (MAX_BODY_BYTES + 1)
                + b"\r\n0\r\n\r\n",
                413,
            ),
        ]
        for text, code in cases:
            with self.subTest(text=text[:60], code=code):
                codec = ControlCodec()
                response = codec.receive_data(text)
                assert status(response) == code
                assert isinstance(response, bytes)
                assert b"Connection: close\r\n" in response
                assert codec.receive_data(READY) is None
        allowed = ControlCodec().receive_data(b"POST /control/ready HTTP/1.1\r\n\r\n")
        assert isinstance(allowed, bytes)
        assert b"Allow: GET, HEAD\r\n" in allowed

    def test_a_request_head_has_a_maximum_size(self) -> None:
        """An endless request head is rejected at the size limit, so that it cannot exhaust the memory."""
        codec = ControlCodec()
        response = codec.receive_data(b"GET /control/ready HTTP/1.1\r\n")
        for _ in range(MAX_HEAD_BYTES // 100 + 2):
            response = (
                codec.receive_data(b"X-Filler: " + b"b" * 88 + b"\r\n") if response is None else response
            )
        assert status(response) == 431
        assert codec.head_bytes <= MAX_HEAD_BYTES

    def test_half_a_request_is_partial(self) -> None:
        codec = ControlCodec()
        assert codec.receive_data(b"GET /control/re") is None
        assert codec.has_partial_message()


class Modes(unittest.TestCase):
    def test_a_drain_rejects_after_its_grace_period_and_never_exits(self) -> None:
        service = ServiceState()
        assert service.drain(NOW)
        assert not service.drain(NOW + 1)
        assert service.is_draining_clients
        assert service.admits_requests(NOW + DRAIN_GRACE_NS - 1)
        assert not service.admits_requests(NOW + DRAIN_GRACE_NS)
        assert not service.may_exit(NOW + 60 * SECOND, 0, 0)
        assert service.resume(NOW + 5 * SECOND)
        assert service.admits_requests(NOW + 5 * SECOND)
        assert not service.is_draining_clients

    def test_a_shutdown_on_a_shared_listener_waits_for_clients_up_to_its_limit(self) -> None:
        shared, alone = ServiceState(shares_listener=True), ServiceState()
        for service in (shared, alone):
            service.begin_shutdown(NOW)
            assert not service.resume(NOW + 1)
            assert service.mode is ServiceMode.ENDING
            assert not service.may_exit(NOW + 10 * SECOND, 1, 0)
        assert not shared.admits_requests(NOW + SHUTDOWN_GRACE_NS)
        assert alone.admits_requests(NOW + SHUTDOWN_GRACE_NS)
        assert not shared.may_exit(NOW + MS, 0, 3)
        assert shared.may_exit(NOW + MS, 0, 0)
        assert shared.may_exit(NOW + MAX_SHUTDOWN_WAIT_NS, 0, 3)
        assert alone.may_exit(NOW + MS, 0, 3)


class Drain(unittest.TestCase):
    def test_a_drain_through_the_reducer(self) -> None:
        r = make_reducer()
        r.handle(NOW, inputs.ClientConnected(1))
        assert r.handle(NOW, inputs.ControlRequest(7, inputs.ControlOperation.READY)) == [
            effects.ControlResponse(7, True, {"ready": True, "service": "in"})
        ]
        effect_list = r.handle(NOW, inputs.ControlRequest(8, inputs.ControlOperation.OUT_OF_SERVICE))
        assert effects_of_type(effects.DrainClients, effect_list) == [effects.DrainClients(True)]
        assert effects_of_type(effects.ControlResponse, effect_list) == [
            effects.ControlResponse(8, True, {"ready": False, "service": "out", "why": "out of service"})
        ]
        assert effects_of_type(
            effects.ControlResponse, r.handle(NOW, inputs.ControlRequest(9, inputs.ControlOperation.READY))
        )[0] == effects.ControlResponse(9, False, {"ready": False, "service": "out", "why": "out of service"})
        assert r.handle(NOW, inputs.HealthRequest(1, 1)) == [effects.SendHealth(1, 1, False)]
        # Requests on open connections are served during the grace period, then rejected immediately.
        assert effects_of_type(effects.OpenServerConnection, r.handle(NOW + MS, client_request(2))) != []
        late = NOW + DRAIN_GRACE_NS
        assert r.handle(late, client_request(3)) == [effects.RejectRequest(1, 3, 0)]
        effect_list = r.handle(late + SECOND, inputs.ControlRequest(10, inputs.ControlOperation.IN_SERVICE))
        assert effects_of_type(effects.DrainClients, effect_list) == [effects.DrainClients(False)]
        assert r.handle(late + SECOND, inputs.HealthRequest(1, 4)) == [effects.SendHealth(1, 4, True)]
        assert effects_of_type(effects.RejectRequest, r.handle(late + SECOND, client_request(5))) == []
        assert (
            effects_of_type(
                effects.Exit,
                r.handle(late + 9 * SECOND, inputs.ControlRequest(11, inputs.ControlOperation.READY)),
            )
            == []
        )


if __name__ == "__main__":
    unittest.main()
