"""The demo of `./demo`: stand-in servers, a router with examples/operator.kdl, and a few requests."""

from __future__ import annotations

import sys

from kelpcroft.cli.common import read_settings
from kelpcroft.operator_file import load
from kelpcroft.operator_file.explain import RequestAttributes, find_route
from testbed.router_process import RouterProcess
from testbed.stand_ins import ROOT, ScriptedReply, ServerCommand, StandInServers

ZONE = "edge-1"
TROUBLED = "00000000000000aa"  # the first response to each request for this object is an error


def script(server: str, seen: ServerCommand) -> ScriptedReply:
    """Caches hold pages, orders run at the origin, and requests for one object fail at first."""
    if seen.fields["item"] == TROUBLED and len(SEEN.setdefault(seen.request_id, [])) == 0:
        SEEN[seen.request_id].append(server)
        return ScriptedReply("BROKE")
    return ScriptedReply(
        "DONE", 3, "mem" if server.startswith("cache") else "origin", f"by {server}".encode()
    )


SEEN: dict[str, list[str]] = {}


def main() -> int:
    """Send the requests: exit code 0 if each got the response that its route requires."""
    text = (ROOT / "examples/operator.kdl").read_text()
    file, faults = load(text.encode())
    if faults:
        print(faults[0].format_for("examples/operator.kdl"), file=sys.stderr)
        return 1
    classes = {c.name: c for c in read_settings(str(ROOT / "examples/config.json")).classes}
    good = True
    with StandInServers(script) as world, RouterProcess(world, text) as router:
        print(f"a router on {router.address[0]}:{router.address[1]}, two caches, a parent and the origin\n")
        client = router.client()
        print(f"{'class':8}{'object':20}{'part':>5}  {'route':8}{'answer':9}{'asked':22}{'ms':>6}")
        for cls, item, part in (
            ("page", "7f3a9c21e0b4d655", 0),
            ("page", "7f3a9c21e0b4d655", 9),
            ("page", TROUBLED, 1),
            ("page", TROUBLED, 12),
            ("order", "00000000000000bb", 0),
            ("order", TROUBLED, 0),
        ):
            route = find_route(
                file, ZONE, RequestAttributes(classes[cls], item, part, 17, write=cls == "order")
            )
            trace = client.send_request(
                cls, object=item, part=part, body=b"one dish" if cls == "order" else b""
            )
            answer = next(client.responses(1))
            asked = [s.server for s in world.requests(trace)]
            print(
                f"{cls:8}{item:20}{part:>5}  {route.name if route else '-':8}{answer.kind:9}"
                f"{' then '.join(asked):22}{answer.latency_ms:6.1f}"
            )
            # An order that got an error may have been executed: it fails and is not sent again.
            broken = cls == "order" and item == TROUBLED
            good &= answer.kind == ("failed" if broken else "served")
            good &= len(asked) == (2 if item == TROUBLED and not broken else 1)
    print("\neach as its route says" if good else "\nNOT as the routes say")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
