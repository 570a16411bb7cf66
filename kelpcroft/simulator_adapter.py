"""Adapter between the simulator's wire, on standard input and output, and the decision package.

It runs one routing policy for each simulated router and only translates events and actions.  A malformed line
ends the process with status 2 and an error message that contains the line.  An exception raised inside the
decision package is reported on the wire as an ``Exception`` message.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import IO, Any, Final, NamedTuple, NoReturn

from kelpcroft.decision import interface as api
from kelpcroft.decision.policy import RoutingPolicy
from kelpcroft.settings_wire import MachineKinds, parse_settings

Message = list[Any]  # one line of the wire: the message's name, followed by positional values
MIN_FIELD_COUNTS: Final = {  # minimum number of values after the name of each message
    "Hello": 3,
    "Down": 1,
    "Roster": 2,
    "Sync": 4,
    "Ingress": 11,
    "Streaming": 5,
    "AttemptEnd": 9,
    "Abandoned": 2,
    "DeadlineHit": 2,
    "ProbeResult": 5,
    "Mail": 3,
    "Purged": 4,
}
MIN_ROSTER_ENTRY_FIELDS: Final = 5  # minimum number of values of one server in a "Roster" message
MIN_TURN_FIELDS: Final = 3  # minimum length of a "Turn" message: its name, the time and the batch number
MAX_QUOTED_LINE: Final = 200  # maximum number of characters of a malformed line in the error message
MALFORMED_STATUS: Final = 2  # exit status after a malformed line
COALESCE_FLAG: Final = 1  # flag of a "Get" message for ``ForwardRequest.coalesce``
CACHED_ONLY_FLAG: Final = 2  # flag of a "Get" message for ``ForwardRequest.cached_only``
NO_PARENT_COPY_FLAG: Final = 4  # flag of a "Get" message for ``ForwardRequest.no_parent_copy``
REFRESH_FLAG: Final = 8  # flag of a "Get" message for ``ForwardRequest.refresh_in_background``


class MalformedLineError(Exception):
    """Raised for a line that does not follow the simulator's protocol."""


class SimulatedRouter:
    """One router of the simulation: its routing policy, and the names needed to parse its messages.

    Attributes:
        kinds: The names that the router's settings give to the kinds of machine.
        report_fields: The names of a load report's values.
        policy: The router's routing policy.
        startup_actions: The actions of the router when it starts.
    """

    def __init__(self, now_ns: int, seed: int, options: dict[str, Any]) -> None:
        settings = parse_settings(options, seed)
        self.kinds = MachineKinds(options)
        self.report_fields = settings.load_report_fields
        self.policy = RoutingPolicy(settings)
        self.startup_actions = self.policy.start(now_ns)

    def parse_report(self, values: list[float] | None) -> dict[str, float]:
        """Return a load report as a mapping from field names to values, without absent values."""
        named = zip(self.report_fields, values or [], strict=False)
        return {name: value for name, value in named if value is not None}


class AddressedActions(NamedTuple):
    """The actions of a simulated router, with the router's number."""

    router: int
    actions: Iterable[api.Action]


def parse_event(
    name: str, values: Message, router: SimulatedRouter, rosters: dict[int, list[Message]]
) -> api.Event:
    """Parse one event of the wire into an event of the decision package.

    Args:
        name: The event's name.
        values: The event's values; the first is the router's number.
        router: The router that receives the event.
        rosters: The endpoint lists received so far, by their number.
    """
    event: api.Event
    match name:
        case "Sync":
            is_unavailable = values[2] == "unavailable"
            servers = () if is_unavailable else _parse_roster(rosters[values[1]], router.kinds)
            event = api.EndpointListChanged(values[2], servers)
        case "Ingress":
            event = _parse_request(values)
        case "AttemptEnd":
            event = _parse_attempt_end(values, router)
        case "Streaming":
            event = api.ResponseStarted(values[1], values[4] or 0, values[2], values[3] or 0)
        case "Abandoned":
            event = api.ClientDisconnected(values[1])
        case "DeadlineHit":
            event = api.TimerExpired(values[1])
        case "ProbeResult":
            report = router.parse_report(values[4])
            event = api.ProbeFinished(values[2], api.Outcome(values[1]), values[3] or 0, report)
        case "Mail":
            event = api.PeerMessage(values[1] or 0, values[2] or "")
        case _:
            event = api.Purged(values[1], values[3] or 0, values[2] or 0)
    return event


