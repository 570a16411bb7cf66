"""Link modes, defective builds and the contract checker, which reports each violated rule and no other."""

from __future__ import annotations

import contextlib
import signal
import socket
import tempfile
import threading
import time
import unittest
from pathlib import Path

import pytest

from testbed.field import ClientLoad, ContractChecker, LinkMode, Relay, RouterField, build_program
from testbed.field.builds import DEFECTS
from testbed.field.node import reserve_port
from testbed.stand_ins import MS, ROOT, ScriptedResponse, ServerCommand

CONTRACT_SETTINGS = {"contract": {"cold_ns": 10_000 * MS, "fall_ns": 500 * MS, "cold_from": 0.05}}
RULE_BY_DEFECT = {
    "answers nothing": "answered",
    "runs twice": "once",
    "sends to the drained": "drained",
    "floods the cold": "cold",
    "serves the purged": "purged",
}


def fail_orders(server: str, command: ServerCommand) -> ScriptedResponse:
    """Ends every order with an error, after which it may have been executed, and serves other requests."""
    return ScriptedResponse("BROKE" if command.fields["cls"] == "order" else "DONE", 5.0, body=b"x")


def test_a_reserved_port_belongs_to_the_router_alone() -> None:
    """A router cannot start if another socket was given its port after the field had chosen it."""
    with reserve_port("127.1.0.1") as reserved, socket.socket() as other:
        address = reserved.getsockname()
        with pytest.raises(OSError, match="Address already in use"):
            other.bind(address)
        for _ in range(2):  # the router starts, ends, and starts again
            with socket.create_server(address):
                socket.create_connection(address, 1).close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address, 1)


def test_the_ports_of_a_node_stay_reserved_while_its_router_is_down() -> None:
    """Otherwise the router could not start again on its addresses."""
    with RouterField(1, 1, {"old": ROOT}) as field:
        node = field.nodes["z0-0"]
        node.end(signal.SIGKILL)
        assert node.address != node.control_address
        for address in (node.address, node.control_address):
            with socket.socket() as other, pytest.raises(OSError, match="Address already in use"):
                other.bind(address)


class Links(unittest.TestCase):
    def setUp(self) -> None:
        """Starts an echo server, and a relay in front of it."""
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        threading.Thread(target=self.echo, daemon=True).start()
        self.relay = Relay(self.server.getsockname()[:2], 0.2)
        self.addCleanup(self.relay.__exit__)

    def echo(self) -> None:
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.echo_connection, args=(sock,), daemon=True).start()

    def echo_connection(self, sock: socket.socket) -> None:
        with sock:
            try:
                while chunk := sock.recv(4_096):
                    sock.sendall(chunk)
            except OSError:
                pass

    def connect(self) -> socket.socket:
        """Returns a connection to the relay, or an unconnected socket if the connect was reset."""
        sock = socket.socket()
        with contextlib.suppress(ConnectionResetError):
            sock.connect(self.relay.address)
        self.addCleanup(sock.close)
        sock.settimeout(1)
        return sock

    def exchange(self, sock: socket.socket, text: bytes = b"hello") -> bytes:
        """Sends bytes; returns the bytes echoed before the end of the connection or the timeout."""
        received = b""
        try:
            sock.sendall(text)
            while len(received) < len(text) and (data := sock.recv(4_096)):
                received += data
        except OSError:
            pass
        return received

    def test_each_mode(self) -> None:
        sock = self.connect()
        assert self.exchange(sock) == b"hello"
        self.relay.change(LinkMode.DELAY)
        started_s = time.monotonic()
        assert self.exchange(sock) == b"hello"
        assert time.monotonic() - started_s > 0.4, "the delay applies in both directions"
        self.relay.change(LinkMode.SLOW)
        started_s = time.monotonic()
        assert self.exchange(sock, b"x" * 640) == b"x" * 640
        assert time.monotonic() - started_s > 0.15
        self.relay.change(LinkMode.GARBAGE)
        assert b"garbage" in self.exchange(sock, b"hello")
        self.relay.change(LinkMode.PASS)
        sock = self.connect()
        self.relay.change(LinkMode.ONE_WAY)
        assert self.exchange(sock) == b""
        self.relay.change(LinkMode.SILENT)
        sock = self.connect()
        assert self.exchange(sock) == b"", "a silent relay forwards nothing"
        self.relay.change(LinkMode.PASS)
        assert sock.recv(16) == b"hello", "the bytes held by the silent relay are delivered"
        self.relay.change(LinkMode.CUT)
        assert self.exchange(sock, b"0123456789") == b"01234"
        self.relay.change(LinkMode.REFUSE)
        assert self.exchange(self.connect()) == b""
        self.relay.change(LinkMode.PASS)
        sock = self.connect()
        assert self.exchange(sock) == b"hello"
        self.relay.drop()
        time.sleep(0.1)
        assert self.exchange(sock) == b""
        assert self.exchange(self.connect()) == b"hello"

    def test_a_mode_for_a_share_of_the_connections(self) -> None:
        self.relay.change(LinkMode.REFUSE, 0.5)
        echoes = [self.exchange(self.connect()) for _ in range(20)]
        assert 6 <= echoes.count(b"hello") <= 14, echoes

    def test_a_half_close_is_forwarded(self) -> None:
        sock = self.connect()
        sock.sendall(b"last")
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while data := sock.recv(64):
            received += data
        assert received == b"last"


