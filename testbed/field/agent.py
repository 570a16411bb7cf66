"""Client of the field's agent, run by a rollout's `apply` and `undo`.

Usage: ``python -m testbed.field.agent PORT VERB ROUTER``.
"""

from __future__ import annotations

import socket
import sys


def main(words: list[str]) -> int:
    """Send one command to the field's agent: exit code 0 if the field carried it out."""
    port, verb, router = words
    with socket.create_connection(("127.0.0.1", int(port)), 30) as sock:
        sock.sendall(f"{verb} {router}\n".encode())
        answer = sock.makefile().readline().strip()
    print(answer)
    return 0 if answer == "ok" else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
