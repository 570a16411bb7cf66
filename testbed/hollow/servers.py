"""Stand-in servers in a process of their own, which respond to every request with a body of one size.

    python -m testbed.hollow.servers --bytes 20000

Prints the feed's address and the first endpoint list as JSON, and exits at the end of standard input.
"""

from __future__ import annotations

import argparse
import json
import sys

from testbed.stand_ins import ScriptedResponse, ServerCommand, StandInServers


def main() -> None:
    """Serve until standard input ends."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--bytes", type=int, default=20_000)
    body = b"x" * parser.parse_args().bytes

    def script(_: str, __: ServerCommand) -> ScriptedResponse:
        return ScriptedResponse(body=body)

    with StandInServers(script) as stand_ins:
        stand_ins.commands = DiscardingList()
        print(
            json.dumps({"feed": stand_ins.address_of("feed"), "members": stand_ins.endpoint_snapshot()}),
            flush=True,
        )
        sys.stdin.read()


class DiscardingList(list[ServerCommand]):
    """A list that records no requests, because there are too many."""

    def append(self, command: ServerCommand) -> None:
        """Discard the request."""


if __name__ == "__main__":
    main()
