"""Adapter: the simulator's wire on standard input and output, one policy for each instance.

It translates and nothing else.  A malformed line ends it with a message that names the line; an error in the
decision module is reported on the wire as the fault that it is.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import IO, Any, NoReturn

from kelpcroft.decision import interface as i
from kelpcroft.decision.policy import RoutingPolicy

MIN_FIELD_COUNTS = {
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


def _at(values: Any, place: int, absent: Any) -> Any:
    """A list's value at a place, or what absence means."""
    return values[place] if values and place < len(values) and values[place] is not None else absent


def parse_settings(options: dict[str, Any], seed: int) -> i.Settings:
    """Settings from the wire's options; unknown keys are skipped."""
    fam: dict[str, Any] = options.get("family_info") or {}
    lim: dict[str, Any] = options.get("limits") or {}
    con: dict[str, Any] = options.get("contract") or {}
    rep: dict[str, Any] = options.get("report") or {}
    classes = []
    for n, c in enumerate(options.get("classes") or []):
        try:
            effect = i.Idempotency(c.get("idempotency") or "safe")
        except ValueError as error:
            raise i.SettingsError(f"classes[{n}].idempotency: {error}") from error
        classes.append(
            i.RequestClass(
                name=c["name"],
                idempotency=effect,
                dedup_scope=c.get("group") or "all",
                dedup_window_ns=int(c.get("dedup_window_ns") or 0),
                latency_objective_ns=int(c.get("aim_ns") or 0),
                objective_transfer_multiple=float(c.get("aim_stretch") or 0),
                deadline_ns=int(c.get("give_up_ns") or 0),
                priority_weight=float(_at([c.get("credit")], 0, 1)),
                late_value_share=float(c.get("late_value") or 0),
                streamed=bool(c.get("stream")),
                uncacheable=bool(_at(fam.get("goes_through"), n, False)),
                multipart=bool(_at(fam.get("multi_part"), n, False)),
                freshness_lifetime_ns=int(_at(fam.get("max_age_ns"), n, 0)),
                stale_grace_ns=int(_at(fam.get("usable_after_ns"), n, 0)),
                stale_value_share=float(_at(fam.get("old_copy_worth"), n, 1)),
            )
        )
    zones = tuple(options.get("dcs") or [])
    zone = options.get("az") or ""
    place = zones.index(zone) if zone in zones else 0
    instances = int(options.get("instances") or 1)
    return i.Settings(
        zone=zone,
        zones=zones,
        classes=tuple(classes),
        seed=seed,
        limits=i.Limits(
            may_cancel=bool(lim.get("may_cancel")),
            may_probe=bool(lim.get("probing")),
            may_message_peers=bool(lim.get("peers")),
            may_hedge=bool(lim.get("second_copies")),
            may_send_retry_after=bool(lim.get("retry_after")),
            max_retry_after_ns=int(lim.get("max_retry_after_ns") or 0),
            max_attempts=int(_at([lim.get("most_tries")], 0, 1)),
            max_open_requests=int(lim.get("max_open") or 0),
            connect_timeout_ns=int(lim.get("dial_timeout_ns") or 0),
        ),
        rules=i.Rules(
            response_slack_ns=int(con.get("answer_slack_ns") or 0),
            drain_grace_ns=int(con.get("drain_grace_ns") or 0),
            cold_capacity_share=float(_at([con.get("cold_from")], 0, 1)),
            warm_up_ns=int(con.get("cold_ns") or 0),
            overload_collapse_multiple=float(_at([con.get("fall_multiple")], 0, 1)),
            overload_collapse_ns=int(con.get("fall_ns") or 0),
            parent_cold_capacity_share=float(_at([fam.get("parent_cold_from")], 0, 1)),
            parent_warm_up_ns=int(fam.get("parent_warms_in_ns") or 0),
            parent_overload_collapse_multiple=float(_at([fam.get("parent_fall_multiple")], 0, 1)),
            purge_grace_ns=int(fam.get("purge_grace_ns") or 0),
            purge_sweep_ns=int(fam.get("purge_takes_ns") or 0),
            discovery_poll_limit_ns=int(con.get("ask_within_ns") or 0),
        ),
        router_index=int(options.get("self_index") or 0),
        instances=instances,
        zone_instances=max(1, int(_at(fam.get("instances_by_zone"), place, instances))),
        hub_index_by_zone=tuple(fam.get("hub_of") or []),
        fill_link_kb_per_s=float(_at(fam.get("zone_link_kb_per_s"), place, 0)),
        max_transfer_kb_per_s=float(fam.get("pace_kb_per_s") or 0),
        allows_cache_bypass=bool(fam.get("may_pass_by")),
        siblings=fam.get("sideways") or "off",
        coalesces_fills=bool(fam.get("merges_fills")),
        notes=fam.get("notes_given") or "off",
        discovery=options.get("discovery") or "push",
        weight_source=options.get("weight_source") or "off",
        load_report_mode=rep.get("how") or "off",
        load_report_fields=tuple(rep.get("fields") or []),
        clock_tick_ns=int(options.get("tick_ns") or 1),
    )


