"""A link that can be broken: a TCP relay on loopback, in one thread of its own."""

from __future__ import annotations

import socket
import struct
import threading
import time
from enum import Enum


class Mode(Enum):
    """What the link does with bytes and with new connections."""

    PASS = "pass"
    REFUSE = "refuse"  # new connections are reset; those that stand go on
    RESET = "reset"  # all are reset
    SILENT = "silent"  # nothing passes, nothing ends
    DELAY = "delay"  # both ways late by ``delay_s``
    GARBAGE = "garbage"  # answers are replaced


class Relay:
    """Listens on a port of its own and passes on to a target.  A context manager; its mode may change."""

    def __init__(self, target: tuple[str, int], delay_s: float = 2.0) -> None:
        self.target, self.delay_s, self.mode = target, delay_s, Mode.PASS
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.listener.getsockname()[:2]
        self.open: set[socket.socket] = set()
        self.passed = 0  # connections that reached the target
        self.stopping = threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()

    def __enter__(self) -> Relay:
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        self.listener.close()
        for sock in list(self.open):
            self.reset(sock)

    def change(self, mode: Mode) -> None:
        """Another mode from now on."""
        self.mode = mode
        if mode is Mode.RESET:
            for sock in list(self.open):
                self.reset(sock)

    def reset(self, sock: socket.socket) -> None:
        self.open.discard(sock)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        except OSError:
            pass

    def accept(self) -> None:
        while not self.stopping.is_set():
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            self.open.add(client)
            if self.mode in (Mode.REFUSE, Mode.RESET):
                self.reset(client)
                continue
            try:
                server = socket.create_connection(self.target, 5)
            except OSError:
                self.reset(client)
                continue
            self.passed += 1
            self.open.add(server)
            threading.Thread(target=self.pump, args=(client, server, False), daemon=True).start()
            threading.Thread(target=self.pump, args=(server, client, True), daemon=True).start()

    def pump(self, source: socket.socket, sink: socket.socket, answers: bool) -> None:
        """One direction of one connection."""
        try:
            while True:
                data = source.recv(65_536)
                if self.mode is Mode.DELAY:
                    time.sleep(self.delay_s)
                while self.mode is Mode.SILENT and not self.stopping.is_set():
                    time.sleep(0.02)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(b"\x00garbage\xff" * 8 if self.mode is Mode.GARBAGE and answers else data)
        except OSError:
            self.reset(source)
            self.reset(sink)
