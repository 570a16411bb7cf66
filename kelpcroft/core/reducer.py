"""All changes to the router's state: an input and the time go in, effects come out.

No socket and no clock is read here, and nothing is decided here: which server, which source, when to give up
and what to refuse are the decision module's, to which each input that concerns it is handed as an event.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from kelpcroft import messages as m
from kelpcroft.config import Config
from kelpcroft.core.attempts import IDLE_SHARE, SPENT_NS, Attempts
from kelpcroft.core.ledger import Ledger
from kelpcroft.core.members import Members
from kelpcroft.core.requests import Requests
from kelpcroft.core.service import Mode, Service
from kelpcroft.core.state import MS, SECOND, Request, State
from kelpcroft.core.tuning import Tuning
from kelpcroft.deployment.lacks import lacks
from kelpcroft.invariants import broken, counts, holds
from kelpcroft.messages import Effect, Timer
from kelpcroft.start import Begin, Beside
from kelpcroft.store.identity import of_settings
from zincgrade import interface as api

if TYPE_CHECKING:
    from kelpcroft.operator.model import Replicas

HOUSE_NS = SECOND  # between looks at idle connections
COUNT_NS = 10 * SECOND  # between lines of counters in the log
ACCEPT_NS = 500 * MS  # connections are taken so long after SIGTERM
LAME_NS = 800 * MS  # and requests on open ones at least so long
LAST = 2  # the step of the planned end after which the process is over


class Reducer:
    """Dispatch of inputs to the parts that own them.  ``handle`` is the only way to change the state."""

    def __init__(self, config: Config) -> None:
        self.state = State(config)
        self.requests = Requests(self.state)
        self.attempts = Attempts(self.state, self.requests)
        self.members = Members(self.state, self.attempts, self.drive)
        self.tuning = Tuning(self.state, self.members)
        self.listening = self.ending = False
        self.service = Service(shared=config.inherited is not None)
        self.clients: set[int] = set()  # connections of clients that are open
        self.ended_ns = 0
        self.counted_ns = self.began_ns = 0
        self.identity, self.rules_digest = m.Identity("", ""), ""
        self.beside = Beside(config.settings, self.service.shared)

    def start(
        self, now: int, begin: Begin | None = None, gentle_ns: int = 0, replicas: Replicas | None = None
    ) -> list[Effect]:
        """The first effects: what was known at the start is taken in, and the feed is asked for the rest.
        ``begin`` and ``replicas``: what the operator's file says of starts and of the feed; the first call of
        the list is made ``gentle_ns`` later where the router starts again and again."""
        self.state.now, self.state.effects = now, []
        self.began_ns = now
        self.act(self.state.policy.start(now))
        self.beside.start(now)
        self.take_part()
        self.take_bounds(begin or Begin())
        self.members.start(begin or Begin(), gentle_ns, replicas)
        self.tell_deployment()
        self.state.wake(HOUSE_NS, Timer.HOUSE)
        self.counted_ns = now
        self.drive()
        return self.state.effects

    def tell_deployment(self) -> None:
        """At the start, one line for what the deployment lacks and one for what is odd in its settings."""
        s = self.state
        missing = lacks(s.settings, frozenset(n.line.role for n in s.policy.nodes.values()) or None)
        if missing:
            s.log(
                "deployment.lacks",
                f"this deployment has no {', '.join(missing)}",
                "info",
                {"lacks": list(missing)},
            )
        if s.config.doubts:
            s.log(
                "deployment.doubts",
                "; ".join(map(str, s.config.doubts)),
                "warning",
                {"doubts": [f"{d.place}: {d.found}" for d in s.config.doubts]},
            )

    def handle(self, now: int, message: m.Input) -> list[Effect]:
        """One input."""
        self.state.now, self.state.effects = now, []
        if isinstance(message, m.Call):
            if self.service.admits(now):
                self.requests.on_call(message)
            else:
                self.requests.turn_away(message, "sent away")
        elif isinstance(message, m.Answer):
            self.attempts.on_answer(message)
        elif isinstance(message, m.Due):
            self.on_due(*message.key)
        elif isinstance(message, m.CallOff):
            request = self.state.calls.get(message.client, {}).get(message.call)
            if request:
                self.state.tally["cancelled by client"] += 1
                self.gone(request)
        elif isinstance(message, m.AskHealth):
            self.state.effects.append(m.TellHealth(message.client, message.call, not self.unready()))
        elif isinstance(message, m.Control):
            self.on_control(message)
        elif isinstance(message, m.Handover):
            self.on_handover(message)
        elif isinstance(message, m.ClientCame):
            self.clients.add(message.client)
        elif isinstance(message, m.ClientLost):
            self.clients.discard(message.client)
            for request in list(self.state.calls.get(message.client, {}).values()):
                self.gone(request)
            self.state.calls.pop(message.client, None)
        elif isinstance(message, m.LinkUp):
            self.attempts.on_up(message.link)
        elif isinstance(message, m.LinkLost):
            self.attempts.on_lost(message)
        elif isinstance(message, m.LinkHalf):
            link = self.state.links.by_number.get(message.link)
            if link:
                link.half = message.half
        elif isinstance(message, m.News):
            self.members.on_news(message)
        elif isinstance(message, m.FeedLost):
            self.members.on_feed_lost(message)
        elif isinstance(message, m.Stalled):
            self.members.on_stalled()
        elif isinstance(message, m.Listening):
            self.listening = True
            self.beside.ready(now)
        elif isinstance(message, m.Ended):
            if message.at_ns >= self.began_ns:  # an earlier one was of a process before the one beside
                self.beside.ended(now, message.at_ns)
        elif isinstance(message, m.Reload):
            self.tuning.on_reload(message)
        elif isinstance(message, m.Rules):
            self.on_rules(message)
        elif isinstance(message, m.Identity):
            self.identity = message
        else:
            self.on_terminate()
        self.drive()
        return self.state.effects

    def gone(self, request: Request) -> None:
        """A client has stopped waiting: nothing further begins, wherever calling off is allowed or not."""
        self.requests.gone(request)
        self.attempts.forsake(request)

    def on_due(self, timer: Timer, number: int, more: int) -> None:
        if timer is Timer.ATTEMPT:
            attempt = self.state.attempts.get(number)
            if attempt:
                self.attempts.on_silent(attempt)
        elif timer is Timer.MODULE:
            self.state.events.append(api.TimerDue(number))
        elif timer is Timer.DIAL:
            link = self.state.links.by_number.get(number)
            if link and not link.up:
                self.state.effects.append(m.Drop(number))
                self.attempts.on_lost(m.LinkLost(number, "no connection in time", True))
        elif timer is Timer.PROBE:
            self.attempts.on_probe_late(number)
        elif timer is Timer.QUIET:
            self.attempts.on_quiet(number)
        elif timer is Timer.COPY:
            self.attempts.on_copy_due(number, more)
        elif timer is Timer.AGAIN:
            self.attempts.on_again(number)
        elif timer is Timer.FEED:
            self.members.call()
        elif timer is Timer.HOUSE:
            self.keep_house()
        elif timer is Timer.PART:
            self.take_part()
        elif timer is Timer.RETUNE:
            self.tuning.on_settle(number)
        else:
            self.on_lame(number)

    def unready(self) -> str:
        """Why this process does not take clients now, or "" where it does."""
        return (
            "ending"
            if self.ending
            else "out of service"
            if self.service.mode is Mode.OUT
            else "not listening yet"
            if not self.listening
            else "no list of servers yet"
            if not self.members.listed
            else ""
        )

    def on_control(self, call: m.Control) -> None:
        """A call on the control address, answered in the same turn.  A drain lets clients go once nothing is
        owed them; the process goes on serving what it has taken, and stays to be taken back."""
        s, verb, since = self.state, call.verb, self.service.since_ns
        if verb is m.Verb.OUT and self.service.drain(s.now):
            fields = {"open": len(s.requests), "clients": len(self.clients)}
            s.log(
                "service.out",
                f"out of service: clients are let go; {fields['open']} requests open, "
                f"{fields['clients']} clients",
                "info",
                dict(fields),
            )
            s.effects += [m.Release(True), m.Keep(False, s.now)]
        elif verb is m.Verb.IN and self.service.resume(s.now):
            s.log(
                "service.in",
                f"in service again after {(s.now - since) / SECOND:.1f} s",
                "info",
                {"out_s": round((s.now - since) / SECOND, 3)},
            )
            s.effects += [m.Release(False), m.Keep(True, s.now)]
        why = self.unready()
        if verb is m.Verb.STATE:
            s.effects.append(m.Reply(call.caller, True, self.whole_state(why)))
            return
        told: dict[str, object] = {"ready": not why, "service": self.service.mode.value}
        if why:
            told["why"] = why
        s.effects.append(m.Reply(call.caller, verb is not m.Verb.READY or not why, told))

    def take_part(self) -> None:
        """Have the module know what part of its router's cold budgets this process has now."""
        part = self.beside.part(self.state.now)
        self.state.share(part)
        if part < 1:
            if self.service.shared:
                self.state.effects.append(m.Look())
            self.state.wake(min(SECOND, max(MS, self.beside.until_ns - self.state.now)), Timer.PART)

    def take_bounds(self, begin: Begin) -> None:
        """What the operator's file says of counting the zone's routers, and of the store."""
        if begin.store and self.state.window is None:
            from kelpcroft.start.store import Window

            self.state.window = Window(self.state.now)
        elif not begin.store:
            self.state.window = None
        self.state.share(self.state.part)
        if begin.count and self.state.crowd is None:
            from kelpcroft.start.crowd import Crowd  # nothing of it is imported before a file wants it

            self.state.crowd = Crowd(self.state.config.settings.zone_instances)
        elif not begin.count and self.state.crowd is not None:
            self.state.crowd = None
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
            "settings": of_settings(s.used.get("settings")),
            "rules": self.rules_digest,
            "started_ms": self.began_ns // MS,
            "now_ms": s.now // MS,
            "ready": not why,
            "why": why,
            "service": self.service.mode.value,
            "since_ms": self.service.since_ns // MS,
            "open": len(s.requests),
            "attempts": len(s.attempts),
            "connections": len(s.links.by_number),
            "clients": len(self.clients),
            "invariants": sum(broken.values()),
            "classes": s.ledger.tell() if s.ledger else {},
        }

    def on_handover(self, handed: m.Handover) -> None:
        """At the start: an operator's drain outlives the process that heard it."""
        s = self.state
        if handed.in_service is None:
            if handed.why:
                s.log(
                    "handover.refused",
                    f"state of the last process not taken: {handed.why}",
                    "warning",
                    {"why": handed.why},
                )
        elif not handed.in_service and self.service.drain(handed.since_ns):
            s.log(
                "service.out",
                "out of service, as the last process was: clients are let go",
                "info",
                {"since_s": round((s.now - handed.since_ns) / SECOND, 3), "handed": True},
            )
            s.effects.append(m.Release(True))

    def on_rules(self, rules: m.Rules) -> None:
        """The operator's file was read.  Open requests keep what they were granted; one that may not be used
        changes nothing."""
        s = self.state
        if rules.file is None:
            s.log(
                "rules.refused",
                f"operator's file not taken: {rules.why}; {rules.faults} in all",
                "warning",
                {"first": rules.why, "faults": rules.faults},
            )
            return
        if s.routes is not None:
            s.routes.replace(rules.file, s.now)
        elif rules.file.routes:
            from kelpcroft.routes import Table  # nothing of it is imported before a file wants it

            settings = s.config.settings
            s.routes = Table(rules.file, settings.zone, settings.seed, s.now)
        self.rules_digest = rules.digest
        self.members.begin(rules.file.start)
        self.members.follow(rules.file.replicas)
        self.take_bounds(rules.file.start)
        if rules.file.state != (s.ledger is not None):
            s.ledger = Ledger() if rules.file.state else None
            s.effects.append(m.Expose(rules.file.state))
        count = len(rules.file.routes)
        s.log("rules.taken", f"operator's file taken: {count} routes", "info", {"routes": count})

    def on_terminate(self) -> None:
        """Connections and requests go on coming for a while; then all that was taken is served first."""
        if not self.ending:
            self.ending, self.ended_ns = True, self.state.now
            count = len(self.state.requests)
            self.state.log("router.ending", f"ending: {count} requests open", "info", {"open": count})
            self.service.end(self.state.now)
            if self.service.shared:
                # Another process holds the same listening socket: it takes what queues there from now on.
                self.state.effects += [m.StopAccepting(), m.Release(True)]
            else:
                self.state.wake(ACCEPT_NS, Timer.LAME, 1)
            self.state.wake(LAME_NS, Timer.LAME, LAST)

    def on_lame(self, step: int) -> None:
        if step == 1:
            self.state.effects.append(m.StopAccepting())
        elif not self.service.may_exit(self.state.now, len(self.state.requests), len(self.clients)):
            self.state.wake(10 * MS, Timer.LAME, LAST)
        else:
            self.count()
            if self.service.shared:
                self.state.effects.append(
                    m.Keep(not self.service.drained, self.service.since_ns, self.state.now, self.ended_ns)
                )
            self.state.effects.append(m.Exit())

    def keep_house(self) -> None:
        """Idle connections go before their server closes them: a request must not meet that close."""
        self.state.wake(HOUSE_NS, Timer.HOUSE)
        if self.state.crowd is not None:
            self.reckon(self.state.crowd.routers(self.state.now))
        idle = int(IDLE_SHARE * self.state.config.idle_ns)
        for link in list(self.state.links.by_number.values()):
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
        tally = ", ".join(f"{k} {v}" for k, v in s.tally.items())
        fields = {"open": len(s.requests), "attempts": len(s.attempts), "connections": len(s.links.by_number)}
        s.log(
            "router.counters",
            ", ".join(f"{k} {v}" for k, v in fields.items())
            + f"; {tally}; broken invariants: {counts() or 'none'}",
            "info",
            {**fields, **s.tally},
        )
        for name, row in s.routes.tell() if s.routes is not None else ():
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
                    self.requests.finish(request, m.Break(request.call.client, request.call.call))

    def paid(self, event: api.AttemptEnded) -> api.AttemptEnded:
        """An attempt's end with what the route's budget has now: of many that end at once, as on a lost
        connection, those before have taken from it."""
        request = self.state.requests.get(int(event.id))
        if request is None or request.grant is None or request.grant.room(self.state.now):
            return event
        return replace(event, room=False)

    def act(self, actions: list[api.Action]) -> None:
        for a in actions:
            if isinstance(a, api.Fetch):
                self.attempts.fetch(a)
            elif isinstance(a, api.SetTimer):
                self.state.effects.append(m.Wake(a.at_ns, (Timer.MODULE, a.label, 0)))
            elif isinstance(a, api.Wait):
                self.attempts.wait(a)
            elif isinstance(a, api.Cancel):
                self.attempts.cancel(a)
            elif isinstance(a, (api.Refuse, api.Fail)):
                self.requests.give_up(a)
            elif isinstance(a, api.Log):
                self.state.log("module.says", a.text)
            elif isinstance(a, api.Probe):
                self.attempts.probe(a.cache)
            # Subscribe needs nothing: the feed is polled all the time.
