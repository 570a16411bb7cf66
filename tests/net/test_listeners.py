"""Listening sockets: an inherited socket is checked before the router accepts clients."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import orjson
import pytest

from kelpcroft.config import ConfigError, parse_config
from kelpcroft.net.listeners import adopt_listener, bind_listener
from tests.support.exchange_player import EXAMPLE, ROOT, WAIT_S


class AdoptListener(unittest.TestCase):
    def test_a_listening_socket_is_adopted(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            sock = adopt_listener(os.dup(listener.fileno()))
            self.addCleanup(sock.close)
            client = socket.create_connection(listener.getsockname(), WAIT_S)
            self.addCleanup(client.close)
            sock.setblocking(True)
            accepted, _ = sock.accept()
            accepted.close()

    def test_another_descriptor_is_rejected_and_left_open(self) -> None:
        read, write = os.pipe()
        self.addCleanup(os.close, read)
        self.addCleanup(os.close, write)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        idle = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for sock in (udp, idle):
            self.addCleanup(sock.close)
        for fd, reason in (
            (read, "Socket operation on non-socket"),
            (udp.fileno(), "is not a TCP socket over IPv4 or IPv6"),
            (idle.fileno(), "does not listen"),
            (999, "Bad file descriptor"),
        ):
            with self.subTest(reason=reason), pytest.raises(ConfigError) as caught:
                adopt_listener(fd)
            assert "ROUTER_FD" in str(caught.value)
            assert reason in str(caught.value)
        os.fstat(read)  # still open: the router must not close a descriptor that it rejects
        assert idle.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE) == socket.SOCK_STREAM

    def test_an_address_in_use_is_named(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener, pytest.raises(ConfigError) as caught:
            bind_listener("listen", listener.getsockname())
        assert "listen: 127.0.0.1:" in str(caught.value)

    def test_router_fd_must_be_a_number(self) -> None:
        assert parse_config(EXAMPLE, {"ROUTER_FD": "3"}).inherited_listener_fd == 3
        assert parse_config(EXAMPLE, {}).inherited_listener_fd is None
        for value in ("three", "-1", "3.0", "9" * 9):
            with self.subTest(value=value), pytest.raises(ConfigError):
                parse_config(EXAMPLE, {"ROUTER_FD": value})


class ProcessStart(unittest.TestCase):
    def test_a_descriptor_that_does_not_listen_ends_the_start(self) -> None:
        """The start fails with exit code 2 and one line that names ROUTER_FD, before any client is served."""
        idle = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.addCleanup(idle.close)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_bytes(orjson.dumps(EXAMPLE))
            completed = subprocess.run(
                [sys.executable, "-m", "kelpcroft"],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=WAIT_S,
                pass_fds=(idle.fileno(),),
                env={**os.environ, "ROUTER_CONFIG": str(path), "ROUTER_FD": str(idle.fileno())},
            )
        assert completed.returncode == 2, completed.stderr
        assert completed.stderr.count("\n") == 1, completed.stderr
        assert "ROUTER_FD: descriptor" in completed.stderr
        assert "does not listen" in completed.stderr


if __name__ == "__main__":
    unittest.main()