class MachineKinds:
    """How one instance's settings name the kinds of machine that are parents and the origin."""

    def __init__(self, options: dict[str, Any]) -> None:
        fam = options.get("family_info") or {}
        kinds = options.get("machine_types") or []
        self.names = frozenset(kinds)
        self.parent = self._name(kinds, fam.get("shield_kind"))
        self.origin = self._name(kinds, fam.get("master_kind"))

    @staticmethod
    def _name(kinds: list[str], place: int | None) -> str | None:
        return kinds[place] if place is not None and 0 <= place < len(kinds) else None

    def role_of(self, kind: str) -> i.Role:
        """The role of a kind of machine."""
        if kind == self.origin:
            return i.Role.ORIGIN
        return i.Role.PARENT if kind == self.parent else i.Role.CACHE


class SimulatedRouter:
    """One gateway: its policy, and what is needed to read its lines."""

    def __init__(self, now_ns: int, seed: int, options: dict[str, Any]) -> None:
        settings = parse_settings(options, seed)
        self.kinds = MachineKinds(options)
        self.report_fields = settings.load_report_fields
        self.policy = RoutingPolicy(settings)
        self.startup_actions = self.policy.start(now_ns)

    def parse_report(self, row: list[float] | None) -> dict[str, float]:
        """A load report by field."""
        return {k: v for k, v in zip(self.report_fields, row or [], strict=False) if v is not None}


def parse_event(
    name: str, v: list[Any], inst: SimulatedRouter, rosters: dict[int, list[list[Any]]]
) -> i.Event:
    """One wire event as one of ours."""
    if name == "Sync":
        entries = (
            ()
            if v[2] == "unavailable"
            else tuple(
                i.Server(
                    name=e[0],
                    role=inst.kinds.role_of(e[2]),
                    zone=e[1],
                    cell=e[3] or 0,
                    state=e[4],
                    weight=float(_at(e, 5, 1)) or 1.0,
                    started_ns=int(_at(e, 6, 0)),
                )
                for e in rosters[v[1]]
            )
        )
        return i.ServerList(v[2], entries)
    if name == "Ingress":
        return i.Request(
            id=v[1],
            time_remaining_ns=v[2],
            is_retry=bool(v[3]),
            part=v[4] or 0,
            is_write=bool(v[5]),
            object_id=v[6] or 0,
            purge_group=v[7] or 0,
            size_kb=v[8] or 0,
            tenant=str(v[9] or ""),
            class_name=v[10],
        )
    if name == "AttemptEnd":
        return i.AttemptEnded(
            v[1],
            v[2] or 0,
            v[3],
            i.Outcome(v[4]),
            v[5] or 0,
            bool(v[6]),
            i.FillResult(v[7] or 0),
            v[8] or 0,
            inst.parse_report(_at(v, 9, None)),
        )
    if name == "Streaming":
        return i.ResponseStarted(v[1], v[4] or 0, v[2], v[3] or 0)
    if name == "Abandoned":
        return i.ClientDisconnected(v[1])
    if name == "DeadlineHit":
        return i.TimerExpired(v[1])
    if name == "ProbeResult":
        return i.ProbeFinished(v[2], i.Outcome(v[1]), v[3] or 0, inst.parse_report(_at(v, 4, None)))
    if name == "Mail":
        return i.PeerMessage(v[1] or 0, v[2] or "")
    return i.Purged(v[1], v[3] or 0, v[2] or 0)