def _parse_roster(entries: list[Message], kinds: MachineKinds) -> tuple[api.Server, ...]:
    return tuple(
        api.Server(
            name=entry[0],
            role=kinds.role_of(entry[2]),
            zone=entry[1],
            cell=entry[3] or 0,
            state=entry[4],
            weight=float(_value_at(entry, 5, 1)) or 1.0,
            started_ns=int(_value_at(entry, 6, 0)),
        )
        for entry in entries
    )


def _parse_request(values: Message) -> api.Request:
    return api.Request(
        id=values[1],
        time_remaining_ns=values[2],
        is_retry=bool(values[3]),
        part=values[4] or 0,
        is_write=bool(values[5]),
        object_id=values[6] or 0,
        purge_group=values[7] or 0,
        size_kb=values[8] or 0,
        tenant=str(values[9] or ""),
        class_name=values[10],
    )


def _parse_attempt_end(values: Message, router: SimulatedRouter) -> api.AttemptEnded:
    return api.AttemptEnded(
        id=values[1],
        attempt=values[2] or 0,
        server=values[3],
        outcome=api.Outcome(values[4]),
        elapsed_ns=values[5] or 0,
        is_final=bool(values[6]),
        fill_result=api.FillResult(values[7] or 0),
        first_byte_ns=values[8] or 0,
        load_report=router.parse_report(_value_at(values, 9, None)),
    )


def _value_at(values: Message, index: int, default: Any) -> Any:
    """Return a value of a message, or the default if the value is null or missing at the end."""
    return values[index] if index < len(values) and values[index] is not None else default


def encode_action(router: int, action: api.Action) -> Message:
    """Encode one action of the decision package as a message of the wire."""
    match action:
        case api.ForwardRequest():
            message = _encode_forward(router, action)
        case api.Cancel(request_id, attempt):
            message = ["Revoke", router, request_id, attempt]
        case api.Reject(request_id, retry_after_ns):
            message = ["Refuse", router, request_id, retry_after_ns]
        case api.Fail(request_id):
            message = ["Lose", router, request_id]
        case api.SetTimer(label, at_ns):
            message = ["Schedule", router, label, at_ns]
        case api.Probe(server):
            message = ["Probe", router, server]
        case api.Subscribe():
            message = ["KeepInformed", router, True]
        case api.Log(text):
            message = ["WriteLog", router, text]
        case _:
            raise MalformedLineError(
                f"the simulator's wire has no message for {type(action).__name__},"
                " which a policy returns only for routes with a retry policy"
            )
    return message


def _encode_forward(router: int, action: api.ForwardRequest) -> Message:
    flags = (
        action.coalesce * COALESCE_FLAG
        + action.cached_only * CACHED_ONLY_FLAG
        + action.no_parent_copy * NO_PARENT_COPY_FLAG
        + action.refresh_in_background * REFRESH_FLAG
    )
    return [
        "Get",
        router,
        action.id,
        action.server,
        action.timeout_ns,
        flags,
        action.fill_source,
        action.max_age_ns,
        action.retention_rank,
    ]


