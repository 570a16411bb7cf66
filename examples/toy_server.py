"""Minimal servers to try out one router: a list service, a cache, a parent and the origin in one process.

    .venv/bin/python examples/toy_server.py

The response to every PULL is a short text that names the server.  The list service responds to each watch
request at the end of its wait, without events.
"""

from __future__ import annotations

import socketserver
import threading
import time
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

PORTS = {"cache": 9401, "parent": 9402, "origin": 9403}
LIST_SERVICE_PORT = 9400


class ServerHandler(socketserver.StreamRequestHandler):
    """A cache, parent or origin that speaks RESP: arrays of bulk strings, one response to each PULL."""

    def read_command(self) -> list[bytes]:
        """Return the strings of the next command; an empty list if the connection has ended."""
        count = self.rfile.readline()
        words = []
        for _ in range(int(count[1:]) if count else 0):
            size = int(self.rfile.readline()[1:])
            words.append(self.rfile.read(size + 2)[:-2])
        return words

    def handle(self) -> None:
        """Respond to every PULL of a connection."""
        name = next(n for n, p in PORTS.items() if p == self.server.server_address[1])
        while command := self.read_command():
            print(name, *command, flush=True)
            if command[0] == b"PULL":
                body = b"answered by the " + name.encode()
                fields = b"sum=4be0c1927d55a6f3,t0=%d,tell=mem" % (time.time() * 1000)
                response = (command[1], b"DONE", fields, body)
                self.wfile.write(b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(x), x) for x in response))


class ListServiceHandler(socketserver.StreamRequestHandler):
    """A list service whose log has no further event; watch requests are HTTP/1.1 long polls."""

    def handle(self) -> None:
        """Respond to every watch request of a connection at the end of its wait."""
        while line := self.rfile.readline():
            while self.rfile.readline().strip():
                pass
            query = parse_qs(urlsplit(line.split()[1].decode()).query)
            time.sleep(int(query["wait"][0]) / 1000)
            body = b'{"n":%d,"events":[]}' % int(query["SUB"][0])
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Server(socketserver.ThreadingTCPServer):
    """A TCP server with a thread for each connection, whose port can be reused immediately."""

    allow_reuse_address = daemon_threads = True


if __name__ == "__main__":
    servers = [
        Server(("127.0.0.1", LIST_SERVICE_PORT), ListServiceHandler),
        *(Server(("127.0.0.1", p), ServerHandler) for p in PORTS.values()),
    ]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print("feed on", LIST_SERVICE_PORT, "and", PORTS, flush=True)
    with suppress(KeyboardInterrupt):
        threading.Event().wait()
