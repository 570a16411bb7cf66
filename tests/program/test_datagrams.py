"""The datagram relay of the testbed: it injects each fault, and the same seed drops the same datagrams."""

from __future__ import annotations

import socket
import unittest

from testbed.field.datagrams import DatagramFaults, DatagramRelay, open_socket


class Relayed(unittest.TestCase):
    def setUp(self) -> None:
        self.target = open_socket()
        self.target.settimeout(0.3)
        self.addCleanup(self.target.close)

    def relay(self, faults: DatagramFaults, seed: int = 1) -> DatagramRelay:
        relay = DatagramRelay(self.target.getsockname(), faults, seed)
        self.addCleanup(relay.__exit__)
        return relay

    def received_datagrams(self) -> list[bytes]:
        datagrams = []
        while True:
            try:
                datagrams.append(self.target.recvfrom(2_048)[0])
            except TimeoutError:
                return datagrams

    def send_and_receive(self, relay: DatagramRelay, count: int) -> list[bytes]:
        """Sends ``count`` datagrams, each once the relay has received the last; returns the arrivals."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for n in range(count):
                sock.sendto(b"%d" % n, relay.address)
                while relay.received <= n:
                    pass
        return self.received_datagrams()

    def test_datagrams_pass_and_responses_come_back(self) -> None:
        relay = self.relay(DatagramFaults())
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.settimeout(2)
            sock.sendto(b"ask", relay.address)
            data, sender = self.target.recvfrom(2_048)
            self.target.sendto(data + b" back", sender)
            assert sock.recvfrom(2048) == (b"ask back", relay.address)

    def test_a_seed_determines_which_datagrams_are_lost(self) -> None:
        first = self.send_and_receive(self.relay(DatagramFaults(lost=0.5)), 100)
        assert 30 < len(first) < 70, len(first)
        assert self.send_and_receive(self.relay(DatagramFaults(lost=0.5)), 100) == first
        assert self.send_and_receive(self.relay(DatagramFaults(lost=0.5), seed=2), 100) != first

    def test_repeated_late_and_silent(self) -> None:
        twice = self.send_and_receive(self.relay(DatagramFaults(repeated=0.5)), 50)
        assert 60 < len(twice) < 90, len(twice)
        assert len(set(twice)) == 50
        late = self.send_and_receive(self.relay(DatagramFaults(late=0.3, late_s=0.1)), 50)
        assert len(late) == 50
        assert late != sorted(late, key=int), "some datagrams arrived after later ones"
        assert self.send_and_receive(self.relay(DatagramFaults(silent=True)), 10) == []


if __name__ == "__main__":
    unittest.main()