class SimulatorHost:
    """Reads batches of events and writes the actions that follow from them.

    Attributes:
        out: The stream that messages are written to.
        now_ns: The time of the open batch.
        rosters: The endpoint lists received so far, by their number.
        routers: The running routers, by their number.
    """

    def __init__(self, out: IO[str]) -> None:
        self.out = out
        self.now_ns = 0
        self.rosters: dict[int, list[Message]] = {}
        self.routers: dict[int, SimulatedRouter] = {}

    def run(self, lines: Iterable[str]) -> None:
        """Process all batches until the end of input.

        Raises:
            SystemExit: A line is malformed.
        """
        open_batch: int | None = None
        for line_number, line in enumerate(lines, 1):
            if not line.strip():
                continue
            try:
                open_batch = self._process_framed(json.loads(line), open_batch)
            except (MalformedLineError, json.JSONDecodeError) as error:
                exit_malformed(line_number, line, error)

    def _process_framed(self, message: Any, open_batch: int | None) -> int | None:
        """Process one message; return the number of the batch that is open after it, or None."""
        if isinstance(message, list) and message[:1] == ["Turn"]:
            if open_batch is not None or len(message) < MIN_TURN_FIELDS:
                raise MalformedLineError("Turn inside an open batch, or without time and batch number")
            if not all(isinstance(value, int) for value in message[1:3]):
                raise MalformedLineError("Turn: time or batch number is not an integer")
            self.now_ns = message[1]
            batch: int = message[2]
            return batch
        if open_batch is None:
            raise MalformedLineError("message outside a batch")
        if message == ["End"]:
            self.write_line(["Next", open_batch])
            self.out.flush()
            return None
        self.process_message(message)
        return open_batch

    def process_message(self, message: Any) -> None:
        """Process one message of the open batch, and write the actions that follow from it."""
        if not isinstance(message, list) or not message or message[0] not in MIN_FIELD_COUNTS:
            raise MalformedLineError("unknown message")
        name = message[0]
        if len(message) - 1 < MIN_FIELD_COUNTS[name]:
            raise MalformedLineError(
                f"{name}: {len(message) - 1} values, expected at least {MIN_FIELD_COUNTS[name]}"
            )
        if name == "Roster":
            self._read_roster(message)
            return
        if not isinstance(message[1], int):
            raise MalformedLineError(f"{name}: instance {message[1]!r} is not an integer")
        try:
            addressed = self.dispatch(message)
        except MalformedLineError:
            raise
        except Exception as error:  # a failure of the decision package, for which the wire has a message
            print(f"decision error: {error!r}", file=sys.stderr)
            self.write_line(["Exception", message[1], f"{type(error).__name__}: {error}"])
            return
        for action in addressed.actions:
            self.write_line(encode_action(addressed.router, action))

    def _read_roster(self, message: Message) -> None:
        number, entries = message[1:3]
        if not isinstance(entries, list) or any(
            not isinstance(entry, list) or len(entry) < MIN_ROSTER_ENTRY_FIELDS for entry in entries
        ):
            raise MalformedLineError("Roster: not a list of servers, or a server with too few values")
        self.rosters[number] = entries

    def dispatch(self, message: Message) -> AddressedActions:
        """Pass one event to its router and return the router's actions."""
        name = message[0]
        values = message[1:]
        number = values[0]
        if name == "Hello":
            try:
                router = SimulatedRouter(self.now_ns, int(values[1] or 0), values[2])
            except (api.SettingsError, KeyError, TypeError) as error:
                raise MalformedLineError(f"settings: {error}") from error
            self.routers[number] = router
            return AddressedActions(number, router.startup_actions)
        if name == "Down":
            self.routers.pop(number, None)
            return AddressedActions(number, ())
        if number not in self.routers:
            return AddressedActions(number, ())
        router = self.routers[number]
        try:
            event = parse_event(name, values, router, self.rosters)
        except (ValueError, KeyError, TypeError, IndexError) as error:
            raise MalformedLineError(f"{name}: {error}") from error
        return AddressedActions(number, router.policy.handle(self.now_ns, event))

    def write_line(self, value: Message) -> None:
        """Write one message as a line."""
        self.out.write(json.dumps(value, separators=(",", ":")) + "\n")


def exit_malformed(number: int, text: str, error: Exception) -> NoReturn:
    """Report a malformed line and its error on standard error, and exit with a failure status."""
    print(f"line {number}: {error}: {text.strip()[:MAX_QUOTED_LINE]}", file=sys.stderr)
    raise SystemExit(MALFORMED_STATUS)


def main() -> None:
    """Process messages from standard input."""
    SimulatorHost(sys.stdout).run(sys.stdin)


if __name__ == "__main__":
    main()
