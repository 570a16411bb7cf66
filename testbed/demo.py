"""The demo of `./demo`: stand-in servers, a router with examples/operator.kdl, and a few requests."""

from __future__ import annotations

import sys

from kelpcroft.cli.common import read_settings
from kelpcroft.operator_file import load
from kelpcroft.operator_file.explain import RequestAttributes, find_route
from testbed.router_process import RouterProcess
from testbed.stand_ins import ROOT, ScriptedResponse, ServerCommand, StandInServers

ZONE = "edge-1"
FAILING_OBJECT = "00000000000000aa"  # the first response to each request for this object is an error


def script(server: str, command: ServerCommand) -> ScriptedResponse:
    """Caches hold pages, orders run at the origin, and requests for one object fail at first."""
    if (
        command.fields["item"] == FAILING_OBJECT
        and len(ATTEMPTED_SERVERS.setdefault(command.request_id, [])) == 0
    ):
        ATTEMPTED_SERVERS[command.request_id].append(server)
        return ScriptedResponse("BROKE")
    return ScriptedResponse(
        "DONE", 3, "mem" if server.startswith("cache") else "origin", f"by {server}".encode()
    )


ATTEMPTED_SERVERS: dict[str, list[str]] = {}


def main() -> int:
    """Send the requests; return exit code 0 if each got the response that its route requires."""
    text = (ROOT / "examples/operator.kdl").read_text()
    file, faults = load(text.encode())
    if faults:
        print(faults[0].format_for("examples/operator.kdl"), file=sys.stderr)
        return 1
    classes = {c.name: c for c in read_settings(str(ROOT / "examples/config.json")).classes}
    is_as_expected = True
    with StandInServers(script) as stand_ins, RouterProcess(stand_ins, text) as router:
        print(f"a router on {router.address[0]}:{router.address[1]}, two caches, a parent and the origin\n")
        client = router.client()
        print(f"{'class':8}{'object':20}{'part':>5}  {'route':8}{'result':9}{'sent to':22}{'ms':>6}")
        for cls, object_id, part in (
            ("page", "7f3a9c21e0b4d655", 0),
            ("page", "7f3a9c21e0b4d655", 9),
            ("page", FAILING_OBJECT, 1),
            ("page", FAILING_OBJECT, 12),
            ("order", "00000000000000bb", 0),
            ("order", FAILING_OBJECT, 0),
        ):
            route = find_route(
                file, ZONE, RequestAttributes(classes[cls], object_id, part, 17, write=cls == "order")
            )
            trace = client.send_request(
                cls, object=object_id, part=part, body=b"one dish" if cls == "order" else b""
            )
            response = next(client.responses(1))
            attempted = [s.server for s in stand_ins.requests(trace)]
            print(
                f"{cls:8}{object_id:20}{part:>5}  {route.name if route else '-':8}{response.kind:9}"
                f"{' then '.join(attempted):22}{response.latency_ms:6.1f}"
            )
            # An order that got an error may have been executed: it fails and is not sent again.
            must_fail = cls == "order" and object_id == FAILING_OBJECT
            is_as_expected &= response.kind == ("failed" if must_fail else "served")
            is_as_expected &= len(attempted) == (2 if object_id == FAILING_OBJECT and not must_fail else 1)
    print("\nevery result is as its route requires" if is_as_expected else "\nNOT as the routes require")
    return 0 if is_as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
