"""CPU time of a request, without the sockets, with no operator's file, 10 routes and 10,000 routes.

    python tools/compile.py && python -m benchmarks.request_cost

Runs the compiled copy if there is one, or the copy in KELPCROFT_FROM. The variants alternate in short rounds.
A round's ratio is to the variant without a file in the same round; the median of the ratios is printed.
"""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path
from statistics import median
from typing import Any

ROOT = Path(__file__).parent.parent
COPY = Path(os.environ.get("KELPCROFT_FROM") or ROOT / ".compiled/now")
if COPY.is_dir():
    sys.path.insert(0, str(COPY))

import msgpack  # noqa: E402

from kelpcroft.config import parse_config  # noqa: E402
from kelpcroft.core import effects, inputs, reducer  # noqa: E402
from kelpcroft.net.client_codec import ClientCodec, encode_response  # noqa: E402
from kelpcroft.net.server_codec import ServerCodec, encode_attempt  # noqa: E402
from kelpcroft.operator_file import load  # noqa: E402

MS = 1_000_000
ROUNDS, BATCH = 60, 400
READ = 65_536


def rules(count: int) -> str:
    """An operator's file with ``count`` routes, of which the benchmark's requests match the last."""
    rows = "".join(f'route "r{n}" {{ match object="{n:04x}"; }}\n' for n in range(count - 2))
    return (
        "kelpcroft version=1\ndefaults { attempts most=3; }\n"
        'route "orders" { match class="order"; attempts most=1; }\n'
        + rows
        + 'route "rest" { match class="page"; }\n'
    )


class SocketlessRouter:
    """A router without sockets."""

    def __init__(
        self, text: str | None, raw: dict[str, Any] | None = None, cache_status: bytes = b"mem"
    ) -> None:
        self.now, self.cache_status = 1_764_576_000 * 10**9, cache_status
        raw = raw or json.loads((ROOT / "examples/config.json").read_bytes())
        self.router = reducer.Reducer(parse_config(raw, {}))
        self.router.start(self.now)
        self.router.handle(self.now, inputs.ListenersReady())
        if text is not None:
            file, diagnostics = load(text.encode())
            assert not diagnostics, diagnostics[0]
            self.router.handle(self.now, inputs.OperatorFileRead(file))
        self.request_count = 0
        self.client = ClientCodec(1)
        self.server_codecs: dict[int, ServerCodec] = {}

    def request(self) -> int:
        """Handle one page request, from its bytes to those of its response; return the bytes sent."""
        self.request_count += 1
        self.now += 3 * MS
        n = self.request_count
        fields = {"trace": f"{n:016x}", "patience": "1500", "entity": f"{0xFFFF - n % 97:016x}"}
        data = msgpack.packb([0, n, "page", [{**fields, "block": str(n % 7), "family": "17"}, b""]])
        return sum(
            self.carry_out(self.router.handle(self.now, message))
            for message in self.client.receive_data(memoryview(data))
            if isinstance(message, inputs.ClientRequest)
        )

    def carry_out(self, effect_list: list[effects.Effect]) -> int:
        """Carry out effects and return the number of bytes sent."""
        size = 0
        for e in effect_list:
            if isinstance(e, effects.SendAttempt):
                size += len(encode_attempt(e)[0])
                values = (
                    e.attempt_id.encode(),
                    b"DONE",
                    b"sum=4be0c1927d55a6f3,t0=1,tell=" + self.cache_status,
                    b"x" * 500,
                )
                data = b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(value), value) for value in values)
                for response in self.server_codecs.setdefault(
                    e.connection, ServerCodec(e.connection)
                ).receive_data(memoryview(data)):
                    size += self.carry_out(self.router.handle(self.now + MS, response))
            elif isinstance(e, effects.OpenServerConnection):
                size += self.carry_out(self.router.handle(self.now, inputs.ServerConnected(e.connection)))
            elif isinstance(e, effects.SendResponse):
                size += sum(map(len, encode_response(e.request_number, e.body, e.not_modified)))
        return size


def main() -> None:
    """Measure all variants and print the table."""
    variants = {
        "no file": SocketlessRouter(None),
        "10 routes": SocketlessRouter(rules(10)),
        "10,000 routes": SocketlessRouter(rules(10_000)),
    }
    costs: dict[str, list[float]] = {name: [] for name in variants}
    for router in variants.values():
        assert sum(router.request() > 500 for _ in range(BATCH)) == BATCH, "every request is served"
    for round_number in range(ROUNDS):
        names = list(variants)
        for name in names[round_number % 3 :] + names[: round_number % 3]:
            began = time.process_time_ns()
            for _ in range(BATCH):
                variants[name].request()
            costs[name].append((time.process_time_ns() - began) / BATCH)
    print(f"{'compiled' if COPY.is_dir() else 'plain'}, {ROUNDS} rounds of {BATCH} requests")
    for name, costs_ns in costs.items():
        ratio = median(a / b for a, b in zip(costs_ns, costs["no file"], strict=True))
        print(
            f"{name:14} {median(costs_ns) / 1000:7.1f} us of CPU per request   ratio to no file {ratio:6.3f}"
        )
    ratio_to_10_routes = median(
        a / b for a, b in zip(costs["10,000 routes"], costs["10 routes"], strict=True)
    )
    print(f"10,000 routes cost {ratio_to_10_routes:.3f} times as much as 10 routes")


if __name__ == "__main__":
    main()