class Builds(unittest.TestCase):
    def test_each_defect_matches_the_sources(self) -> None:
        """The text that each defect replaces is in the sources, also for defects that only long tests use."""
        with tempfile.TemporaryDirectory() as name:
            for number, defect in enumerate(DEFECTS):
                with self.subTest(defect=defect):
                    build_program(Path(name) / str(number), defect)


class ContractChecks(unittest.TestCase):
    """Real routers for a few seconds, with a purge, a drain and a restarted cache in the feed."""

    def run_field(self, defect: str, with_failures: bool = False) -> tuple[ContractChecker, ClientLoad]:
        with tempfile.TemporaryDirectory() as name:
            builds = {"old": build_program(Path(name) / "old", defect)}
            with RouterField(1, 2, builds, fail_orders, 3, 2, True, 1.5, CONTRACT_SETTINGS) as field:
                relays = field.servers.relays
                with ClientLoad(field, per_s=60.0, order_every=10) as load:
                    time.sleep(0.8)
                    purged = {"key": f"{0:08x}{7:08x}", "group": 0, "at": time.time_ns() // MS}
                    field.servers.publish(purge=purged)
                    field.servers.change("cache-z0", "leaving")
                    field.servers.change("cache-z0-1", "active", time.time_ns() // MS)
                    if with_failures:
                        self.break_links(field)
                    else:
                        time.sleep(3.0)
                    killed = with_failures
                    for relay in relays.values():
                        relay.change(LinkMode.PASS)
                return field.check_contract(
                    load, routers_were_killed=killed, links_were_cut=with_failures
                ), load

    def break_links(self, field: RouterField) -> None:
        """Applies each mode to a parent, a cache and the origin; suspends one router and kills another."""
        nodes = list(field.nodes.values())
        for mode in LinkMode:
            for name in ("parent", "cache-z0-2", "origin"):
                field.servers.relays[name].change(mode, 0.5 if name == "origin" else 1.0)
            time.sleep(0.5)
        for relay in field.servers.relays.values():
            relay.change(LinkMode.PASS)
            relay.drop()
        assert nodes[0].process
        assert nodes[1].process
        nodes[0].process.send_signal(signal.SIGSTOP)
        time.sleep(0.5)
        nodes[0].process.send_signal(signal.SIGCONT)
        nodes[1].end(signal.SIGKILL)
        nodes[1].start("old")
        time.sleep(1.0)

    def test_each_violated_rule_is_reported(self) -> None:
        for defect, rule in RULE_BY_DEFECT.items():
            with self.subTest(defect=defect):
                checker, _ = self.run_field(defect)
                assert checker.broken_rules() == {rule}, checker.violations[:5]

    def test_a_sound_build_violates_no_rule_under_any_failure(self) -> None:
        for with_failures in (False, True):
            checker, load = self.run_field("sound", with_failures)
            assert checker.violations == []
            assert load.counts["served"] > 150, load.counts


if __name__ == "__main__":
    unittest.main()
