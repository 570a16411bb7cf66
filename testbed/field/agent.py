"""Client of the field's agent, run by a rollout's `apply` and `undo`.

Usage: ``python -m testbed.field.agent PORT COMMAND ROUTER``.
"""

from __future__ import annotations

import socket
import sys


def main(arguments: list[str]) -> int:
    """Send one command to the field's agent; return exit code 0 if the field carried it out."""
    port, command, router = arguments
    with socket.create_connection(("127.0.0.1", int(port)), 30) as sock:
        sock.sendall(f"{command} {router}\n".encode())
        response = sock.makefile().readline().strip()
    print(response)
    return 0 if response == "ok" else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
