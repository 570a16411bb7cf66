"""A toy world for one router: a feed, one cache, one parent and the origin in one process, for trying it out.

    .venv/bin/python examples/toy_server.py

It answers every PULL with a short text that says who answered, and each poll of the feed after its wait.
"""

from __future__ import annotations

import socketserver
import threading
import time
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

PORTS = {"cache": 9401, "parent": 9402, "origin": 9403}
FEED = 9400


class Shelf(socketserver.StreamRequestHandler):
    """RESP: arrays of bulk strings, one answer for each PULL."""

    def words(self) -> list[bytes]:
        """The next command; none where the connection has ended."""
        count = self.rfile.readline()
        words = []
        for _ in range(int(count[1:]) if count else 0):
            size = int(self.rfile.readline()[1:])
            words.append(self.rfile.read(size + 2)[:-2])
        return words

    def handle(self) -> None:
        """Answer every PULL of a connection."""
        name = next(n for n, p in PORTS.items() if p == self.server.server_address[1])
        while words := self.words():
            print(name, *words, flush=True)
            if words[0] == b"PULL":
                body = b"answered by the " + name.encode()
                fields = b"sum=4be0c1927d55a6f3,t0=%d,tell=mem" % (time.time() * 1000)
                answer = (words[1], b"DONE", fields, body)
                self.wfile.write(b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(x), x) for x in answer))


class Feed(socketserver.StreamRequestHandler):
    """HTTP/1.1 long polls: there is never any news."""

    def handle(self) -> None:
        """Answer every poll of a connection after its wait."""
        while line := self.rfile.readline():
            while self.rfile.readline().strip():
                pass
            query = parse_qs(urlsplit(line.split()[1].decode()).query)
            time.sleep(int(query["wait"][0]) / 1000)
            body = b'{"n":%d,"events":[]}' % int(query["SUB"][0])
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Server(socketserver.ThreadingTCPServer):
    """A thread for each connection; the port is free again at once."""

    allow_reuse_address = daemon_threads = True


if __name__ == "__main__":
    servers = [Server(("127.0.0.1", FEED), Feed), *(Server(("127.0.0.1", p), Shelf) for p in PORTS.values())]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print("feed on", FEED, "and", PORTS, flush=True)
    with suppress(KeyboardInterrupt):
        threading.Event().wait()
