"""All state of the router and all changes to it: an input and the time go in, effects come out.

No socket and no clock is read here, and nothing is decided here: which server, which source, when to give up
and what to refuse are the decision module's, to which each input that concerns it is handed as an event.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from kelpcroft import messages as m
from kelpcroft.config import Config
from kelpcroft.invariants import counts, holds
from kelpcroft.links import Link, Links
from kelpcroft.messages import Effect, Timer
from zincgrade import interface as api
from zincgrade.interface import Note, Outcome
from zincgrade.policy import Policy

MS = 1_000_000
SECOND = 1_000 * MS
HOUSE_NS = SECOND            # between looks at idle connections
COUNT_NS = 10 * SECOND       # between lines of counters in the log
IDLE_SHARE = 0.7             # of the servers' idle time after which we close: a send never meets their close
SPENT_NS = 10 * SECOND       # how long a given-up or answered id is kept off its connection
QUIET_LEAST_NS = 300 * MS    # a connection may be quiet so long at the least ...
QUIET_DEVS, TOOK_GAIN = 4.0, 0.05  # ... or so many mean deviations past an answer's usual time; its averaging
QUIET_OUT = 3                # with so many out on it, it need not be heard that the server answers others
DIALS_MOST = 3               # connections that are tried for one attempt while each breaks at once
FEED_AGAIN_NS = 25 * MS      # after a failed poll that followed another failed one
ACCEPT_NS = 500 * MS         # connections are taken so long after SIGTERM
LAME_NS = 800 * MS           # and requests on open ones at least so long
CLIENT_SHARE = 3             # clients hold at most one of so many descriptors
OPEN_MOST = 32               # calls that one client may have open
SPARE_SOCKETS = 24           # listener, feed, log, selector and the like


@dataclass(slots=True)
class Attempt:
    """One attempt that is out, or waits for its connection."""

    number: int
    request: Request
    fetch: api.Fetch
    began_ns: int
    index: int
    link: Link
    sent: bool = False
    dials: int = 0                                          # connections that broke before it was sent


@dataclass(slots=True)
class Request:
    """A call until its final answer has been asked for and its last attempt has ended."""

    id: str
    call: m.Call
    deadline_ns: int
    answered: bool = False
    tries: int = 0
    out: int = 0                                            # attempts


@dataclass(slots=True)
class Probe:
    """A probe that is out."""

    server: str
    link: Link
    id: str
    began_ns: int


def concerns(purge: m.Purge, attempt: Attempt) -> bool:
    """Whether an attempt asks for what was purged."""
    call = attempt.request.call
    return call.group == purge.group if purge.object is None else call.object_number == purge.object


class Reducer:
    """The state.  ``handle`` is the only way to change it."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.policy = Policy(config.settings)
        self.classes = {c.name: c for c in config.settings.classes}
        clients = config.sockets // CLIENT_SHARE
        self.links = Links(config.sockets - clients - SPARE_SOCKETS, config.max_streams)
        self.endpoints: dict[str, m.Endpoint] = {}
        self.requests: dict[int, Request] = {}               # those that owe an answer
        self.calls: dict[int, dict[int, Request]] = {}       # the same, by client and call
        self.traces: set[str] = set()                        # of those
        self.attempts: dict[int, Attempt] = {}
        self.tries: dict[tuple[str, int], int] = {}          # the same, by request and the module's number
        self.probes: dict[int, Probe] = {}
        self.made = 0                                        # numbers given to requests, attempts and probes
        self.seen = 0                                        # last event of the feed
        self.listening = self.listed = self.ending = False
        self.ended_ns = 0
        self.feed_at = config.feed
        self.feed_failures = 0
        self.counted_ns = 0
        self.took_ns = self.took_dev_ns = float(QUIET_LEAST_NS)  # an answer's usual time, mean and deviation
        self.tally: Counter[str] = Counter()
        self.effects: list[Effect] = []
        self.events: deque[api.Event] = deque()
        self.touched: list[Request] = []                     # new, or with an attempt ended, in this input
        self.now = 0

    # Inputs -----------------------------------------------------------------------------------------------

    def start(self, now: int) -> list[Effect]:
        """The first effects: what was known at the start is taken in, and the feed is asked for the rest."""
        self.now, self.effects = now, []
        self.act(self.policy.start(now))
        self.on_news(self.config.known)
        self.wake(HOUSE_NS, Timer.HOUSE)
        self.counted_ns = now
        self.drive()
        return self.effects

    def handle(self, now: int, message: m.Input) -> list[Effect]:
        """One input."""
        self.now, self.effects = now, []
        if isinstance(message, m.Call):
            self.on_call(message)
        elif isinstance(message, m.Answer):
            self.on_answer(message)
        elif isinstance(message, m.Due):
            self.on_due(*message.key)
        elif isinstance(message, m.CallOff):
            request = self.calls.get(message.client, {}).get(message.call)
            if request:
                self.tally["cancelled by client"] += 1
                self.gone(request)
        elif isinstance(message, m.AskHealth):
            fit = self.listening and self.listed and not self.ending
            self.effects.append(m.TellHealth(message.client, message.call, fit))
        elif isinstance(message, m.ClientLost):
            for request in list(self.calls.get(message.client, {}).values()):
                self.gone(request)
            self.calls.pop(message.client, None)
        elif isinstance(message, m.LinkUp):
            self.on_up(message.link)
        elif isinstance(message, m.LinkLost):
            self.on_lost(message)
        elif isinstance(message, m.News):
            self.feed_failures = 0
            self.on_news(message)
        elif isinstance(message, m.FeedLost):
            self.on_feed_lost(message)
        elif isinstance(message, m.Listening):
            self.listening = True
        elif isinstance(message, m.Reload):
            self.on_reload(message)
        else:
            self.on_terminate()
        self.drive()
        return self.effects

    def on_call(self, c: m.Call) -> None:
        """Bad clients get an error or a close here, before anything is sent on for them: servers answer their
        requests with errors, which would tell against the server and against the request with the same id."""
        here = self.calls.get(c.client, {})
        if c.call in here or len(here) >= OPEN_MOST:
            self.tally["hung up on"] += 1
            self.effects.append(m.HangUp(
                c.client, f"call {c.call} is open already" if c.call in here else "too many calls open"))
            return
        cls = self.classes.get(c.cls)
        if cls is None or c.patience_ns > 2 * cls.deadline_ns > 0 or c.trace in self.traces:
            self.tally["not usable"] += 1
            self.effects.append(m.Break(c.client, c.call))
            return
        most = self.config.settings.limits.max_open
        if most and len(self.requests) >= most:
            self.effects.append(m.Decline(c.client, c.call, 0))
            return
        self.made += 1
        request = Request(str(self.made), c, self.now + c.patience_ns)
        self.requests[self.made] = self.calls.setdefault(c.client, {})[c.call] = request
        self.traces.add(c.trace)
        self.tally["taken"] += 1
        self.touched.append(request)
        self.events.append(api.Request(
            id=request.id, cls=c.cls, patience_ns=c.patience_ns, object=c.object_number, part=c.part_number,
            group=c.group, write=len(c.body) > 0, retry=c.retry))

    def on_answer(self, a: m.Answer) -> None:
        link = self.links.by_number.get(a.link)
        if link is None:
            return
        link.heard_ns = self.now
        number = link.out.pop(a.id, None)
        if number is None:
            self.tally["answers unasked"] += 1  # it crossed the KILL, or is a second copy, or nobody's
            return
        if a.outcome is not Outcome.OK:
            link.spent[a.id] = self.now
        self.rest(link)
        probe = self.probes.pop(number, None)
        if probe:
            self.events.append(api.Probed(probe.server, a.outcome, self.now - probe.began_ns, a.report))
            return
        attempt = self.attempts[number]
        request = attempt.request
        took = self.now - attempt.began_ns
        self.took_dev_ns += TOOK_GAIN * (abs(took - self.took_ns) - self.took_dev_ns)
        self.took_ns += TOOK_GAIN * (took - self.took_ns)
        if a.outcome is Outcome.OK and not request.answered:
            self.finish(request, m.Serve(request.call.client, request.call.call, a.body, a.same))
            self.tally["served"] += 1
        self.ended(attempt, a.outcome, a.note, a.waited_ns, a.report)

    def on_up(self, number: int) -> None:
        link = self.links.by_number.get(number)
        if link is None:
            return
        link.up, link.heard_ns, link.idle_ns = True, self.now, self.now
        waiting, link.waiting = link.waiting, {}
        for id, n in waiting.items():
            link.out[id] = n
            if n in self.probes:
                self.effects.append(m.Check(number, id))
            else:
                self.pull(self.attempts[n])

    def on_lost(self, lost: m.LinkLost) -> None:
        """Before it stood nothing was sent, so nothing ran; what was out when it broke may have run."""
        link = self.links.remove(lost.link)
        if link is None:
            return
        if link.load():
            self.log(f"connection to {link.server} lost with {link.load()} out: {lost.why}")
        waits = Outcome.CONNECT_FAILED if lost.down else Outcome.MOOT
        for numbers, outcome in ((link.waiting, waits), (link.out, Outcome.RESET)):
            for n in list(numbers.values()):
                probe = self.probes.pop(n, None)
                if probe:
                    self.events.append(api.Probed(probe.server, outcome, self.now - probe.began_ns))
                elif outcome is not Outcome.MOOT or not self.redial(self.attempts[n]):
                    self.ended(self.attempts[n], outcome)

    def redial(self, attempt: Attempt) -> bool:
        """Whether an attempt waits for another connection now.  One that was reset as soon as it stood tells
        nothing of the server, and nothing was sent on it."""
        attempt.dials += 1
        link = self.link_for(attempt.fetch.cache, attempt.request) if attempt.dials < DIALS_MOST else None
        if link:
            attempt.link = link
            self.place(attempt)
        return link is not None

    def on_due(self, timer: Timer, number: int, more: int) -> None:
        if timer is Timer.ATTEMPT:
            attempt = self.attempts.get(number)
            if attempt:
                self.on_silent(attempt)
        elif timer is Timer.MODULE:
            self.events.append(api.TimerDue(number))
        elif timer is Timer.DIAL:
            link = self.links.by_number.get(number)
            if link and not link.up:
                self.effects.append(m.Drop(number))
                self.on_lost(m.LinkLost(number, "no connection in time", True))
        elif timer is Timer.PROBE:
            probe = self.probes.pop(number, None)
            if probe:
                probe.link.out.pop(probe.id, None)
                probe.link.waiting.pop(probe.id, None)
                self.events.append(api.Probed(probe.server, Outcome.TIMEOUT, self.now - probe.began_ns))
        elif timer is Timer.QUIET:
            self.on_quiet(number)
        elif timer is Timer.FEED:
            self.effects.append(m.Poll(self.seen))
        elif timer is Timer.HOUSE:
            self.keep_house()
        else:
            self.on_lame(number)

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
        The answers may never come though it stays open, and it would draw more requests as the fullest."""
        link = self.links.by_number.get(number)
        if link is None:
            return
        link.watched = False
        began = [self.attempts[n].began_ns for n in link.out.values() if n in self.attempts]
        if link.alone or not began:
            return
        since = max(min(began), link.heard_ns)
        patience = self.quiet_ns()
        heard = any(o.heard_ns > since for o in self.links.by_server[link.server] if o is not link)
        if self.now - since >= patience and (heard or len(began) >= QUIET_OUT):
            self.tally["quiet connections"] += 1
            self.effects.append(m.Drop(number))
            self.on_lost(m.LinkLost(number, "nothing has come on it"))
        else:
            link.watched = True
            self.wake(max(since + patience - self.now, QUIET_LEAST_NS // 4), Timer.QUIET, number)

    def quiet_ns(self) -> int:
        """How long a connection may be quiet: well past the usual time of an answer, as TCP reckons it."""
        return max(QUIET_LEAST_NS, int(self.took_ns + QUIET_DEVS * self.took_dev_ns))

    def on_news(self, news: m.News) -> None:
        """Events of the feed, in their order; then the next poll at once, as the feed counts as heard."""
        for event in news.events:
            if isinstance(event, m.Members):
                self.on_members(event)
            else:
                self.tally["purges"] += 1
                self.events.append(api.Purged(event.object, event.group, max(0, self.now - event.at_ns)))
                self.drive()
                self.recall(partial(concerns, event))
        self.seen = news.last
        self.effects.append(m.Poll(self.seen))

    def on_members(self, members: m.Members) -> None:
        form = "update" if self.listed and not members.whole else "replace" if self.listed else "restored"
        if form == "replace":
            kept = {e.name for e in members.endpoints}
            for name in [n for n in self.endpoints if n not in kept]:
                self.leave(name)
        self.listed = True
        for e in members.endpoints:
            if e.state == "in_service":
                self.endpoints[e.name] = e
            else:
                self.leave(e.name)
        role = self.config.kinds.role
        self.events.append(api.ServerList(form, tuple(
            api.Server(e.name, role(e.kind), e.zone, e.cell, e.state, e.weight, e.started_ns)
            for e in members.endpoints)))
        self.drive()
        self.recall(lambda a: a.fetch.cache not in self.endpoints or a.fetch.source not in self.endpoints)

    def leave(self, name: str) -> None:
        """A server takes nothing new; its connections go once they are empty."""
        self.endpoints.pop(name, None)
        for link in list(self.links.by_server.get(name, ())):
            link.shunned = True
            self.rest(link)

    def recall(self, stale: Callable[[Attempt], bool]) -> None:
        """Rules 3 and 5: what still waits for its connection was chosen before this news; the module chooses
        anew, as it would otherwise be sent up to a dial's time after the news."""
        for attempt in [a for a in self.attempts.values() if not a.sent and stale(a)]:
            self.ended(attempt, Outcome.MOOT)

    def on_feed_lost(self, lost: m.FeedLost) -> None:
        self.feed_failures += 1
        if self.feed_failures == 1:
            self.log(f"feed: {lost.why}")
            self.effects.append(m.Poll(self.seen))
        else:
            self.wake(FEED_AGAIN_NS, Timer.FEED)

    def on_reload(self, new: m.Reload) -> None:
        """A new file may name another address of the feed.  Its numbers go on, so nothing is told twice.  A
        file that cannot be used changes nothing."""
        if new.feed is None:
            self.log(f"configuration not taken: {new.why}")
        elif new.feed == self.feed_at:
            self.log("configuration read again: the feed stays where it is")
        else:
            self.log(f"configuration read again: the feed is at {new.feed[0]}:{new.feed[1]}")
            self.feed_at, self.feed_failures = new.feed, 0
            self.effects += [m.Move(new.feed), m.Poll(self.seen)]

    # The planned end --------------------------------------------------------------------------------------

    def on_terminate(self) -> None:
        """Connections and requests go on coming for a while; then all that was taken is served first."""
        if not self.ending:
            self.ending, self.ended_ns = True, self.now
            self.log(f"ending: {len(self.requests)} requests open")
            self.wake(ACCEPT_NS, Timer.LAME, 1)
            self.wake(LAME_NS, Timer.LAME, 2)

    def on_lame(self, step: int) -> None:
        if step == 1:
            self.effects.append(m.StopAccepting())
        elif self.requests:
            self.wake(10 * MS, Timer.LAME, 2)
        else:
            self.count()
            self.effects.append(m.Exit())

    # Requests and attempts --------------------------------------------------------------------------------

    def finish(self, request: Request, answer: m.Serve | m.Decline | m.Break | None) -> None:
        """The final answer, or None where the client wants none."""
        if not holds(not request.answered, "one final answer for each request"):
            return
        request.answered = True
        del self.requests[int(request.id)]
        self.traces.discard(request.call.trace)
        open_here = self.calls[request.call.client]
        del open_here[request.call.call]
        if not open_here:
            del self.calls[request.call.client]
        if answer:
            self.effects.append(answer)

    def gone(self, request: Request) -> None:
        """The client has stopped waiting."""
        self.finish(request, None)
        self.events.append(api.ClientGone(request.id))

    def ended(self, attempt: Attempt, outcome: Outcome, note: Note = Note.NONE, waited_ns: int = 0,
              report: dict[str, float] | None = None) -> None:
        """An attempt's end, told to the module once."""
        if not holds(self.attempts.pop(attempt.number, None) is not None, "an attempt ends once"):
            return
        request, link = attempt.request, attempt.link
        link.waiting.pop(request.call.trace, None)
        link.out.pop(request.call.trace, None)
        self.rest(link)
        del self.tries[request.id, attempt.index]
        request.out -= 1
        self.touched.append(request)
        self.tally[outcome.name.lower()] += 1
        self.events.append(api.AttemptEnded(
            request.id, attempt.index, attempt.fetch.cache, outcome, self.now - attempt.began_ns,
            request.answered, note, waited_ns, report or {}))

    def withdraw(self, attempt: Attempt) -> None:
        """Give a sent attempt up at its server, its connection being others' too."""
        link, id = attempt.link, attempt.request.call.trace
        link.spent[id] = self.now
        self.effects.append(m.Kill(link.number, id))

    def rest(self, link: Link) -> None:
        """Note an idle connection; close it where nothing more may be sent on it."""
        if not link.load() and link.number in self.links.by_number:
            link.idle_ns = self.now
            if link.shunned:
                self.links.remove(link.number)
                self.effects.append(m.Drop(link.number))

    def keep_house(self) -> None:
        """Idle connections go before their server closes them: a request must not meet that close."""
        self.wake(HOUSE_NS, Timer.HOUSE)
        idle = int(IDLE_SHARE * self.config.idle_ns)
        for link in list(self.links.by_number.values()):
            for id in [i for i, at in link.spent.items() if self.now - at > SPENT_NS]:
                del link.spent[id]
            if link.up and not link.load() and idle and self.now - link.idle_ns > idle:
                link.shunned = True
                self.rest(link)
        if self.now - self.counted_ns >= COUNT_NS:
            self.count()

    def count(self) -> None:
        """Counters for the log, broken invariants with them."""
        self.counted_ns = self.now
        self.log(f"open {len(self.requests)}, attempts {len(self.attempts)}, connections "
                 f"{len(self.links.by_number)}; " + ", ".join(f"{k} {v}" for k, v in self.tally.items())
                 + f"; broken invariants: {counts() or 'none'}")

    # The decision module ----------------------------------------------------------------------------------

    def drive(self) -> None:
        """Hand events to the module until it has seen all that its own actions caused."""
        while self.events:
            self.act(self.policy.handle(self.now, self.events.popleft()))
        if self.touched:
            touched, self.touched = self.touched, []
            for request in touched:
                # Rule 1: the module either tries on or answers; it has no reason to sit on a request.
                if not request.answered and not holds(request.out > 0, "a request is tried or answered"):
                    self.finish(request, m.Break(request.call.client, request.call.call))

    def act(self, actions: list[api.Action]) -> None:
        for a in actions:
            if isinstance(a, api.Fetch):
                self.fetch(a)
            elif isinstance(a, api.SetTimer):
                self.effects.append(m.Wake(a.at_ns, (Timer.MODULE, a.label, 0)))
            elif isinstance(a, api.Cancel):
                self.cancel(a)
            elif isinstance(a, (api.Refuse, api.Fail)):
                self.give_up(a)
            elif isinstance(a, api.Log):
                self.log(a.text)
            elif isinstance(a, api.Probe):
                self.probe(a.cache)
            # Subscribe needs nothing: the feed is polled all the time.

    def fetch(self, f: api.Fetch) -> None:
        """Send an attempt, now or when its connection stands."""
        request = self.requests.get(int(f.id))
        if request is None or not holds(not request.answered, "no attempt behind the final answer"):
            return
        index, request.tries = request.tries, request.tries + 1
        link = self.link_for(f.cache, request)
        if link is None or f.source not in self.endpoints:
            self.events.append(api.AttemptEnded(f.id, index, f.cache, Outcome.MOOT, 0, False))
            return  # the module hears of it in this same input
        self.made += 1
        attempt = Attempt(self.made, request, f, self.now, index, link)
        request.out += 1
        self.attempts[self.made], self.tries[f.id, index] = attempt, self.made
        # The module is told at the deadline, so that its last answer goes out within the slack.
        due = min(self.now + f.timeout_ns, request.deadline_ns) if f.timeout_ns else request.deadline_ns
        self.effects.append(m.Wake(due, (Timer.ATTEMPT, self.made, 0)))
        self.place(attempt)

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
        attempt.sent = True
        if not attempt.link.watched:
            attempt.link.watched = True
            self.wake(self.quiet_ns(), Timer.QUIET, attempt.link.number)
        due = min(attempt.began_ns + f.timeout_ns, attempt.request.deadline_ns)
        self.effects.append(m.Pull(
            link=attempt.link.number, id=c.trace, cls=c.cls, object=c.object, part=c.part,
            limit_ms=max(1, (due - self.now) // MS), source="" if f.source == f.cache else f.source,
            rank=f.rank, age_limit_ms=max(1, f.max_age_ns // MS) if f.max_age_ns else 0, join=f.join,
            held_only=f.held_only, no_parent_copy=f.no_parent_copy, renew=f.renew, tag=c.tag, body=c.body))

    def link_for(self, server: str, request: Request | None, id: str = "") -> Link | None:
        """A connection for one more, opened if need be.  What must not run twice goes out on one of its own:
        it could not be repeated if another's answer spoilt the connection."""
        if request:
            id = request.call.trace
        alone = request is not None and self.classes[request.call.cls].effect is api.Effect.UNSAFE
        link = self.links.find(server, id, alone)
        if link is None and server in self.endpoints:
            endpoint = self.endpoints[server]
            link = self.links.add(endpoint)
            if link:
                self.tally["dials"] += 1
                self.effects.append(m.Dial(link.number, endpoint.address))
                self.wake(self.config.dial_ns, Timer.DIAL, link.number)
        if link and not link.load():
            link.alone = alone
        return link

    def cancel(self, a: api.Cancel) -> None:
        """Stop waiting for an attempt of a request, answered or not."""
        number = self.tries.get((a.id, a.attempt))
        if number is not None:
            attempt = self.attempts[number]
            if attempt.sent:
                self.withdraw(attempt)
            self.ended(attempt, Outcome.CANCELLED)

    def give_up(self, a: api.Refuse | api.Fail) -> None:
        """The module's final answer, at once."""
        request = self.requests.get(int(a.id))
        if request is None:
            return
        client, call = request.call.client, request.call.call
        if isinstance(a, api.Refuse):
            self.tally["refused"] += 1
            self.finish(request, m.Decline(client, call, a.retry_in_ns))
        else:
            self.tally["failed"] += 1
            self.finish(request, m.Break(client, call))

    def probe(self, server: str) -> None:
        """Ask a server for its load."""
        self.made += 1
        id = f"probe-{self.made}"
        link = self.link_for(server, None, id)
        if link is None:
            self.events.append(api.Probed(server, Outcome.MOOT, 0))
            return
        self.probes[self.made] = Probe(server, link, id, self.now)
        self.wake(self.config.dial_ns, Timer.PROBE, self.made)
        if link.up:
            link.out[id] = self.made
            self.effects.append(m.Check(link.number, id))
        else:
            link.waiting[id] = self.made

    def wake(self, after_ns: int, timer: Timer, number: int = 0) -> None:
        self.effects.append(m.Wake(self.now + after_ns, (timer, number, 0)))

    def log(self, text: str) -> None:
        self.effects.append(m.Log(text))
