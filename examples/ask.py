"""Request one part of an object from a router and print the response: ask.py [HOST:PORT]."""

from __future__ import annotations

import secrets
import socket
import sys

import msgpack

host, _, port = (sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:9090").rpartition(":")
fields = {
    "trace": secrets.token_hex(8),
    "patience": "1500",
    "entity": "7f3a9c21e0b4d655",
    "block": "0",
    "family": "17",
}
with socket.create_connection((host, int(port)), 5) as sock:
    sock.sendall(msgpack.packb([0, 1, "page", [fields, b""]]))
    unpacker = msgpack.Unpacker()
    while data := sock.recv(65_536):
        unpacker.feed(data)
        for response in unpacker:
            print(response)
            sys.exit(0)
