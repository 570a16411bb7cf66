"""Clients' calls: what is taken, and the one final answer that each is owed."""

from __future__ import annotations

from kelpcroft.core import effects, inputs
from kelpcroft.core.state import SECOND, OpenRequest, State
from kelpcroft.decision import interface as api
from kelpcroft.invariants import holds

MAX_OPEN_REQUESTS_PER_CLIENT = 32  # calls that one client may have open

# How a request ended, in the words of the step trace (``ROUTER_TRACE``).
TRACE_WORDS: dict[type[effects.Effect], str] = {
    effects.SendResponse: "Serve",
    effects.RejectRequest: "Decline",
    effects.FailRequest: "Break",
}


class ClientRequests:
    """Takes calls in and answers them once."""

    def __init__(self, state: State) -> None:
        self.state = state

    def on_call(self, c: inputs.ClientRequest) -> None:
        """Bad clients get an error or a close here, before anything is sent on for them: servers answer their
        requests with errors, which would tell against the server and against the request with the same id."""
        here = self.state.requests_by_client.get(c.client, {})
        if c.request_number in here or len(here) >= MAX_OPEN_REQUESTS_PER_CLIENT:
            self.state.counters["hung up on"] += 1
            self.state.effects.append(
                effects.CloseClient(
                    c.client,
                    f"call {c.request_number} is open already"
                    if c.request_number in here
                    else "too many calls open",
                )
            )
            return
        cls = self.state.classes.get(c.request_class)
        if (
            c.validation_error
            or cls is None
            or c.remaining_time_ns > 2 * cls.deadline_ns > 0
            or c.trace_id in self.state.traces
            or cls.idempotency is api.Idempotency.KEYED
            and not c.idempotency_key
        ):
            self.state.counters["not usable"] += 1
            if self.state.ledger is not None and cls is not None:
                self.state.ledger.record_end(cls.name, "failed", 0, cls.priority_weight, False)
            self.state.effects.append(effects.FailRequest(c.client, c.request_number))
            return
        # Also where it is to run once for now, as in the passage to a file that makes its class keyed: the
        # client's retry after it must find what this one has done.
        keyed = cls.idempotency is not api.Idempotency.SAFE and bool(c.idempotency_key)
        if keyed and (c.request_class, c.idempotency_key) in self.state.idempotency_keys.open:
            # Its first request is under way here: two of one key are never out together.
            self.turn_away(c, "keys in use")
            return
        if keyed and self.state.idempotency_keys.is_full(self.state.now):
            self.turn_away(c, "keys too many")
            return
        most = self.state.settings.limits.max_open_requests
        if most and len(self.state.requests) >= most:
            self.turn_away(c, "too many open")
            return
        self.state.last_number += 1
        routes, patience, grant = self.state.routes, c.remaining_time_ns, None
        if routes is not None:
            grant = routes.admit(
                self.state.now,
                cls,
                c.object_id,
                c.group,
                c.part_number,
                c.is_retry,
                len(c.body) > 0,
                patience,
                c.queued_ns,
            )
            if grant is not None:
                patience = grant.answer_timeout_ns
        request = OpenRequest(
            str(self.state.last_number), c, self.state.now + patience, grant, patience_ns=patience
        )
        self.state.requests[self.state.last_number] = self.state.requests_by_client.setdefault(c.client, {})[
            c.request_number
        ] = request
        self.state.traces.add(c.trace_id)
        ran = None
        if keyed:
            self.state.idempotency_keys.open.add((c.request_class, c.idempotency_key))
            ran = self.state.idempotency_keys.find(self.state.now, c.request_class, c.idempotency_key)
        self.state.counters["taken"] += 1
        self.state.touched.append(request)
        if self.state.is_tracing:
            self.state.trace(
                "taken",
                id=c.trace_id,
                cls=c.request_class,
                object=c.object_id,
                part=c.part_number,
                patience=c.remaining_time_ns,
                retry=c.is_retry,
            )
        self.state.events.append(
            api.Request(
                id=request.id,
                class_name=c.request_class,
                time_remaining_ns=patience,
                object_id=c.object_number,
                part=c.part_number,
                purge_group=c.group,
                size_kb=c.size_kb,
                is_write=len(c.body) > 0,
                is_retry=c.is_retry,
                retry_policy=None if grant is None else grant.bounds,
                prior_execution=ran,
                prior_attempt_unknown=keyed and c.is_retry and ran is None,
            )
        )

    def turn_away(self, c: inputs.ClientRequest, why: str) -> None:
        """The final answer to a call that is not taken: refused, or failed where an earlier request of its
        key may have run and a repeat elsewhere would run it again (rule 2: whoever words a refusal)."""
        self.state.counters[why] += 1
        cls, keys = self.state.classes.get(c.request_class), self.state.idempotency_keys
        if self.state.ledger is not None and cls is not None:
            self.state.ledger.record_end(cls.name, "refused", 0, cls.priority_weight, False)
        ran = c.idempotency_key and (
            (c.request_class, c.idempotency_key) in keys.open
            or keys.find(self.state.now, c.request_class, c.idempotency_key)
        )
        dropped = cls is not None and cls.idempotency is api.Idempotency.KEYED and cls.dedup_scope == "all"
        harmful = ran and cls is not None and cls.idempotency is not api.Idempotency.SAFE and not dropped
        answer = (
            effects.FailRequest(c.client, c.request_number)
            if harmful
            else effects.RejectRequest(c.client, c.request_number, 0)
        )
        self.state.effects.append(answer)

    def finish(
        self,
        request: OpenRequest,
        answer: effects.SendResponse | effects.RejectRequest | effects.FailRequest | None,
    ) -> None:
        """The final answer, or None where the client wants none."""
        if not holds(not request.answered, "one final answer for each request"):
            return
        request.answered = True
        del self.state.requests[int(request.id)]
        self.state.traces.discard(request.message.trace_id)
        if request.message.idempotency_key:
            self.state.idempotency_keys.open.discard(
                (request.message.request_class, request.message.idempotency_key)
            )
        open_here = self.state.requests_by_client[request.message.client]
        del open_here[request.message.request_number]
        if not open_here:
            del self.state.requests_by_client[request.message.client]
        if request.grant is not None:
            request.grant.release()
        if self.state.ledger is not None:
            self.book(request, answer)
        if self.state.is_tracing:
            self.state.trace(
                "final",
                id=request.message.trace_id,
                cls=request.message.request_class,
                tries=request.tries,
                how=TRACE_WORDS[type(answer)] if answer else "gone",
                out=request.out,
                left=request.deadline_ns - self.state.now,
            )
        if answer:
            self.state.effects.append(answer)

    def book(
        self,
        request: OpenRequest,
        answer: effects.SendResponse | effects.RejectRequest | effects.FailRequest | None,
    ) -> None:
        """Note what became of a request.  Its time counts from the client's send."""
        cls, c, s = self.state.classes.get(request.message.request_class), request.message, self.state
        if cls is None or s.ledger is None:
            return
        pace, unit = s.settings.max_transfer_kb_per_s, s.policy.transfer_time.get(cls.name)
        own = c.size_kb / pace * SECOND if c.size_kb and pace else unit.mean if unit else 0.0
        took = s.now - request.deadline_ns + request.patience_ns + c.queued_ns
        how = {
            effects.SendResponse: "served",
            effects.RejectRequest: "refused",
            effects.FailRequest: "failed",
        }.get(type(answer), "gone")
        s.ledger.record_end(
            cls.name,
            how,
            request.tries,
            cls.priority_weight,
            took <= cls.latency_objective_ns + cls.objective_transfer_multiple * own,
        )

    def gone(self, request: OpenRequest) -> None:
        """The client has stopped waiting."""
        self.finish(request, None)
        self.state.events.append(api.ClientDisconnected(request.id))

    def give_up(self, a: api.Reject | api.Fail) -> None:
        """The module's final answer, at once."""
        request = self.state.requests.get(int(a.id))
        if request is None:
            return
        client, call = request.message.client, request.message.request_number
        if isinstance(a, api.Reject):
            self.state.counters["refused"] += 1
            self.finish(request, effects.RejectRequest(client, call, a.retry_after_ns))
        else:
            self.state.counters["failed"] += 1
            self.finish(request, effects.FailRequest(client, call))
