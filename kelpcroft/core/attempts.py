"""Attempts and the connections they go out on: from the module's Fetch to the one end that it is told."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from kelpcroft.core import effects, inputs
from kelpcroft.core.client_requests import ClientRequests
from kelpcroft.core.connection_pool import PooledConnection
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.state import MS, SECOND, Attempt, OpenRequest, Probe, State
from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import FillResult, Outcome
from kelpcroft.invariants import holds

if TYPE_CHECKING:
    from kelpcroft.routes import RequestAllowance

IDLE_SHARE = 0.7  # of the servers' idle time after which we close: a send never meets their close
SPENT_NS = 10 * SECOND  # how long a given-up or answered id is kept off its connection
QUIET_LEAST_NS = 300 * MS  # a connection may be quiet so long at the least ...
QUIET_DEVS, TOOK_GAIN = 4.0, 0.05  # ... or so many mean deviations past an answer's usual time; its averaging
QUIET_OUT = 3  # with so many out on it, it need not be heard that the server answers others
LASTED = (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED)  # ends whose time tells how long answers take
HEARD_NS = SECOND  # a server that was heard so lately lives, though it refuses a connection
DIALS_MOST = 3  # connections that are tried for one attempt while each breaks at once


class Attempts:
    """Carries out what the module asks for, and tells it once how each attempt ended."""

    def __init__(self, state: State, requests: ClientRequests) -> None:
        self.state, self.requests = state, requests
        self.took_ns = self.took_dev_ns = float(QUIET_LEAST_NS)  # an answer's usual time, mean and deviation

    def on_answer(self, a: inputs.ServerResponse) -> None:
        link = self.state.connections.by_number.get(a.connection)
        if link is None:
            return
        link.heard_ns = self.state.now
        number = link.out.pop(a.attempt_id, None)
        if number is None:
            self.state.counters["answers unasked"] += (
                1  # it crossed the KILL, or is a second copy, or nobody's
            )
            return
        if a.outcome is not Outcome.OK:
            link.spent[a.attempt_id] = self.state.now
        self.rest(link)
        probe = self.state.probes.pop(number, None)
        if probe:
            self.probed(probe, a.outcome, a.load_report)
            return
        attempt = self.state.attempts[number]
        request = attempt.request
        if a.not_modified and not (request.message.etag and a.etag.strip('"') == request.message.etag):
            # It calls a copy current that the client did not name, or another: that is no answer to this.
            self.state.counters["copies not named"] += 1
            self.ended(attempt, Outcome.ERROR, a.note, a.source_wait_ns, a.load_report)
            return
        took = self.state.now - attempt.began_ns
        self.took_dev_ns += TOOK_GAIN * (abs(took - self.took_ns) - self.took_dev_ns)
        self.took_ns += TOOK_GAIN * (took - self.took_ns)
        if a.outcome is Outcome.OK and not request.answered:
            self.requests.finish(
                request,
                effects.SendResponse(
                    request.message.client, request.message.request_number, a.body, a.not_modified
                ),
            )
            self.state.counters["served"] += 1
        self.ended(attempt, a.outcome, a.note, a.source_wait_ns, a.load_report)

    def on_probe_late(self, number: int) -> None:
        """A probe's time is over."""
        probe = self.state.probes.pop(number, None)
        if probe:
            probe.link.out.pop(probe.id, None)
            probe.link.waiting.pop(probe.id, None)
            self.probed(probe, Outcome.TIMEOUT)

    def probed(self, probe: Probe, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        """A probe's end, told to the module."""
        took = self.state.now - probe.began_ns
        self.state.events.append(api.ProbeFinished(probe.server, outcome, took, report or {}))

    def on_up(self, number: int) -> None:
        link = self.state.connections.by_number.get(number)
        if link is None:
            return
        link.up, link.heard_ns, link.idle_ns = True, self.state.now, self.state.now
        self.state.connections.full.pop(link.server, None)
        if self.state.is_tracing:
            self.state.trace("up", server=link.server, link=number, waiting=len(link.waiting))
        waiting, link.waiting = link.waiting, {}
        link.out.update(waiting)  # all at once: one that ends here must not leave an idle link
        for id, n in waiting.items():
            if n in self.state.probes:
                self.state.effects.append(effects.SendHealthCheck(number, id))
            else:
                self.pull(self.state.attempts[n])

    def on_lost(self, lost: inputs.ServerConnectionLost) -> None:
        """Before it stood nothing was sent, so nothing ran; what was out when it broke may have run."""
        link = self.state.connections.remove(lost.connection)
        if link is None:
            return
        if self.state.is_tracing:
            self.state.trace(
                "lost",
                server=link.server,
                link=lost.connection,
                up=link.up,
                why=lost.reason,
                down=lost.is_unreachable,
                load=link.load(),
            )
        if link.load():
            out = link.load()
            self.state.log(
                "link.lost",
                f"connection to {link.server} lost with {out} out: {lost.reason}",
                "warning",
                {"server": link.server, "out": out, "why": lost.reason},
            )
        # A server that was heard on another connection just now is not gone: it has no place for one more.
        # What waited takes the others, and where it cannot, the module chooses anew.
        crowded = (
            lost.is_unreachable
            and not link.up
            and any(
                o.up and self.state.now - o.heard_ns < HEARD_NS
                for o in self.state.connections.by_server.get(link.server, ())
            )
        )
        if crowded:
            self.state.counters["no place"] += 1
            self.state.connections.record_refusal(link.server, self.state.now)
        waits = Outcome.CONNECT_FAILED if lost.is_unreachable and not crowded else Outcome.MOOT
        for numbers, lost_as in ((link.waiting, waits), (link.out, Outcome.RESET)):
            for id, n in list(numbers.items()):
                probe, outcome = self.state.probes.pop(n, None), lost_as
                if probe:
                    self.probed(probe, outcome)
                    continue
                attempt = self.state.attempts[n]
                if id in lost.unsent_attempt_ids and attempt.sent:
                    # Not all of it was written: nobody can have run it, and it goes out as if it had waited.
                    attempt.sent, outcome = False, Outcome.MOOT
                    self.state.counters["never written"] += 1
                    if attempt.request.message.idempotency_key:
                        self.state.idempotency_keys.record_not_executed(
                            attempt.request.message.request_class, attempt.request.message.idempotency_key, n
                        )
                if outcome is not Outcome.MOOT or not self.redial(attempt):
                    self.ended(attempt, outcome)

    def redial(self, attempt: Attempt) -> bool:
        """Whether an attempt waits for another connection now.  One that was reset as soon as it stood tells
        nothing of the server, and nothing was sent on it."""
        if attempt.request.answered:
            return False
        attempt.dials += 1
        link = self.link_for(attempt.fetch.server, attempt.request) if attempt.dials < DIALS_MOST else None
        if link:
            attempt.link = link
            self.place(attempt)
        return link is not None

    def on_silent(self, attempt: Attempt) -> None:
        """Its time is over.  One that still waits for its connection has certainly not run."""
        link = attempt.link
        if attempt.sent:
            if link.heard_ns <= attempt.began_ns:
                # Nothing at all since: the machine may be cut off, and come back behind another connection.
                link.shunned = True
            self.withdraw(attempt)
            self.ended(attempt, Outcome.TIMEOUT)
        else:
            self.ended(attempt, Outcome.MOOT)

    def on_quiet(self, number: int) -> None:
        """A connection on which nothing comes while its server answers on others gives up what is out on it.
        The answers may never come though it stays open, and it would draw more requests as the fullest.

        Slow fills look just so: the copies that are there are answered, what waits for the store gathers on
        one connection.  Given up and sent again, it asks the slow store for all of it once more.  So where
        probes are allowed the connection itself is asked first, and stays if it answers."""
        link = self.state.connections.by_number.get(number)
        if link is None:
            return
        link.watched = False
        began = [self.state.attempts[n].began_ns for n in link.out.values() if n in self.state.attempts]
        if link.alone or not began:
            return
        since = max(min(began), link.heard_ns)
        patience, asks = self.silence_limit_ns(), self.state.settings.limits.may_probe
        quiet = self.state.now - since
        heard = any(
            o.heard_ns > since for o in self.state.connections.by_server[link.server] if o is not link
        )
        suspect = heard or len(began) >= QUIET_OUT
        asked = link.asked_ns > since
        if asks and suspect and not asked and quiet >= patience // 2:
            link.asked_ns, asked = self.state.now, True
            self.state.counters["connections asked"] += 1
            self.ask(link)
        answers = asks and self.state.now - link.asked_ns < QUIET_LEAST_NS // 2  # it has had no time yet
        if quiet >= patience and suspect and not answers:
            self.state.counters["quiet connections"] += 1
            self.state.effects.append(effects.CloseServerConnection(number))
            self.on_lost(inputs.ServerConnectionLost(number, "nothing has come on it"))
        else:
            link.watched = True
            until = since + (patience // 2 if asks and not asked else patience)
            self.state.wake(
                max(until - self.state.now, QUIET_LEAST_NS // 4), TimerKind.CONNECTION_SILENCE, number
            )

    def silence_limit_ns(self) -> int:
        """How long a connection may be quiet: well past the usual time of an answer, as TCP reckons it."""
        return max(QUIET_LEAST_NS, int(self.took_ns + QUIET_DEVS * self.took_dev_ns))

    def forsake(self, request: OpenRequest) -> None:
        """What still waits for its connection, of a request that is over, ends now."""
        for index in range(request.tries):
            attempt = self.state.attempts.get(self.state.tries.get((request.id, index), 0))
            if attempt and not attempt.sent:
                self.ended(attempt, Outcome.MOOT)

    def recall(self, stale: Callable[[Attempt], bool]) -> None:
        """Rules 3 and 5: what still waits for its connection was chosen before this news; the module chooses
        anew, as it would otherwise be sent up to a dial's time after the news."""
        for attempt in [a for a in self.state.attempts.values() if not a.sent and stale(a)]:
            self.ended(attempt, Outcome.MOOT)

    def ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: FillResult = FillResult.NONE,
        waited_ns: int = 0,
        report: dict[str, float] | None = None,
    ) -> None:
        """An attempt's end, told to the module once."""
        if not holds(self.state.attempts.pop(attempt.number, None) is not None, "an attempt ends once"):
            return
        request, link = attempt.request, attempt.link
        link.waiting.pop(request.message.trace_id, None)
        link.out.pop(request.message.trace_id, None)
        self.rest(link)
        del self.state.tries[request.id, attempt.index]
        request.out -= 1
        self.state.touched.append(request)
        self.state.counters[outcome.name.lower()] += 1
        request.ran = not outcome.proves_not_executed
        if not request.ran and request.message.idempotency_key:
            self.state.idempotency_keys.record_not_executed(
                request.message.request_class, request.message.idempotency_key, attempt.number
            )
        if self.state.is_tracing:
            self.state.trace(
                "ended",
                id=request.message.trace_id,
                cls=request.message.request_class,
                server=attempt.fetch.server,
                source=attempt.fetch.fill_source,
                n=attempt.index,
                outcome=outcome.name,
                note=note.name,
                took=self.state.now - attempt.began_ns,
                waited=waited_ns,
                sent=attempt.sent,
                report=report or {},
            )
        if attempt.store and self.state.origin_limit is not None:
            late = self.late_at_store(attempt, outcome, note, waited_ns)
            self.state.origin_limit.record_finished(self.state.now, attempt.began_ns, late)
            self.state.share(self.state.part)
        if self.state.fleet_size is not None and report and "outstanding" in report:
            mine = sum(len(x.out) for x in self.state.connections.by_server.get(attempt.fetch.server, ()))
            self.state.fleet_size.record_report(self.state.now, report["outstanding"], mine + 1)
        grant = request.grant
        if grant is not None and grant.records_latency and attempt.sent and outcome in LASTED:
            grant.record_latency(self.state.now, self.state.now - attempt.began_ns)
        self.state.events.append(
            api.AttemptEnded(
                request.id,
                attempt.index,
                attempt.fetch.server,
                outcome,
                self.state.now - attempt.began_ns,
                request.answered,
                note,
                waited_ns,
                report or {},
            )
        )

    def late_at_store(
        self, attempt: Attempt, outcome: Outcome, note: FillResult, waited_ns: int
    ) -> bool | None:
        """Whether the store took too long over a fetch; None where its end does not tell."""
        if outcome in (Outcome.TIMEOUT, Outcome.FULL) or note in (
            FillResult.SOURCE_REFUSED,
            FillResult.SOURCE_BROKE,
            FillResult.ORIGIN_FAILED,
        ):
            return True
        if (
            outcome is not Outcome.OK
            or note is FillResult.HIT
            and attempt.fetch.server != attempt.fetch.fill_source
        ):
            return None
        s, c = self.state, attempt.request.message
        cls, pace, unit = (
            s.classes.get(c.request_class),
            s.settings.max_transfer_kb_per_s,
            s.policy.transfer_time.get(c.request_class),
        )
        own = c.size_kb / pace * SECOND if c.size_kb and pace else unit.mean if unit else 0.0
        wait = max(waited_ns, s.now - attempt.began_ns - own)
        return (
            cls is not None
            and s.origin_limit is not None
            and s.origin_limit.is_late(wait, cls.latency_objective_ns)
        )

    def withdraw(self, attempt: Attempt) -> None:
        """Give a sent attempt up at its server, its connection being others' too."""
        link, id = attempt.link, attempt.request.message.trace_id
        link.spent[id] = self.state.now
        self.state.effects.append(effects.CancelAttempt(link.number, id))

    def rest(self, link: PooledConnection) -> None:
        """Note an idle connection; close it where nothing more may be sent on it."""
        if not link.load() and link.number in self.state.connections.by_number:
            link.idle_ns = self.state.now
            if link.shunned:
                self.state.connections.remove(link.number)
                self.state.effects.append(effects.CloseServerConnection(link.number))

    def fetch(self, f: api.ForwardRequest) -> None:
        """Send an attempt, now or when its connection stands."""
        request = self.state.requests.get(int(f.id))
        if request is None or not holds(not request.answered, "no attempt behind the final answer"):
            return
        index, request.tries = request.tries, request.tries + 1
        grant = request.grant
        if grant is not None:
            self.charge(request, grant)
        link = self.link_for(f.server, request)
        if link is None or f.fill_source not in self.state.endpoints:
            request.ran = False
            self.state.events.append(api.AttemptEnded(f.id, index, f.server, Outcome.MOOT, 0, False))
            return  # the module hears of it in this same input
        self.state.last_number += 1
        attempt = Attempt(self.state.last_number, request, f, self.state.now, index, link)
        request.out += 1
        if self.state.origin_limit is not None:
            asked = self.state.endpoints[f.fill_source]
            attempt.store = self.state.config.kinds.role_of(asked.kind) is api.Role.ORIGIN
            if attempt.store:
                self.state.origin_limit.record_sent()
                self.state.share(self.state.part)
        self.state.attempts[self.state.last_number], self.state.tries[f.id, index] = (
            attempt,
            self.state.last_number,
        )
        # The module is told at the deadline, so that its last answer goes out within the slack.
        due = min(self.state.now + f.timeout_ns, request.deadline_ns) if f.timeout_ns else request.deadline_ns
        self.state.effects.append(
            effects.ScheduleTimer(due, (TimerKind.ATTEMPT_TIMEOUT, self.state.last_number, 0))
        )
        self.place(attempt)

    def charge(self, request: OpenRequest, grant: RequestAllowance) -> None:
        """The route pays for a further attempt, or for a copy of one that is out."""
        paid = True
        if request.out:
            paid = grant.spend_hedge(self.state.now)
            self.state.counters["copies"] += 1
        elif request.tries > 1 and request.ran and not request.waits:
            paid = grant.spend_retry(self.state.now)
        request.waits = False
        holds(paid, "no budget is overdrawn")
        if grant.hedge_delay_ns:
            due = self.state.now + grant.hedge_delay_ns
            self.state.effects.append(
                effects.ScheduleTimer(due, (TimerKind.HEDGE, int(request.id), request.tries))
            )

    def wait(self, a: api.BackOff) -> None:
        """A request waits for its next attempt, which its route pays for now."""
        request = self.state.requests.get(int(a.id))
        if request is None or not holds(not request.waits, "a request waits once"):
            return
        request.waits = True
        if request.grant is not None:
            holds(request.grant.spend_retry(self.state.now), "no budget is overdrawn")
        self.state.effects.append(effects.ScheduleTimer(a.until_ns, (TimerKind.RETRY_BACKOFF, int(a.id), 0)))

    def on_again(self, number: int) -> None:
        """A wait is over."""
        request = self.state.requests.get(number)
        if request and request.waits:
            self.state.touched.append(request)
            self.state.events.append(api.BackoffElapsed(request.id))

    def on_copy_due(self, number: int, tries: int) -> None:
        """An attempt is out long enough for a second copy, if it is the last that was made."""
        request = self.state.requests.get(number)
        if request and request.out and request.tries == tries and request.grant is not None:
            room = request.grant.can_hedge(self.state.now)
            self.state.events.append(api.HedgeDue(request.id, room))

    def place(self, attempt: Attempt) -> None:
        """Write an attempt, or let it wait until its connection stands."""
        link, trace = attempt.link, attempt.request.message.trace_id
        if link.up:
            link.out[trace] = attempt.number
            self.pull(attempt)
        else:
            link.waiting[trace] = attempt.number

    def pull(self, attempt: Attempt) -> None:
        """Write an attempt.  Its time limit is what is left of it now."""
        f, c = attempt.fetch, attempt.request.message
        if attempt.request.answered:
            # Its client has left, or has its answer: what waited for its connection is not sent on.
            self.ended(attempt, Outcome.MOOT)
            return
        cls = self.state.classes.get(c.request_class)
        if c.idempotency_key and cls is not None and cls.idempotency is not api.Idempotency.SAFE:
            ran = self.state.idempotency_keys.find(self.state.now, c.request_class, c.idempotency_key)
            if (
                ran
                and cls.idempotency is api.Idempotency.KEYED
                and self.state.now + self.state.settings.clock_tick_ns >= ran.sent_ns + cls.dedup_window_ns
            ):
                # It was chosen in time and waited for its connection until its key's window was over.
                self.ended(attempt, Outcome.MOOT)
                return
            line = self.state.endpoints.get(f.server)
            self.state.idempotency_keys.record_send(
                self.state.now,
                cls,
                c.idempotency_key,
                attempt.number,
                line.zone if line else "",
                line.cell if line else 0,
            )
        attempt.sent = True
        if not attempt.link.watched:
            attempt.link.watched = True
            half = 2 if self.state.settings.limits.may_probe else 1
            self.state.wake(
                self.silence_limit_ns() // half, TimerKind.CONNECTION_SILENCE, attempt.link.number
            )
        due = min(attempt.began_ns + f.timeout_ns, attempt.request.deadline_ns)
        if self.state.is_tracing:
            self.state.trace(
                "sent",
                id=c.trace_id,
                cls=c.request_class,
                server=f.server,
                source=f.fill_source,
                n=attempt.index,
                rank=f.retention_rank,
                held_only=f.cached_only,
                late=self.state.now - attempt.began_ns,
                limit=due - self.state.now,
            )
        self.state.effects.append(
            effects.SendAttempt(
                connection=attempt.link.number,
                attempt_id=c.trace_id,
                request_class=c.request_class,
                object_id=c.object_id,
                part_id=c.part_id,
                timeout_ms=max(1, (due - self.state.now) // MS),
                source="" if f.fill_source == f.server else f.fill_source,
                retention_rank=f.retention_rank,
                max_age_ms=max(1, f.max_age_ns // MS) if f.max_age_ns else 0,
                join_fill=f.coalesce,
                cache_only=f.cached_only,
                no_parent_copy=f.no_parent_copy,
                refresh_behind=f.refresh_in_background,
                etag=c.etag,
                body=c.body,
                idempotency_key=c.idempotency_key,
            )
        )

    def link_for(self, server: str, request: OpenRequest | None) -> PooledConnection | None:
        """A connection for one more, opened if need be.  What must not run twice goes out on one of its own:
        it could not be repeated if another's answer spoilt the connection."""
        id = request.message.trace_id if request else ""
        alone = (
            request is not None
            and self.state.classes[request.message.request_class].idempotency is api.Idempotency.UNSAFE
        )
        link = self.state.connections.find(server, id, alone, self.state.now)
        if (
            link is None
            and server in self.state.endpoints
            and self.state.connections.may_connect(server, self.state.now)
        ):
            endpoint = self.state.endpoints[server]
            link = self.state.connections.add(endpoint)
            if link:
                self.state.counters["dials"] += 1
                if self.state.is_tracing:
                    self.state.trace(
                        "dial",
                        server=server,
                        link=link.number,
                        standing=len(self.state.connections.by_server[server]) - 1,
                    )
                self.state.effects.append(effects.OpenServerConnection(link.number, endpoint.address))
                self.state.wake(self.state.config.connect_timeout_ns, TimerKind.CONNECT_TIMEOUT, link.number)
        if link and not link.load():
            link.alone = alone
        return link

    def cancel(self, a: api.Cancel) -> None:
        """Stop waiting for an attempt of a request, answered or not."""
        number = self.state.tries.get((a.id, a.attempt))
        if number is not None:
            attempt = self.state.attempts[number]
            if attempt.sent:
                self.withdraw(attempt)
            self.ended(attempt, Outcome.CANCELLED)

    def probe(self, server: str) -> None:
        """Ask a server for its load."""
        link = self.link_for(server, None)
        if link is None:
            self.state.events.append(api.ProbeFinished(server, Outcome.MOOT, 0))
        else:
            self.ask(link)

    def ask(self, link: PooledConnection) -> None:
        """Send a probe on a connection, now or when it stands."""
        self.state.last_number += 1
        id = f"probe-{self.state.last_number}"
        self.state.probes[self.state.last_number] = Probe(link.server, link, id, self.state.now)
        self.state.wake(
            self.state.config.connect_timeout_ns, TimerKind.HEALTH_CHECK_TIMEOUT, self.state.last_number
        )
        if link.up:
            link.out[id] = self.state.last_number
            self.state.effects.append(effects.SendHealthCheck(link.number, id))
        else:
            link.waiting[id] = self.state.last_number
