"""The rules at deployments made by chance (testbed/deployments.py), judged from what went over the wires."""

from __future__ import annotations

import unittest
from dataclasses import replace

from kelpcroft.core import effects
from testbed.deployments import MS, NEVER_RAN, Ask, Day, S, Send

SEEDS = 60
SLACK = 51 * MS


class Watch:
    """Holds a day against the rules.  Knows the settings, the sends, the ends and what clients got."""

    def __init__(self, day: Day) -> None:
        self.day, self.found = day, list[str]()
        self.s = day.raw["settings"]
        self.addresses = {e["name"]: e for e in day.endpoints.values()}
        by_key: dict[str, list[Send]] = {}
        for sent in day.sends:
            ask = day.by_trace[sent.pull.attempt_id]
            by_key.setdefault(ask.call.idempotency_key or sent.pull.attempt_id, []).append(sent)
            self.purges(sent, ask)
            self.drains(sent)
        if self.s["weight_source"] != "off":
            for at, what, name in day.told:
                if what == "active":
                    self.cold(name, at)
        for ask in day.asks.values():
            self.answers(ask)
        for key, sends in by_key.items():
            self.effects(key, sends)

    def say(self, rule: str, what: str) -> None:
        self.found.append(f"{rule}: {what}")

    def answers(self, ask: Ask) -> None:
        """One final answer in time to all that a living router has taken."""
        due = ask.at + ask.call.remaining_time_ns + SLACK
        if len(ask.finals) > 1 or not ask.finals and (not ask.gone or ask.gone >= due):
            self.say("answered", f"{ask.call.trace_id} has {len(ask.finals)} answers")
        if ask.finals and ask.finals[0][0] > due:
            self.say("answered", f"{ask.call.trace_id} is late")
        sends = [x for x in self.day.sends if x.pull.attempt_id == ask.call.trace_id]
        if len(sends) > self.s["limits"]["most_tries"]:
            self.say("attempts", f"{ask.call.trace_id} was sent {len(sends)} times")
        if ask.finals and sends and max(x.at for x in sends) > ask.finals[0][0]:
            self.say("answered", f"{ask.call.trace_id} was sent after its answer")

    def may_have_run(self, sent: Send, now: int) -> bool:
        """What was known at a time: proof that it never ran comes with its end."""
        return not (sent.fate in NEVER_RAN and sent.over and sent.over <= now)

    def effects(self, key: str, sends: list[Send]) -> None:
        """Second sends and refusals of what may not run twice, over all requests of one key."""
        cls = self.day.classes[sends[0].pull.request_class]
        for n, sent in enumerate(sends):
            out = [x for x in sends[:n] if x.life == sent.life and not (x.over and x.over <= sent.at)]
            if out and not (self.s["limits"]["second_copies"] and cls["idempotency"] == "safe"):
                self.say("one out", f"{key} has two out")
            if cls["idempotency"] == "safe":
                continue
            ran = [x for x in sends[:n] if self.may_have_run(x, sent.at) and x.life == sent.life]
            if ran and cls["idempotency"] == "unsafe":
                self.say("twice", f"{key} was sent again")
            if ran and cls["idempotency"] == "keyed":
                if sent.at >= ran[0].at + cls["dedup_window_ns"]:
                    self.say("window", f"{key} was sent {(sent.at - ran[0].at) / S:.2f} s after the first")
                a, b = self.addresses[ran[0].server], self.addresses[sent.server]
                shared = {"all": "", "zone": "zone", "cell": "group"}[cls["group"]]
                if shared and a[shared] != b[shared]:
                    self.say("group", f"{key} was sent outside the {cls['group']}")
            if sent.pull.idempotency_key != self.day.by_trace[sent.pull.attempt_id].call.idempotency_key:
                self.say("nonce", f"{key} went out as {sent.pull.idempotency_key!r}")
        if cls["idempotency"] == "safe" or cls["idempotency"] == "keyed" and cls["group"] == "all":
            return
        for trace in {x.pull.attempt_id for x in sends}:
            ask = self.day.by_trace[trace]
            for at, answer in ask.finals:
                if isinstance(answer, effects.RejectRequest) and any(
                    x.at <= at and self.may_have_run(x, at) and x.life == ask.life for x in sends
                ):
                    self.say("refused", f"{key} may have run")

    def drains(self, sent: Send) -> None:
        """Nothing new to, or filled from, a server told to be draining or gone.  The grace is not used."""
        for name in (sent.server, sent.pull.source):
            told = [(at, what) for at, what, who in self.day.told if who == name and at < sent.at]
            if name and told and max(told)[1] == "leaving":
                self.say("drain", f"{name} was sent to, told {(sent.at - max(told)[0]) / MS:.0f} ms before")

    def purges(self, sent: Send, ask: Ask) -> None:
        """No copy older than a purge told."""
        call = ask.call
        done = self.s["family_info"]["purge_takes_ns"]
        for at, what, more in self.day.told:
            if what == "purge" and at <= sent.at < at + done:
                item, group, when = more
                if item == call.object_number or item is None and group == call.group:
                    if not 0 < sent.pull.max_age_ms * MS <= sent.at - when:
                        self.say("purge", f"{call.trace_id} allows {sent.pull.max_age_ms} ms")

    def cold(self, name: str, born: int) -> None:
        """A server that has started is sent no more than it can bear: in any span of ``fall_ns`` the sending
        times of what goes to it, or is filled from it, stay under what the rule names, one request above it
        as the least that can be sent.  Work is what the settings tell of it, or what came of it."""
        f, contract = self.s["family_info"], self.s["contract"]
        e = self.addresses[name]
        parent = e["type"] == "hub"
        low = f["parent_cold_from"] if parent else contract["cold_from"]
        span = f["parent_warms_in_ns"] if parent else contract["cold_ns"]
        multiple = f["parent_fall_multiple"] if parent else contract["fall_multiple"]
        fall = contract["fall_ns"]
        if low >= 1:
            return  # it is never cold
        again = min((at for at, what, who in self.day.told if who == name and at > born), default=born + span)
        here = [
            s
            for s in self.day.sends
            if born <= s.at < min(again, born + span) and name in (s.server, s.pull.source)
        ]
        pace = f["pace_kb_per_s"]
        for n, sent in enumerate(here):
            window = [s for s in here[: n + 1] if s.at > sent.at - fall]
            work = [self.work(s, pace) for s in window]
            share = low + (1 - low) * (sent.at - born) / span
            room = multiple * share * e["weight"] * fall
            if sum(work) - max(work) > room:
                self.say(
                    "cold",
                    f"{name} is sent {sum(work) / S:.2f} s in {fall / S:.0f} s, "
                    f"{(sent.at - born) / S:.2f} s after its start, where {room / S:.2f} s fit",
                )
                return

    def work(self, sent: Send, pace: float) -> float:
        """Sending time of one attempt in ns."""
        size = self.day.by_trace[sent.pull.attempt_id].call.size_kb
        return size / pace * S if size and pace else sent.took