def encode_action(gateway: int, a: i.Action) -> list[Any]:
    """One of our actions as a wire line."""
    if isinstance(a, i.ForwardRequest):
        switches = a.coalesce * 1 + a.cached_only * 2 + a.no_parent_copy * 4 + a.refresh_in_background * 8
        return [
            "Get",
            gateway,
            a.id,
            a.server,
            a.timeout_ns,
            switches,
            a.fill_source,
            a.max_age_ns,
            a.retention_rank,
        ]
    if isinstance(a, i.Cancel):
        return ["Revoke", gateway, a.id, a.attempt]
    if isinstance(a, i.Reject):
        return ["Refuse", gateway, a.id, a.retry_after_ns]
    if isinstance(a, i.Fail):
        return ["Lose", gateway, a.id]
    if isinstance(a, i.SetTimer):
        return ["Schedule", gateway, a.label, a.at_ns]
    if isinstance(a, i.Probe):
        return ["Probe", gateway, a.server]
    if isinstance(a, i.Subscribe):
        return ["KeepInformed", gateway, True]
    if isinstance(a, i.Log):
        return ["WriteLog", gateway, a.text]
    raise MalformedLine(f"{type(a).__name__} has no words on this wire, and without bounds is not asked for")


class MalformedLine(Exception):
    """A line that is not on the wire's page."""


class SimulatorHost:
    """Reads batches and writes replies."""

    def __init__(self, out: IO[str]) -> None:
        self.out = out
        self.rosters: dict[int, list[list[Any]]] = {}
        self.instances: dict[int, SimulatedRouter] = {}

    def dispatch(self, now_ns: int, m: list[Any]) -> tuple[int, Iterable[i.Action]]:
        """What one event makes its instance do."""
        name, v = m[0], m[1:]
        gateway = v[0]
        if name == "Hello":
            try:
                self.instances[gateway] = inst = SimulatedRouter(now_ns, int(v[1] or 0), v[2])
            except (i.SettingsError, KeyError, TypeError) as error:
                raise MalformedLine(f"settings: {error}") from error
            return gateway, inst.startup_actions
        if name == "Down":
            self.instances.pop(gateway, None)
            return gateway, ()
        if gateway not in self.instances:
            return gateway, ()
        inst = self.instances[gateway]
        try:
            event = parse_event(name, v, inst, self.rosters)
        except (ValueError, KeyError, TypeError, IndexError) as error:
            raise MalformedLine(f"{name}: {error}") from error
        return gateway, inst.policy.handle(now_ns, event)

    def read_line(self, m: Any) -> None:
        """One event line of the open batch."""
        if not isinstance(m, list) or not m or m[0] not in MIN_FIELD_COUNTS:
            raise MalformedLine("not a known message")
        if len(m) - 1 < MIN_FIELD_COUNTS[m[0]]:
            raise MalformedLine(f"{m[0]}: {len(m) - 1} values where {MIN_FIELD_COUNTS[m[0]]} are due")
        if m[0] == "Roster":
            if not isinstance(m[2], list) or any(not isinstance(e, list) or len(e) < 5 for e in m[2]):
                raise MalformedLine("Roster: an entry is too short")
            self.rosters[m[1]] = m[2]
            return
        if not isinstance(m[1], int):
            raise MalformedLine(f"{m[0]}: instance {m[1]!r} is not a number")
        try:
            gateway, actions = self.dispatch(self.now_ns, m)
        except MalformedLine:
            raise
        except Exception as error:  # the module's own fault: the wire has a message for it
            print(f"decision error: {error!r}", file=sys.stderr)
            self.write_line(["Exception", m[1], f"{type(error).__name__}: {error}"])
            return
        for action in actions:
            self.write_line(encode_action(gateway, action))

    def write_line(self, value: list[Any]) -> None:
        """One reply line."""
        self.out.write(json.dumps(value, separators=(",", ":")) + "\n")

    def run(self, lines: Iterable[str]) -> None:
        """All batches until input ends."""
        batch: int | None = None
        for number, text in enumerate(lines, 1):
            if not text.strip():
                continue
            try:
                m = json.loads(text)
                if isinstance(m, list) and m[:1] == ["Turn"]:
                    if batch is not None or len(m) < 3 or not all(isinstance(x, int) for x in m[1:3]):
                        raise MalformedLine("Turn out of place or not two numbers")
                    self.now_ns, batch = m[1], m[2]
                elif batch is None:
                    raise MalformedLine("outside a batch")
                elif m == ["End"]:
                    self.write_line(["Next", batch])
                    self.out.flush()
                    batch = None
                else:
                    self.read_line(m)
            except (MalformedLine, json.JSONDecodeError) as error:
                exit_malformed(number, text, error)


def exit_malformed(number: int, text: str, error: Exception) -> NoReturn:
    """Name the line and end with a failure."""
    print(f"line {number}: {error}: {text.strip()[:200]}", file=sys.stderr)
    raise SystemExit(2)


def main() -> None:
    """Serve standard input."""
    SimulatorHost(sys.stdout).run(sys.stdin)


if __name__ == "__main__":
    main()
