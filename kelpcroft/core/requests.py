"""Clients' calls: what is taken, and the one final answer that each is owed."""

from __future__ import annotations

from kelpcroft import messages as m
from kelpcroft.core.state import SECOND, Request, State
from kelpcroft.invariants import holds
from zincgrade import interface as api

OPEN_MOST = 32  # calls that one client may have open


class Requests:
    """Takes calls in and answers them once."""

    def __init__(self, state: State) -> None:
        self.state = state

    def on_call(self, c: m.Call) -> None:
        """Bad clients get an error or a close here, before anything is sent on for them: servers answer their
        requests with errors, which would tell against the server and against the request with the same id."""
        here = self.state.calls.get(c.client, {})
        if c.call in here or len(here) >= OPEN_MOST:
            self.state.tally["hung up on"] += 1
            self.state.effects.append(
                m.HangUp(
                    c.client, f"call {c.call} is open already" if c.call in here else "too many calls open"
                )
            )
            return
        cls = self.state.classes.get(c.cls)
        if (
            c.fault
            or cls is None
            or c.patience_ns > 2 * cls.deadline_ns > 0
            or c.trace in self.state.traces
            or cls.effect is api.Effect.KEYED
            and not c.nonce
        ):
            self.state.tally["not usable"] += 1
            if self.state.ledger is not None and cls is not None:
                self.state.ledger.ended(cls.name, "failed", 0, cls.worth, False)
            self.state.effects.append(m.Break(c.client, c.call))
            return
        # Also where it is to run once for now, as in the passage to a file that makes its class keyed: the
        # client's retry after it must find what this one has done.
        keyed = cls.effect is not api.Effect.SAFE and bool(c.nonce)
        if keyed and (c.cls, c.nonce) in self.state.keys.open:
            # Its first request is under way here: two of one key are never out together.
            self.turn_away(c, "keys in use")
            return
        if keyed and self.state.keys.full(self.state.now):
            self.turn_away(c, "keys too many")
            return
        most = self.state.settings.limits.max_open
        if most and len(self.state.requests) >= most:
            self.turn_away(c, "too many open")
            return
        self.state.made += 1
        routes, patience, grant = self.state.routes, c.patience_ns, None
        if routes is not None:
            grant = routes.take(
                self.state.now,
                cls,
                c.object,
                c.group,
                c.part_number,
                c.retry,
                len(c.body) > 0,
                patience,
                c.waited_ns,
            )
            if grant is not None:
                patience = grant.wait_ns
        request = Request(str(self.state.made), c, self.state.now + patience, grant, patience_ns=patience)
        self.state.requests[self.state.made] = self.state.calls.setdefault(c.client, {})[c.call] = request
        self.state.traces.add(c.trace)
        ran = None
        if keyed:
            self.state.keys.open.add((c.cls, c.nonce))
            ran = self.state.keys.find(self.state.now, c.cls, c.nonce)
        self.state.tally["taken"] += 1
        self.state.touched.append(request)
        if self.state.traced:
            self.state.trace(
                "taken",
                id=c.trace,
                cls=c.cls,
                object=c.object,
                part=c.part_number,
                patience=c.patience_ns,
                retry=c.retry,
            )
        self.state.events.append(
            api.Request(
                id=request.id,
                cls=c.cls,
                patience_ns=patience,
                object=c.object_number,
                part=c.part_number,
                group=c.group,
                size_kb=c.size_kb,
                write=len(c.body) > 0,
                retry=c.retry,
                bounds=None if grant is None else grant.bounds,
                ran=ran,
                once=keyed and c.retry and ran is None,
            )
        )

    def turn_away(self, c: m.Call, why: str) -> None:
        """The final answer to a call that is not taken: refused, or failed where an earlier request of its
        key may have run and a repeat elsewhere would run it again (rule 2: whoever words a refusal)."""
        self.state.tally[why] += 1
        cls, keys = self.state.classes.get(c.cls), self.state.keys
        if self.state.ledger is not None and cls is not None:
            self.state.ledger.ended(cls.name, "refused", 0, cls.worth, False)
        ran = c.nonce and ((c.cls, c.nonce) in keys.open or keys.find(self.state.now, c.cls, c.nonce))
        dropped = cls is not None and cls.effect is api.Effect.KEYED and cls.group == "all"
        harmful = ran and cls is not None and cls.effect is not api.Effect.SAFE and not dropped
        answer = m.Break(c.client, c.call) if harmful else m.Decline(c.client, c.call, 0)
        self.state.effects.append(answer)

    def finish(self, request: Request, answer: m.Serve | m.Decline | m.Break | None) -> None:
        """The final answer, or None where the client wants none."""
        if not holds(not request.answered, "one final answer for each request"):
            return
        request.answered = True
        del self.state.requests[int(request.id)]
        self.state.traces.discard(request.call.trace)
        if request.call.nonce:
            self.state.keys.open.discard((request.call.cls, request.call.nonce))
        open_here = self.state.calls[request.call.client]
        del open_here[request.call.call]
        if not open_here:
            del self.state.calls[request.call.client]
        if request.grant is not None:
            request.grant.release()
        if self.state.ledger is not None:
            self.book(request, answer)
        if self.state.traced:
            self.state.trace(
                "final",
                id=request.call.trace,
                cls=request.call.cls,
                tries=request.tries,
                how=type(answer).__name__ if answer else "gone",
                out=request.out,
                left=request.deadline_ns - self.state.now,
            )
        if answer:
            self.state.effects.append(answer)

    def book(self, request: Request, answer: m.Serve | m.Decline | m.Break | None) -> None:
        """Note what became of a request.  Its time counts from the client's send."""
        cls, c, s = self.state.classes.get(request.call.cls), request.call, self.state
        if cls is None or s.ledger is None:
            return
        pace, unit = s.settings.pace_kb_per_s, s.policy.unit.get(cls.name)
        own = c.size_kb / pace * SECOND if c.size_kb and pace else unit.mean if unit else 0.0
        took = s.now - request.deadline_ns + request.patience_ns + c.waited_ns
        how = {m.Serve: "served", m.Decline: "refused", m.Break: "failed"}.get(type(answer), "gone")
        s.ledger.ended(cls.name, how, request.tries, cls.worth, took <= cls.aim_ns + cls.aim_stretch * own)

    def gone(self, request: Request) -> None:
        """The client has stopped waiting."""
        self.finish(request, None)
        self.state.events.append(api.ClientGone(request.id))

    def give_up(self, a: api.Refuse | api.Fail) -> None:
        """The module's final answer, at once."""
        request = self.state.requests.get(int(a.id))
        if request is None:
            return
        client, call = request.call.client, request.call.call
        if isinstance(a, api.Refuse):
            self.state.tally["refused"] += 1
            self.finish(request, m.Decline(client, call, a.retry_in_ns))
        else:
            self.state.tally["failed"] += 1
            self.finish(request, m.Break(client, call))
