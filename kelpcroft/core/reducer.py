"""All changes to the router's state: an input and the time go in, effects come out.

No socket and no clock is read here, and nothing is decided here: which server, which source, when to give up
and what to refuse are the decision module's, to which each input that concerns it is handed as an event.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from kelpcroft.config import Config
from kelpcroft.core import effects, inputs
from kelpcroft.core.attempts import IDLE_SHARE, SPENT_NS, Attempts
from kelpcroft.core.client_requests import ClientRequests
from kelpcroft.core.config_reload import ConfigReload
from kelpcroft.core.effects import Effect
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.request_statistics import RequestStatistics
from kelpcroft.core.service_state import ServiceMode, ServiceState
from kelpcroft.core.state import MS, SECOND, OpenRequest, State
from kelpcroft.decision import interface as api
from kelpcroft.deployment_check.missing_features import missing_features
from kelpcroft.invariants import holds, violation_summary, violations
from kelpcroft.startup import RestartOverlap, StartupOptions
from kelpcroft.store.identity import settings_digest

if TYPE_CHECKING:
    from kelpcroft.operator_file.model import ControlReplicas

HOUSE_NS = SECOND  # between looks at idle connections
COUNT_NS = 10 * SECOND  # between lines of counters in the log
ACCEPT_NS = 500 * MS  # connections are taken so long after SIGTERM
LAME_NS = 800 * MS  # and requests on open ones at least so long
SHUTDOWN_LAST_STEP = 2  # the step of the planned end after which the process is over


class Reducer:
    """Dispatch of inputs to the parts that own them.  ``handle`` is the only way to change the state."""

    def __init__(self, config: Config) -> None:
        self.state = State(config)
        self.requests = ClientRequests(self.state)
        self.attempts = Attempts(self.state, self.requests)
        self.endpoint_list = EndpointList(self.state, self.attempts, self.drive)
        self.tuning = ConfigReload(self.state, self.endpoint_list)
        self.listening = self.is_shutting_down = False
        self.service_state = ServiceState(shares_listener=config.inherited_listener_fd is not None)
        self.clients: set[int] = set()  # connections of clients that are open
        self.ended_ns = 0
        self.counted_ns = self.began_ns = 0
        self.identity, self.rules_digest = inputs.ProcessIdentity("", ""), ""
        self.restart_overlap = RestartOverlap(config.settings, self.service_state.shares_listener)

    def start(
        self,
        now: int,
        begin: StartupOptions | None = None,
        crash_loop_delay_ns: int = 0,
        replicas: ControlReplicas | None = None,
    ) -> list[Effect]:
        """The first effects: what was known at the start is taken in, and the feed is asked for the rest.
        ``begin`` and ``replicas``: what the operator's file says of starts and of the feed; the first call of
        the list is made ``gentle_ns`` later where the router starts again and again."""
        self.state.now, self.state.effects = now, []
        self.began_ns = now
        self.act(self.state.policy.start(now))
        self.restart_overlap.start(now)
        self.take_part()
        self.take_bounds(begin or StartupOptions())
        self.endpoint_list.start(begin or StartupOptions(), crash_loop_delay_ns, replicas)
        self.tell_deployment()
        self.state.wake(HOUSE_NS, TimerKind.HOUSEKEEPING)
        self.counted_ns = now
        self.drive()
        return self.state.effects

    def tell_deployment(self) -> None:
        """At the start, one line for what the deployment lacks and one for what is odd in its settings."""
        s = self.state
        missing = missing_features(
            s.settings, frozenset(n.server.role for n in s.policy.endpoints.values()) or None
        )
        if missing:
            s.log(
                "deployment.lacks",
                f"this deployment has no {', '.join(missing)}",
                "info",
                {"lacks": list(missing)},
            )
        if s.config.warnings:
            s.log(
                "deployment.doubts",
                "; ".join(map(str, s.config.warnings)),
                "warning",
                {"doubts": [f"{d.place}: {d.found}" for d in s.config.warnings]},
            )

    def handle(self, now: int, message: inputs.Input) -> list[Effect]:
        """One input."""
        self.state.now, self.state.effects = now, []
        if isinstance(message, inputs.ClientRequest):
            if self.service_state.admits(now):
                self.requests.on_call(message)
            else:
                self.requests.turn_away(message, "sent away")
        elif isinstance(message, inputs.ServerResponse):
            self.attempts.on_answer(message)
        elif isinstance(message, inputs.TimerFired):
            self.on_due(*message.key)
        elif isinstance(message, inputs.CancelRequest):
            request = self.state.requests_by_client.get(message.client, {}).get(message.request_number)
            if request:
                self.state.counters["cancelled by client"] += 1
                self.gone(request)
        elif isinstance(message, inputs.HealthRequest):
            self.state.effects.append(
                effects.SendHealth(message.client, message.request_number, not self.unready())
            )
        elif isinstance(message, inputs.ControlRequest):
            self.on_control(message)
        elif isinstance(message, inputs.PredecessorState):
            self.on_handover(message)
        elif isinstance(message, inputs.ClientConnected):
            self.clients.add(message.client)
        elif isinstance(message, inputs.ClientDisconnected):
            self.clients.discard(message.client)
            for request in list(self.state.requests_by_client.get(message.client, {}).values()):
                self.gone(request)
            self.state.requests_by_client.pop(message.client, None)
        elif isinstance(message, inputs.ServerConnected):
            self.attempts.on_up(message.connection)
        elif isinstance(message, inputs.ServerConnectionLost):
            self.attempts.on_lost(message)
        elif isinstance(message, inputs.PartialResponse):
            link = self.state.connections.by_number.get(message.connection)
            if link:
                link.has_partial_response = message.is_incomplete
        elif isinstance(message, inputs.WatchResponse):
            self.endpoint_list.on_news(message)
        elif isinstance(message, inputs.WatchFailed):
            self.endpoint_list.on_feed_lost(message)
        elif isinstance(message, inputs.ProcessStalled):
            self.endpoint_list.on_stalled()
        elif isinstance(message, inputs.ListenersReady):
            self.listening = True
            self.restart_overlap.on_serving(now)
        elif isinstance(message, inputs.PredecessorEnded):
            if message.ended_at_ns >= self.began_ns:  # an earlier one was of a process before the one beside
                self.restart_overlap.on_predecessor_ended(now, message.ended_at_ns)
        elif isinstance(message, inputs.ConfigFileRead):
            self.tuning.on_reload(message)
        elif isinstance(message, inputs.OperatorFileRead):
            self.on_rules(message)
        elif isinstance(message, inputs.ProcessIdentity):
            self.identity = message
        else:
            self.on_terminate()
        self.drive()
        return self.state.effects

    def gone(self, request: OpenRequest) -> None:
        """A client has stopped waiting: nothing further begins, wherever calling off is allowed or not."""
        self.requests.gone(request)
        self.attempts.forsake(request)

    def on_due(self, timer: TimerKind, number: int, more: int) -> None:
        if timer is TimerKind.ATTEMPT_TIMEOUT:
            attempt = self.state.attempts.get(number)
            if attempt:
                self.attempts.on_silent(attempt)
        elif timer is TimerKind.DECISION:
            self.state.events.append(api.TimerExpired(number))
        elif timer is TimerKind.CONNECT_TIMEOUT:
            link = self.state.connections.by_number.get(number)
            if link and not link.up:
                self.state.effects.append(effects.CloseServerConnection(number))
                self.attempts.on_lost(inputs.ServerConnectionLost(number, "no connection in time", True))
        elif timer is TimerKind.HEALTH_CHECK_TIMEOUT:
            self.attempts.on_probe_late(number)
        elif timer is TimerKind.CONNECTION_SILENCE:
            self.attempts.on_quiet(number)
        elif timer is TimerKind.HEDGE:
            self.attempts.on_copy_due(number, more)
        elif timer is TimerKind.RETRY_BACKOFF:
            self.attempts.on_again(number)
        elif timer is TimerKind.POLL_FEED:
            self.endpoint_list.call()
        elif timer is TimerKind.HOUSEKEEPING:
            self.keep_house()
        elif timer is TimerKind.RESTART_OVERLAP:
            self.take_part()
        elif timer is TimerKind.SETTINGS_TRANSITION:
            self.tuning.on_settle(number)
        else:
            self.on_lame(number)

    def unready(self) -> str:
        """Why this process does not take clients now, or "" where it does."""
        return (
            "ending"
            if self.is_shutting_down
            else "out of service"
            if self.service_state.mode is ServiceMode.OUT_OF_SERVICE
            else "not listening yet"
            if not self.listening
            else "no list of servers yet"
            if not self.endpoint_list.listed
            else ""
        )

    def on_control(self, call: inputs.ControlRequest) -> None:
        """A call on the control address, answered in the same turn.  A drain lets clients go once nothing is
        owed them; the process goes on serving what it has taken, and stays to be taken back."""
        s, verb, since = self.state, call.verb, self.service_state.since_ns
        if verb is inputs.ControlVerb.OUT_OF_SERVICE and self.service_state.drain(s.now):
            fields = {"open": len(s.requests), "clients": len(self.clients)}
            s.log(
                "service.out",
                f"out of service: clients are let go; {fields['open']} requests open, "
                f"{fields['clients']} clients",
                "info",
                dict(fields),
            )
            s.effects += [effects.DrainClients(True), effects.PersistServiceState(False, s.now)]
        elif verb is inputs.ControlVerb.IN_SERVICE and self.service_state.resume(s.now):
            s.log(
                "service.in",
                f"in service again after {(s.now - since) / SECOND:.1f} s",
                "info",
                {"out_s": round((s.now - since) / SECOND, 3)},
            )
            s.effects += [effects.DrainClients(False), effects.PersistServiceState(True, s.now)]
        why = self.unready()
        if verb is inputs.ControlVerb.STATE:
            s.effects.append(effects.ControlResponse(call.caller, True, self.whole_state(why)))
            return
        told: dict[str, object] = {"ready": not why, "service": self.service_state.mode.value}
        if why:
            told["why"] = why
        s.effects.append(
            effects.ControlResponse(call.caller, verb is not inputs.ControlVerb.READY or not why, told)
        )

    def take_part(self) -> None:
        """Have the module know what part of its router's cold budgets this process has now."""
        part = self.restart_overlap.budget_share(self.state.now)
        self.state.share(part)
        if part < 1:
            if self.service_state.shares_listener:
                self.state.effects.append(effects.ReadPredecessorState())
            self.state.wake(
                min(SECOND, max(MS, self.restart_overlap.overlap_ends_ns - self.state.now)),
                TimerKind.RESTART_OVERLAP,
            )

    def take_bounds(self, begin: StartupOptions) -> None:
        """What the operator's file says of counting the zone's routers, and of the store."""
        if begin.limit_origin_fetches and self.state.origin_limit is None:
            from kelpcroft.startup.origin_concurrency import OriginConcurrencyLimit

            self.state.origin_limit = OriginConcurrencyLimit(self.state.now)
        elif not begin.limit_origin_fetches:
            self.state.origin_limit = None
        self.state.share(self.state.part)
        if begin.estimate_fleet_size and self.state.fleet_size is None:
            from kelpcroft.startup.fleet_size import FleetSizeEstimator

            self.state.fleet_size = FleetSizeEstimator(self.state.config.settings.zone_instances)
        elif not begin.estimate_fleet_size and self.state.fleet_size is not None:
            self.state.fleet_size = None
            self.reckon(self.state.config.settings.zone_instances)

    def reckon(self, routers: int) -> None:
        """Have the module reckon with so many routers in this zone, and with as many more or fewer in all."""
        s, said = self.state, self.state.config.settings
        if routers != s.settings.zone_instances:
            s.log(
                "start.routers",
                f"{routers} routers in this zone are reckoned with, by caches' reports; "
                f"the settings say {said.zone_instances}",
                "info",
                {"routers": routers, "said": said.zone_instances},
            )
            whole = max(routers, round(said.instances * routers / said.zone_instances))
            s.retune(replace(s.settings, zone_instances=routers, instances=whole))

    def whole_state(self, why: str) -> dict[str, object]:
        """What this process is and what became of its requests: bounded, and of no effect on any."""
        s = self.state
        return {
            "name": s.config.name,
            "instance": self.identity.instance,
            "build": self.identity.build,
            "settings": settings_digest(s.used.get("settings")),
            "rules": self.rules_digest,
            "started_ms": self.began_ns // MS,
            "now_ms": s.now // MS,
            "ready": not why,
            "why": why,
            "service": self.service_state.mode.value,
            "since_ms": self.service_state.since_ns // MS,
            "open": len(s.requests),
            "attempts": len(s.attempts),
            "connections": len(s.connections.by_number),
            "clients": len(self.clients),
            "invariants": sum(violations.values()),
            "classes": s.ledger.as_json() if s.ledger else {},
        }

    def on_handover(self, handed: inputs.PredecessorState) -> None:
        """At the start: an operator's drain outlives the process that heard it."""
        s = self.state
        if handed.is_in_service is None:
            if handed.reason:
                s.log(
                    "handover.refused",
                    f"state of the last process not taken: {handed.reason}",
                    "warning",
                    {"why": handed.reason},
                )
        elif not handed.is_in_service and self.service_state.drain(handed.since_ns):
            s.log(
                "service.out",
                "out of service, as the last process was: clients are let go",
                "info",
                {"since_s": round((s.now - handed.since_ns) / SECOND, 3), "handed": True},
            )
            s.effects.append(effects.DrainClients(True))

    def on_rules(self, rules: inputs.OperatorFileRead) -> None:
        """The operator's file was read.  Open requests keep what they were granted; one that may not be used
        changes nothing."""
        s = self.state
        if rules.file is None:
            s.log(
                "rules.refused",
                f"operator's file not taken: {rules.first_error}; {rules.error_count} in all",
                "warning",
                {"first": rules.first_error, "faults": rules.error_count},
            )
            return
        if s.routes is not None:
            s.routes.replace(rules.file, s.now)
        elif rules.file.routes:
            from kelpcroft.routes import RouteTable  # nothing of it is imported before a file wants it

            settings = s.config.settings
            s.routes = RouteTable(rules.file, settings.zone, settings.seed, s.now)
        self.rules_digest = rules.digest
        self.endpoint_list.begin(rules.file.start_options)
        self.endpoint_list.follow(rules.file.control_replicas)
        self.take_bounds(rules.file.start_options)
        if rules.file.exposes_state != (s.ledger is not None):
            s.ledger = RequestStatistics() if rules.file.exposes_state else None
            s.effects.append(effects.SetStateEndpoint(rules.file.exposes_state))
        count = len(rules.file.routes)
        s.log("rules.taken", f"operator's file taken: {count} routes", "info", {"routes": count})

    def on_terminate(self) -> None:
        """Connections and requests go on coming for a while; then all that was taken is served first."""
        if not self.is_shutting_down:
            self.is_shutting_down, self.ended_ns = True, self.state.now
            count = len(self.state.requests)
            self.state.log("router.ending", f"ending: {count} requests open", "info", {"open": count})
            self.service_state.end(self.state.now)
            if self.service_state.shares_listener:
                # Another process holds the same listening socket: it takes what queues there from now on.
                self.state.effects += [effects.StopAccepting(), effects.DrainClients(True)]
            else:
                self.state.wake(ACCEPT_NS, TimerKind.SHUTDOWN, 1)
            self.state.wake(LAME_NS, TimerKind.SHUTDOWN, SHUTDOWN_LAST_STEP)

    def on_lame(self, step: int) -> None:
        if step == 1:
            self.state.effects.append(effects.StopAccepting())
        elif not self.service_state.may_exit(self.state.now, len(self.state.requests), len(self.clients)):
            self.state.wake(10 * MS, TimerKind.SHUTDOWN, SHUTDOWN_LAST_STEP)
        else:
            self.count()
            if self.service_state.shares_listener:
                self.state.effects.append(
                    effects.PersistServiceState(
                        not self.service_state.drained,
                        self.service_state.since_ns,
                        self.state.now,
                        self.ended_ns,
                    )
                )
            self.state.effects.append(effects.Exit())

    def keep_house(self) -> None:
        """Idle connections go before their server closes them: a request must not meet that close."""
        self.state.wake(HOUSE_NS, TimerKind.HOUSEKEEPING)
        if self.state.fleet_size is not None:
            self.reckon(self.state.fleet_size.estimated_routers(self.state.now))
        idle = int(IDLE_SHARE * self.state.config.server_idle_timeout_ns)
        for link in list(self.state.connections.by_number.values()):
            for id in [i for i, at in link.spent.items() if self.state.now - at > SPENT_NS]:
                del link.spent[id]
            if link.up and not link.load() and idle and self.state.now - link.idle_ns > idle:
                link.shunned = True
                self.attempts.rest(link)
        if self.state.now - self.counted_ns >= COUNT_NS:
            self.count()

    def count(self) -> None:
        """Counters for the log, broken invariants with them."""
        s, self.counted_ns = self.state, self.state.now
        tally = ", ".join(f"{k} {v}" for k, v in s.counters.items())
        fields = {
            "open": len(s.requests),
            "attempts": len(s.attempts),
            "connections": len(s.connections.by_number),
        }
        s.log(
            "router.counters",
            ", ".join(f"{k} {v}" for k, v in fields.items())
            + f"; {tally}; broken invariants: {violation_summary() or 'none'}",
            "info",
            {**fields, **s.counters},
        )
        for name, row in s.routes.counters() if s.routes is not None else ():
            s.log(
                "route.counters",
                f"{name}: " + ", ".join(f"{k} {v}" for k, v in row.items()),
                "info",
                {"name": name, **row},
            )

    def drive(self) -> None:
        """Hand events to the module until it has seen all that its own actions caused."""
        while self.state.events:
            event = self.state.events.popleft()
            if self.state.routes is not None and isinstance(event, api.AttemptEnded):
                event = self.paid(event)
            self.act(self.state.policy.handle(self.state.now, event))
        if self.state.touched:
            touched, self.state.touched = self.state.touched, []
            for request in touched:
                # Rule 1: the module either tries on or answers; it has no reason to sit on a request.
                if request.answered or request.out or request.waits:
                    continue
                if not holds(False, "a request is tried or answered"):
                    self.requests.finish(
                        request, effects.FailRequest(request.message.client, request.message.request_number)
                    )

    def paid(self, event: api.AttemptEnded) -> api.AttemptEnded:
        """An attempt's end with what the route's budget has now: of many that end at once, as on a lost
        connection, those before have taken from it."""
        request = self.state.requests.get(int(event.id))
        if request is None or request.grant is None or request.grant.can_retry(self.state.now):
            return event
        return replace(event, retry_budget_available=False)

    def act(self, actions: list[api.Action]) -> None:
        for a in actions:
            if isinstance(a, api.ForwardRequest):
                self.attempts.fetch(a)
            elif isinstance(a, api.SetTimer):
                self.state.effects.append(effects.ScheduleTimer(a.at_ns, (TimerKind.DECISION, a.label, 0)))
            elif isinstance(a, api.BackOff):
                self.attempts.wait(a)
            elif isinstance(a, api.Cancel):
                self.attempts.cancel(a)
            elif isinstance(a, (api.Reject, api.Fail)):
                self.requests.give_up(a)
            elif isinstance(a, api.Log):
                self.state.log("module.says", a.text)
            elif isinstance(a, api.Probe):
                self.attempts.probe(a.server)
            # Subscribe needs nothing: the feed is polled all the time.
