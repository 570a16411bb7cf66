"""Rules for the router, checked on the recorded messages of random deployments (testbed/deployments.py)."""

from __future__ import annotations

import unittest
from dataclasses import replace

from kelpcroft.core import effects
from testbed.deployments import FATES_NOT_EXECUTED, MS, AttemptRecord, RequestRecord, S, SimulatedDay

SEEDS = 60
SLACK = 51 * MS


class Watch:
    """Check of a simulated day: compares attempts and their ends and clients' responses with the settings."""

    def __init__(self, day: SimulatedDay) -> None:
        self.day, self.found = day, list[str]()
        self.s = day.raw_config["settings"]
        self.addresses = {e["name"]: e for e in day.endpoints.values()}
        by_key: dict[str, list[AttemptRecord]] = {}
        for sent in day.attempts:
            ask = day.requests_by_trace[sent.command.attempt_id]
            by_key.setdefault(ask.request.idempotency_key or sent.command.attempt_id, []).append(sent)
            self.purges(sent, ask)
            self.drains(sent)
        if self.s["weight_source"] != "off":
            for at, what, name in day.notices:
                if what == "active":
                    self.cold(name, at)
        for ask in day.requests.values():
            self.answers(ask)
        for key, sends in by_key.items():
            self.effects(key, sends)

    def say(self, rule: str, what: str) -> None:
        self.found.append(f"{rule}: {what}")

    def answers(self, ask: RequestRecord) -> None:
        """Each request gets one final response in time if the router that received it is still running."""
        due = ask.arrived_ns + ask.request.remaining_time_ns + SLACK
        if len(ask.final_effects) > 1 or (not ask.final_effects and (not ask.gone_ns or ask.gone_ns >= due)):
            self.say("answered", f"{ask.request.trace_id} has {len(ask.final_effects)} answers")
        if ask.final_effects and ask.final_effects[0][0] > due:
            self.say("answered", f"{ask.request.trace_id} is late")
        sends = [x for x in self.day.attempts if x.command.attempt_id == ask.request.trace_id]
        if len(sends) > self.s["limits"]["most_tries"]:
            self.say("attempts", f"{ask.request.trace_id} was sent {len(sends)} times")
        if ask.final_effects and sends and max(x.sent_ns for x in sends) > ask.final_effects[0][0]:
            self.say("answered", f"{ask.request.trace_id} was sent after its answer")

    def may_have_run(self, sent: AttemptRecord, now: int) -> bool:
        """Whether an attempt may have run, as known at a time; its end can prove that it did not run."""
        return not (sent.fate in FATES_NOT_EXECUTED and sent.ended_ns and sent.ended_ns <= now)

    def effects(self, key: str, sends: list[AttemptRecord]) -> None:
        """Second attempts and rejections of one key, over all its requests, follow the rules of its class."""
        cls = self.day.classes[sends[0].command.request_class]
        for n, sent in enumerate(sends):
            out = [
                x
                for x in sends[:n]
                if x.router_life == sent.router_life and not (x.ended_ns and x.ended_ns <= sent.sent_ns)
            ]
            if out and not (self.s["limits"]["second_copies"] and cls["idempotency"] == "safe"):
                self.say("one out", f"{key} has two out")
            if cls["idempotency"] == "safe":
                continue
            ran = [
                x
                for x in sends[:n]
                if self.may_have_run(x, sent.sent_ns) and x.router_life == sent.router_life
            ]
            if ran and cls["idempotency"] == "unsafe":
                self.say("twice", f"{key} was sent again")
            if ran and cls["idempotency"] == "keyed":
                if sent.sent_ns >= ran[0].sent_ns + cls["dedup_window_ns"]:
                    self.say(
                        "window",
                        f"{key} was sent {(sent.sent_ns - ran[0].sent_ns) / S:.2f} s after the first",
                    )
                a, b = self.addresses[ran[0].server], self.addresses[sent.server]
                shared = {"all": "", "zone": "zone", "cell": "group"}[cls["group"]]
                if shared and a[shared] != b[shared]:
                    self.say("group", f"{key} was sent outside the {cls['group']}")
            if (
                sent.command.idempotency_key
                != self.day.requests_by_trace[sent.command.attempt_id].request.idempotency_key
            ):
                self.say("nonce", f"{key} went out as {sent.command.idempotency_key!r}")
        if cls["idempotency"] == "safe" or (cls["idempotency"] == "keyed" and cls["group"] == "all"):
            return
        for trace in {x.command.attempt_id for x in sends}:
            ask = self.day.requests_by_trace[trace]
            for at, answer in ask.final_effects:
                if isinstance(answer, effects.RejectRequest) and any(
                    x.sent_ns <= at and self.may_have_run(x, at) and x.router_life == ask.router_life
                    for x in sends
                ):
                    self.say("refused", f"{key} may have run")

    def drains(self, sent: AttemptRecord) -> None:
        """No attempt is sent to or filled from a server after its drain notice; the grace is not used."""
        for name in (sent.server, sent.command.source):
            told = [(at, what) for at, what, who in self.day.notices if who == name and at < sent.sent_ns]
            if name and told and max(told)[1] == "leaving":
                self.say(
                    "drain", f"{name} was sent to, told {(sent.sent_ns - max(told)[0]) / MS:.0f} ms before"
                )

    def purges(self, sent: AttemptRecord, ask: RequestRecord) -> None:
        """No attempt allows a copy from before a reported purge."""
        call = ask.request
        done = self.s["family_info"]["purge_takes_ns"]
        for at, what, more in self.day.notices:
            if what == "purge" and at <= sent.sent_ns < at + done:
                item, group, when = more
                if item == call.object_number or (item is None and group == call.group):
                    if not 0 < sent.command.max_age_ms * MS <= sent.sent_ns - when:
                        self.say("purge", f"{call.trace_id} allows {sent.command.max_age_ms} ms")

    def cold(self, name: str, born: int) -> None:
        """A server that has just started is sent no more than its cold capacity allows.

        In any window of ``fall_ns``, the sending times of the attempts that are sent to it or filled from it
        stay within the rule's bound.  The largest attempt is not counted, because one can always be sent.
        """
        f, contract = self.s["family_info"], self.s["contract"]
        e = self.addresses[name]
        parent = e["type"] == "hub"
        low = f["parent_cold_from"] if parent else contract["cold_from"]
        span = f["parent_warms_in_ns"] if parent else contract["cold_ns"]
        multiple = f["parent_fall_multiple"] if parent else contract["fall_multiple"]
        fall = contract["fall_ns"]
        if low >= 1:
            return  # the server is never cold
        again = min(
            (at for at, what, who in self.day.notices if who == name and at > born), default=born + span
        )
        here = [
            s
            for s in self.day.attempts
            if born <= s.sent_ns < min(again, born + span) and name in (s.server, s.command.source)
        ]
        pace = f["pace_kb_per_s"]
        for n, sent in enumerate(here):
            window = [s for s in here[: n + 1] if s.sent_ns > sent.sent_ns - fall]
            work = [self.work(s, pace) for s in window]
            share = low + (1 - low) * (sent.sent_ns - born) / span
            room = multiple * share * e["weight"] * fall
            if sum(work) - max(work) > room:
                self.say(
                    "cold",
                    f"{name} is sent {sum(work) / S:.2f} s in {fall / S:.0f} s, "
                    f"{(sent.sent_ns - born) / S:.2f} s after its start, where {room / S:.2f} s fit",
                )
                return

    def work(self, sent: AttemptRecord, pace: float) -> float:
        """Sending time of one attempt in ns: from size and pace if both are known, else the service time."""
        size = self.day.requests_by_trace[sent.command.attempt_id].request.size_kb
        return size / pace * S if size and pace else sent.service_ns