class Generated(unittest.TestCase):
    def test_rules_at_any_deployment(self) -> None:
        served = sent = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                day = Day(seed)
                self.assertEqual(Watch(day).found, [])
                served += sum(
                    isinstance(f, effects.SendResponse) for a in day.asks.values() for _, f in a.finals
                )
                sent += len(day.sends)
        self.assertGreater(served, 30 * SEEDS, "days on which hardly anything is served prove little")
        self.assertGreater(sent, served)

    def test_a_seed_replays_a_day(self) -> None:
        one, two = Day(5), Day(5)
        self.assertEqual(
            [(s.at, s.server, s.pull.attempt_id) for s in one.sends],
            [(s.at, s.server, s.pull.attempt_id) for s in two.sends],
        )

    def test_the_watch_sees_what_is_broken(self) -> None:
        """Each rule broken in the record of a sound day is named."""

        def broken(change: str) -> set[str]:
            seen: set[str] = set()
            for seed in range(12):
                day = Day(seed, 6)
                for sent in day.sends[:]:
                    ask = day.by_trace[sent.pull.attempt_id]
                    if change == "again":
                        day.sends.append(Send(sent.at + 1, sent.pull, "store", sent.life, "done"))
                    elif change == "drain":
                        day.told.append((sent.at - 1, "leaving", sent.server))
                    elif change == "purge":
                        day.told.append((sent.at - 1, "purge", (ask.call.object_number, 0, sent.at + S)))
                    elif change == "cold":
                        day.told.append((sent.at - 1, "active", sent.server))
                        day.sends += [replace(sent, took=S, pull=sent.pull)] * 400
                        break
                    elif change == "twice" and ask.finals:
                        ask.finals.append(ask.finals[0])
                    elif change == "silent":
                        ask.finals.clear()
                    elif change == "refused" and ask.finals:
                        ask.finals[0] = (ask.finals[0][0] + S, effects.RejectRequest(1, 1, 0))
                seen |= {line.split(":")[0] for line in Watch(day).found}
            return seen

        self.assertLessEqual({"one out", "twice", "group"}, broken("again"))
        for change, due in (
            ("cold", "cold"),
            ("drain", "drain"),
            ("purge", "purge"),
            ("twice", "answered"),
            ("silent", "answered"),
            ("refused", "refused"),
        ):
            self.assertIn(due, broken(change), change)
