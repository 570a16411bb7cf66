"""What a rollout's `apply` and `undo` run: ``python -m testbed.field.agent PORT VERB ROUTER``."""

from __future__ import annotations

import socket
import sys


def main(words: list[str]) -> int:
    """0 where the field did it."""
    port, verb, router = words
    with socket.create_connection(("127.0.0.1", int(port)), 30) as sock:
        sock.sendall(f"{verb} {router}\n".encode())
        answer = sock.makefile().readline().strip()
    print(answer)
    return 0 if answer == "ok" else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