class Generated(unittest.TestCase):
    def test_rules_at_any_deployment(self) -> None:
        served = sent = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                day = SimulatedDay(seed)
                assert Watch(day).found == []
                served += sum(
                    isinstance(f, effects.SendResponse)
                    for a in day.requests.values()
                    for _, f in a.final_effects
                )
                sent += len(day.attempts)
        assert served > 30 * SEEDS, "days with few served requests prove little"
        assert sent > served

    def test_a_seed_replays_a_day(self) -> None:
        one, two = SimulatedDay(5), SimulatedDay(5)
        assert [(s.sent_ns, s.server, s.command.attempt_id) for s in one.attempts] == [
            (s.sent_ns, s.server, s.command.attempt_id) for s in two.attempts
        ]

    def test_the_watch_sees_what_is_broken(self) -> None:
        """Each rule that is broken in the record of a correct day is reported."""

        def broken(change: str) -> set[str]:
            seen: set[str] = set()
            for seed in range(12):
                day = SimulatedDay(seed, 6)
                for sent in day.attempts[:]:
                    ask = day.requests_by_trace[sent.command.attempt_id]
                    if change == "again":
                        day.attempts.append(
                            AttemptRecord(sent.sent_ns + 1, sent.command, "store", sent.router_life, "done")
                        )
                    elif change == "drain":
                        day.notices.append((sent.sent_ns - 1, "leaving", sent.server))
                    elif change == "purge":
                        day.notices.append(
                            (sent.sent_ns - 1, "purge", (ask.request.object_number, 0, sent.sent_ns + S))
                        )
                    elif change == "cold":
                        day.notices.append((sent.sent_ns - 1, "active", sent.server))
                        day.attempts += [replace(sent, service_ns=S, command=sent.command)] * 400
                        break
                    elif change == "twice" and ask.final_effects:
                        ask.final_effects.append(ask.final_effects[0])
                    elif change == "silent":
                        ask.final_effects.clear()
                    elif change == "refused" and ask.final_effects:
                        ask.final_effects[0] = (ask.final_effects[0][0] + S, effects.RejectRequest(1, 1, 0))
                seen |= {line.split(":")[0] for line in Watch(day).found}
            return seen

        assert {"one out", "twice", "group"} <= broken("again")
        for change, due in (
            ("cold", "cold"),
            ("drain", "drain"),
            ("purge", "purge"),
            ("twice", "answered"),
            ("silent", "answered"),
            ("refused", "refused"),
        ):
            assert due in broken(change), change
