"""Attempts and the connections they go out on: from the module's Fetch to the one end that it is told."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from kelpcroft import messages as m
from kelpcroft.core.links import Link
from kelpcroft.core.requests import Requests
from kelpcroft.core.state import MS, SECOND, Attempt, Probe, Request, State
from kelpcroft.invariants import holds
from kelpcroft.messages import Timer
from zincgrade import interface as api
from zincgrade.interface import Note, Outcome

if TYPE_CHECKING:
    from kelpcroft.routes import Grant

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

    def __init__(self, state: State, requests: Requests) -> None:
        self.state, self.requests = state, requests
        self.took_ns = self.took_dev_ns = float(QUIET_LEAST_NS)  # an answer's usual time, mean and deviation

    def on_answer(self, a: m.Answer) -> None:
        link = self.state.links.by_number.get(a.link)
        if link is None:
            return
        link.heard_ns = self.state.now
        number = link.out.pop(a.id, None)
        if number is None:
            self.state.tally["answers unasked"] += 1  # it crossed the KILL, or is a second copy, or nobody's
            return
        if a.outcome is not Outcome.OK:
            link.spent[a.id] = self.state.now
        self.rest(link)
        probe = self.state.probes.pop(number, None)
        if probe:
            self.probed(probe, a.outcome, a.report)
            return
        attempt = self.state.attempts[number]
        request = attempt.request
        if a.same and not (request.call.tag and a.named.strip('"') == request.call.tag):
            # It calls a copy current that the client did not name, or another: that is no answer to this.
            self.state.tally["copies not named"] += 1
            self.ended(attempt, Outcome.ERROR, a.note, a.waited_ns, a.report)
            return
        took = self.state.now - attempt.began_ns
        self.took_dev_ns += TOOK_GAIN * (abs(took - self.took_ns) - self.took_dev_ns)
        self.took_ns += TOOK_GAIN * (took - self.took_ns)
        if a.outcome is Outcome.OK and not request.answered:
            self.requests.finish(request, m.Serve(request.call.client, request.call.call, a.body, a.same))
            self.state.tally["served"] += 1
        self.ended(attempt, a.outcome, a.note, a.waited_ns, a.report)

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
        self.state.events.append(api.Probed(probe.server, outcome, took, report or {}))

    def on_up(self, number: int) -> None:
        link = self.state.links.by_number.get(number)
        if link is None:
            return
        link.up, link.heard_ns, link.idle_ns = True, self.state.now, self.state.now
        self.state.links.full.pop(link.server, None)
        if self.state.traced:
            self.state.trace("up", server=link.server, link=number, waiting=len(link.waiting))
        waiting, link.waiting = link.waiting, {}
        link.out.update(waiting)  # all at once: one that ends here must not leave an idle link
        for id, n in waiting.items():
            if n in self.state.probes:
                self.state.effects.append(m.Check(number, id))
            else:
                self.pull(self.state.attempts[n])

    def on_lost(self, lost: m.LinkLost) -> None:
        """Before it stood nothing was sent, so nothing ran; what was out when it broke may have run."""
        link = self.state.links.remove(lost.link)
        if link is None:
            return
        if self.state.traced:
            self.state.trace(
                "lost",
                server=link.server,
                link=lost.link,
                up=link.up,
                why=lost.why,
                down=lost.down,
                load=link.load(),
            )
        if link.load():
            out = link.load()
            self.state.log(
                "link.lost",
                f"connection to {link.server} lost with {out} out: {lost.why}",
                "warning",
                {"server": link.server, "out": out, "why": lost.why},
            )
        # A server that was heard on another connection just now is not gone: it has no place for one more.
        # What waited takes the others, and where it cannot, the module chooses anew.
        crowded = (
            lost.down
            and not link.up
            and any(
                o.up and self.state.now - o.heard_ns < HEARD_NS
                for o in self.state.links.by_server.get(link.server, ())
            )
        )
        if crowded:
            self.state.tally["no place"] += 1
            self.state.links.no_place(link.server, self.state.now)
        waits = Outcome.CONNECT_FAILED if lost.down and not crowded else Outcome.MOOT
        for numbers, lost_as in ((link.waiting, waits), (link.out, Outcome.RESET)):
            for id, n in list(numbers.items()):
                probe, outcome = self.state.probes.pop(n, None), lost_as
                if probe:
                    self.probed(probe, outcome)
                    continue
                attempt = self.state.attempts[n]
                if id in lost.unsent and attempt.sent:
                    # Not all of it was written: nobody can have run it, and it goes out as if it had waited.
                    attempt.sent, outcome = False, Outcome.MOOT
                    self.state.tally["never written"] += 1
                    if attempt.request.call.nonce:
                        self.state.keys.not_run(attempt.request.call.cls, attempt.request.call.nonce, n)
                if outcome is not Outcome.MOOT or not self.redial(attempt):
                    self.ended(attempt, outcome)

    def redial(self, attempt: Attempt) -> bool:
        """Whether an attempt waits for another connection now.  One that was reset as soon as it stood tells
        nothing of the server, and nothing was sent on it."""
        if attempt.request.answered:
            return False
        attempt.dials += 1
        link = self.link_for(attempt.fetch.cache, attempt.request) if attempt.dials < DIALS_MOST else None
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
        link = self.state.links.by_number.get(number)
        if link is None:
            return
        link.watched = False
        began = [self.state.attempts[n].began_ns for n in link.out.values() if n in self.state.attempts]
        if link.alone or not began:
            return
        since = max(min(began), link.heard_ns)
        patience, asks = self.quiet_ns(), self.state.settings.limits.may_probe
        quiet = self.state.now - since
        heard = any(o.heard_ns > since for o in self.state.links.by_server[link.server] if o is not link)
        suspect = heard or len(began) >= QUIET_OUT
        asked = link.asked_ns > since
        if asks and suspect and not asked and quiet >= patience // 2:
            link.asked_ns, asked = self.state.now, True
            self.state.tally["connections asked"] += 1
            self.ask(link)
        answers = asks and self.state.now - link.asked_ns < QUIET_LEAST_NS // 2  # it has had no time yet
        if quiet >= patience and suspect and not answers:
            self.state.tally["quiet connections"] += 1
            self.state.effects.append(m.Drop(number))
            self.on_lost(m.LinkLost(number, "nothing has come on it"))
        else:
            link.watched = True
            until = since + (patience // 2 if asks and not asked else patience)
            self.state.wake(max(until - self.state.now, QUIET_LEAST_NS // 4), Timer.QUIET, number)

    def quiet_ns(self) -> int:
        """How long a connection may be quiet: well past the usual time of an answer, as TCP reckons it."""
        return max(QUIET_LEAST_NS, int(self.took_ns + QUIET_DEVS * self.took_dev_ns))

    def forsake(self, request: Request) -> None:
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
        note: Note = Note.NONE,
        waited_ns: int = 0,
        report: dict[str, float] | None = None,
    ) -> None:
        """An attempt's end, told to the module once."""
        if not holds(self.state.attempts.pop(attempt.number, None) is not None, "an attempt ends once"):
            return
        request, link = attempt.request, attempt.link
        link.waiting.pop(request.call.trace, None)
        link.out.pop(request.call.trace, None)
        self.rest(link)
        del self.state.tries[request.id, attempt.index]
        request.out -= 1
        self.state.touched.append(request)
        self.state.tally[outcome.name.lower()] += 1
        request.ran = not outcome.proves_not_run
        if not request.ran and request.call.nonce:
            self.state.keys.not_run(request.call.cls, request.call.nonce, attempt.number)
        if self.state.traced:
            self.state.trace(
                "ended",
                id=request.call.trace,
                cls=request.call.cls,
                server=attempt.fetch.cache,
                source=attempt.fetch.source,
                n=attempt.index,
                outcome=outcome.name,
                note=note.name,
                took=self.state.now - attempt.began_ns,
                waited=waited_ns,
                sent=attempt.sent,
                report=report or {},
            )
        if attempt.store and self.state.window is not None:
            late = self.late_at_store(attempt, outcome, note, waited_ns)
            self.state.window.ended(self.state.now, attempt.began_ns, late)
            self.state.share(self.state.part)
        if self.state.crowd is not None and report and "outstanding" in report:
            mine = sum(len(x.out) for x in self.state.links.by_server.get(attempt.fetch.cache, ()))
            self.state.crowd.told(self.state.now, report["outstanding"], mine + 1)
        grant = request.grant
        if grant is not None and grant.learns and attempt.sent and outcome in LASTED:
            grant.saw(self.state.now, self.state.now - attempt.began_ns)
        self.state.events.append(
            api.AttemptEnded(
                request.id,
                attempt.index,
                attempt.fetch.cache,
                outcome,
                self.state.now - attempt.began_ns,
                request.answered,
                note,
                waited_ns,
                report or {},
            )
        )

    def late_at_store(self, attempt: Attempt, outcome: Outcome, note: Note, waited_ns: int) -> bool | None:
        """Whether the store took too long over a fetch; None where its end does not tell."""
        if outcome in (Outcome.TIMEOUT, Outcome.FULL) or note in (
            Note.SOURCE_REFUSED,
            Note.SOURCE_BROKE,
            Note.ORIGIN_FAILED,
        ):
            return True
        if outcome is not Outcome.OK or note is Note.HIT and attempt.fetch.cache != attempt.fetch.source:
            return None
        s, c = self.state, attempt.request.call
        cls, pace, unit = s.classes.get(c.cls), s.settings.pace_kb_per_s, s.policy.unit.get(c.cls)
        own = c.size_kb / pace * SECOND if c.size_kb and pace else unit.mean if unit else 0.0
        wait = max(waited_ns, s.now - attempt.began_ns - own)
        return cls is not None and s.window is not None and s.window.late(wait, cls.aim_ns)

    def withdraw(self, attempt: Attempt) -> None:
        """Give a sent attempt up at its server, its connection being others' too."""
        link, id = attempt.link, attempt.request.call.trace
        link.spent[id] = self.state.now
        self.state.effects.append(m.Kill(link.number, id))

    def rest(self, link: Link) -> None:
        """Note an idle connection; close it where nothing more may be sent on it."""
        if not link.load() and link.number in self.state.links.by_number:
            link.idle_ns = self.state.now
            if link.shunned:
                self.state.links.remove(link.number)
                self.state.effects.append(m.Drop(link.number))

    def fetch(self, f: api.Fetch) -> None:
        """Send an attempt, now or when its connection stands."""
        request = self.state.requests.get(int(f.id))
        if request is None or not holds(not request.answered, "no attempt behind the final answer"):
            return
        index, request.tries = request.tries, request.tries + 1
        grant = request.grant
        if grant is not None:
            self.charge(request, grant)
        link = self.link_for(f.cache, request)
        if link is None or f.source not in self.state.endpoints:
            request.ran = False
            self.state.events.append(api.AttemptEnded(f.id, index, f.cache, Outcome.MOOT, 0, False))
            return  # the module hears of it in this same input
        self.state.made += 1
        attempt = Attempt(self.state.made, request, f, self.state.now, index, link)
        request.out += 1
        if self.state.window is not None:
            asked = self.state.endpoints[f.source]
            attempt.store = self.state.config.kinds.role(asked.kind) is api.Role.ORIGIN
            if attempt.store:
                self.state.window.sent()
                self.state.share(self.state.part)
        self.state.attempts[self.state.made], self.state.tries[f.id, index] = attempt, self.state.made
        # The module is told at the deadline, so that its last answer goes out within the slack.
        due = min(self.state.now + f.timeout_ns, request.deadline_ns) if f.timeout_ns else request.deadline_ns
        self.state.effects.append(m.Wake(due, (Timer.ATTEMPT, self.state.made, 0)))
        self.place(attempt)

    def charge(self, request: Request, grant: Grant) -> None:
        """The route pays for a further attempt, or for a copy of one that is out."""
        paid = True
        if request.out:
            paid = grant.pay_copy(self.state.now)
            self.state.tally["copies"] += 1
        elif request.tries > 1 and request.ran and not request.waits:
            paid = grant.pay(self.state.now)
        request.waits = False
        holds(paid, "no budget is overdrawn")
        if grant.copy_ns:
            due = self.state.now + grant.copy_ns
            self.state.effects.append(m.Wake(due, (Timer.COPY, int(request.id), request.tries)))

    def wait(self, a: api.Wait) -> None:
        """A request waits for its next attempt, which its route pays for now."""
        request = self.state.requests.get(int(a.id))
        if request is None or not holds(not request.waits, "a request waits once"):
            return
        request.waits = True
        if request.grant is not None:
            holds(request.grant.pay(self.state.now), "no budget is overdrawn")
        self.state.effects.append(m.Wake(a.until_ns, (Timer.AGAIN, int(a.id), 0)))

    def on_again(self, number: int) -> None:
        """A wait is over."""
        request = self.state.requests.get(number)
        if request and request.waits:
            self.state.touched.append(request)
            self.state.events.append(api.WaitOver(request.id))

    def on_copy_due(self, number: int, tries: int) -> None:
        """An attempt is out long enough for a second copy, if it is the last that was made."""
        request = self.state.requests.get(number)
        if request and request.out and request.tries == tries and request.grant is not None:
            room = request.grant.copy_room(self.state.now)
            self.state.events.append(api.CopyDue(request.id, room))

    def place(self, attempt: Attempt) -> None:
        """Write an attempt, or let it wait until its connection stands."""
        link, trace = attempt.link, attempt.request.call.trace
        if link.up:
            link.out[trace] = attempt.number
            self.pull(attempt)
        else:
            link.waiting[trace] = attempt.number

    def pull(self, attempt: Attempt) -> None:
        """Write an attempt.  Its time limit is what is left of it now."""
        f, c = attempt.fetch, attempt.request.call
        if attempt.request.answered:
            # Its client has left, or has its answer: what waited for its connection is not sent on.
            self.ended(attempt, Outcome.MOOT)
            return
        cls = self.state.classes.get(c.cls)
        if c.nonce and cls is not None and cls.effect is not api.Effect.SAFE:
            ran = self.state.keys.find(self.state.now, c.cls, c.nonce)
            if (
                ran
                and cls.effect is api.Effect.KEYED
                and self.state.now + self.state.settings.tick_ns >= ran.sent_ns + cls.window_ns
            ):
                # It was chosen in time and waited for its connection until its key's window was over.
                self.ended(attempt, Outcome.MOOT)
                return
            line = self.state.endpoints.get(f.cache)
            self.state.keys.sent(
                self.state.now,
                cls,
                c.nonce,
                attempt.number,
                line.zone if line else "",
                line.cell if line else 0,
            )
        attempt.sent = True
        if not attempt.link.watched:
            attempt.link.watched = True
            half = 2 if self.state.settings.limits.may_probe else 1
            self.state.wake(self.quiet_ns() // half, Timer.QUIET, attempt.link.number)
        due = min(attempt.began_ns + f.timeout_ns, attempt.request.deadline_ns)
        if self.state.traced:
            self.state.trace(
                "sent",
                id=c.trace,
                cls=c.cls,
                server=f.cache,
                source=f.source,
                n=attempt.index,
                rank=f.rank,
                held_only=f.held_only,
                late=self.state.now - attempt.began_ns,
                limit=due - self.state.now,
            )
        self.state.effects.append(
            m.Pull(
                link=attempt.link.number,
                id=c.trace,
                cls=c.cls,
                object=c.object,
                part=c.part,
                limit_ms=max(1, (due - self.state.now) // MS),
                source="" if f.source == f.cache else f.source,
                rank=f.rank,
                age_limit_ms=max(1, f.max_age_ns // MS) if f.max_age_ns else 0,
                join=f.join,
                held_only=f.held_only,
                no_parent_copy=f.no_parent_copy,
                renew=f.renew,
                tag=c.tag,
                body=c.body,
                nonce=c.nonce,
            )
        )

    def link_for(self, server: str, request: Request | None) -> Link | None:
        """A connection for one more, opened if need be.  What must not run twice goes out on one of its own:
        it could not be repeated if another's answer spoilt the connection."""
        id = request.call.trace if request else ""
        alone = request is not None and self.state.classes[request.call.cls].effect is api.Effect.UNSAFE
        link = self.state.links.find(server, id, alone, self.state.now)
        if link is None and server in self.state.endpoints and self.state.links.open(server, self.state.now):
            endpoint = self.state.endpoints[server]
            link = self.state.links.add(endpoint)
            if link:
                self.state.tally["dials"] += 1
                if self.state.traced:
                    self.state.trace(
                        "dial",
                        server=server,
                        link=link.number,
                        standing=len(self.state.links.by_server[server]) - 1,
                    )
                self.state.effects.append(m.Dial(link.number, endpoint.address))
                self.state.wake(self.state.config.dial_ns, Timer.DIAL, link.number)
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
            self.state.events.append(api.Probed(server, Outcome.MOOT, 0))
        else:
            self.ask(link)

    def ask(self, link: Link) -> None:
        """Send a probe on a connection, now or when it stands."""
        self.state.made += 1
        id = f"probe-{self.state.made}"
        self.state.probes[self.state.made] = Probe(link.server, link, id, self.state.now)
        self.state.wake(self.state.config.dial_ns, Timer.PROBE, self.state.made)
        if link.up:
            link.out[id] = self.state.made
            self.state.effects.append(m.Check(link.number, id))
        else:
            link.waiting[id] = self.state.made
