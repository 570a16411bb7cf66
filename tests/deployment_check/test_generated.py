"""Rules of the router, checked on the recorded traffic of random deployments (testbed/deployments.py)."""

from __future__ import annotations

import unittest
from dataclasses import replace

from kelpcroft.core import effects
from testbed.deployments import MS, OUTCOMES_NOT_EXECUTED, AttemptRecord, RequestRecord, S, SimulatedDay

SEEDS = 60
SLACK = 51 * MS


class DayCheck:
    """Checks the attempts of a simulated day, their ends and the clients' responses against the settings."""

    def __init__(self, day: SimulatedDay) -> None:
        self.day, self.violations = day, list[str]()
        self.settings = day.raw_config["settings"]
        self.addresses = {e["name"]: e for e in day.endpoints.values()}
        by_key: dict[str, list[AttemptRecord]] = {}
        for attempt in day.attempts:
            record = day.requests_by_trace[attempt.command.attempt_id]
            by_key.setdefault(record.request.idempotency_key or attempt.command.attempt_id, []).append(
                attempt
            )
            self.check_purges(attempt, record)
            self.check_drains(attempt)
        if self.settings["weight_source"] != "off":
            for at, kind, name in day.feed_events:
                if kind == "active":
                    self.check_cold_start(name, at)
        for record in day.requests.values():
            self.check_responses(record)
        for key, attempts in by_key.items():
            self.check_attempts(key, attempts)

    def report(self, rule: str, text: str) -> None:
        self.violations.append(f"{rule}: {text}")

    def check_responses(self, record: RequestRecord) -> None:
        """Each request gets one final response in time if the router that received it is still running."""
        due_ns = record.arrived_ns + record.request.remaining_time_ns + SLACK
        if len(record.final_effects) > 1 or (
            not record.final_effects and (not record.aborted_ns or record.aborted_ns >= due_ns)
        ):
            self.report("answered", f"{record.request.trace_id} has {len(record.final_effects)} responses")
        if record.final_effects and record.final_effects[0][0] > due_ns:
            self.report("answered", f"{record.request.trace_id} is late")
        attempts = [x for x in self.day.attempts if x.command.attempt_id == record.request.trace_id]
        if len(attempts) > self.settings["limits"]["most_tries"]:
            self.report("attempts", f"{record.request.trace_id} was sent {len(attempts)} times")
        if (
            record.final_effects
            and attempts
            and max(x.sent_ns for x in attempts) > record.final_effects[0][0]
        ):
            self.report("answered", f"{record.request.trace_id} was sent after its response")

    def may_have_run(self, attempt: AttemptRecord, now_ns: int) -> bool:
        """Whether an attempt may have run, as known at a time; its end can prove that it did not run."""
        return not (
            attempt.outcome in OUTCOMES_NOT_EXECUTED and attempt.ended_ns and attempt.ended_ns <= now_ns
        )

    def check_attempts(self, key: str, attempts: list[AttemptRecord]) -> None:
        """Second attempts and rejections of one key, over all its requests, follow the rules of its class."""
        request_class = self.day.classes[attempts[0].command.request_class]
        for n, attempt in enumerate(attempts):
            open_attempts = [
                other
                for other in attempts[:n]
                if other.process_number == attempt.process_number
                and not (other.ended_ns and other.ended_ns <= attempt.sent_ns)
            ]
            if open_attempts and not (
                self.settings["limits"]["second_copies"] and request_class["idempotency"] == "safe"
            ):
                self.report("one out", f"{key} has two attempts in flight")
            if request_class["idempotency"] == "safe":
                continue
            maybe_run = [
                other
                for other in attempts[:n]
                if self.may_have_run(other, attempt.sent_ns)
                and other.process_number == attempt.process_number
            ]
            if maybe_run and request_class["idempotency"] == "unsafe":
                self.report("twice", f"{key} was sent again")
            if maybe_run and request_class["idempotency"] == "keyed":
                if attempt.sent_ns >= maybe_run[0].sent_ns + request_class["dedup_window_ns"]:
                    self.report(
                        "window",
                        f"{key} was sent {(attempt.sent_ns - maybe_run[0].sent_ns) / S:.2f} s "
                        "after the first",
                    )
                first_server, server = self.addresses[maybe_run[0].server], self.addresses[attempt.server]
                shared_key = {"all": "", "zone": "zone", "cell": "group"}[request_class["group"]]
                if shared_key and first_server[shared_key] != server[shared_key]:
                    self.report("group", f"{key} was sent outside the {request_class['group']}")
            if (
                attempt.command.idempotency_key
                != self.day.requests_by_trace[attempt.command.attempt_id].request.idempotency_key
            ):
                self.report("nonce", f"{key} was sent as {attempt.command.idempotency_key!r}")
        if request_class["idempotency"] == "safe" or (
            request_class["idempotency"] == "keyed" and request_class["group"] == "all"
        ):
            return
        for trace in {other.command.attempt_id for other in attempts}:
            record = self.day.requests_by_trace[trace]
            for at_ns, response in record.final_effects:
                if isinstance(response, effects.RejectRequest) and any(
                    other.sent_ns <= at_ns
                    and self.may_have_run(other, at_ns)
                    and other.process_number == record.process_number
                    for other in attempts
                ):
                    self.report("refused", f"{key} may have run")

    def check_drains(self, attempt: AttemptRecord) -> None:
        """No attempt is sent to or filled from a server after its drain event; no grace is allowed."""
        for name in (attempt.server, attempt.command.source):
            feed_events = [
                (at_ns, kind)
                for at_ns, kind, server in self.day.feed_events
                if server == name and at_ns < attempt.sent_ns
            ]
            if name and feed_events and max(feed_events)[1] == "leaving":
                self.report(
                    "drain",
                    f"{name} got an attempt "
                    f"{(attempt.sent_ns - max(feed_events)[0]) / MS:.0f} ms after its drain event",
                )

    def check_purges(self, attempt: AttemptRecord, record: RequestRecord) -> None:
        """No attempt allows a copy from before a purge that the router has received."""
        request = record.request
        sweep_ns = self.settings["family_info"]["purge_takes_ns"]
        for at_ns, kind, purge in self.day.feed_events:
            if kind == "purge" and at_ns <= attempt.sent_ns < at_ns + sweep_ns:
                object_number, group, purged_ns = purge
                if object_number == request.object_number or (
                    object_number is None and group == request.group
                ):
                    if not 0 < attempt.command.max_age_ms * MS <= attempt.sent_ns - purged_ns:
                        self.report("purge", f"{request.trace_id} allows {attempt.command.max_age_ms} ms")

    def check_cold_start(self, name: str, start_ns: int) -> None:
        """A server that has just started is sent no more than its cold capacity allows.

        In any window of ``fall_ns``, the sending times of the attempts that are sent to it or filled from it
        stay within the rule's bound.  The largest attempt is not counted, because one is always allowed.
        """
        family_info, contract = self.settings["family_info"], self.settings["contract"]
        endpoint = self.addresses[name]
        is_parent = endpoint["type"] == "hub"
        cold_share = family_info["parent_cold_from"] if is_parent else contract["cold_from"]
        warm_up_ns = family_info["parent_warms_in_ns"] if is_parent else contract["cold_ns"]
        multiple = family_info["parent_fall_multiple"] if is_parent else contract["fall_multiple"]
        window_ns = contract["fall_ns"]
        if cold_share >= 1:
            return  # the server is never cold
        next_event_ns = min(
            (at_ns for at_ns, kind, server in self.day.feed_events if server == name and at_ns > start_ns),
            default=start_ns + warm_up_ns,
        )
        attempts = [
            other
            for other in self.day.attempts
            if start_ns <= other.sent_ns < min(next_event_ns, start_ns + warm_up_ns)
            and name in (other.server, other.command.source)
        ]
        pace = family_info["pace_kb_per_s"]
        for n, attempt in enumerate(attempts):
            window = [other for other in attempts[: n + 1] if other.sent_ns > attempt.sent_ns - window_ns]
            work = [self.sending_time_ns(other, pace) for other in window]
            share = cold_share + (1 - cold_share) * (attempt.sent_ns - start_ns) / warm_up_ns
            bound_ns = multiple * share * endpoint["weight"] * window_ns
            if sum(work) - max(work) > bound_ns:
                self.report(
                    "cold",
                    f"{name} is sent {sum(work) / S:.2f} s in {window_ns / S:.0f} s, "
                    f"{(attempt.sent_ns - start_ns) / S:.2f} s after its start, "
                    f"where {bound_ns / S:.2f} s fit",
                )
                return

    def sending_time_ns(self, attempt: AttemptRecord, pace: float) -> float:
        """Sending time of one attempt in ns: from size and pace if both are known, else the service time."""
        size = self.day.requests_by_trace[attempt.command.attempt_id].request.size_kb
        return size / pace * S if size and pace else attempt.service_ns


class Generated(unittest.TestCase):
    def test_rules_at_any_deployment(self) -> None:
        served_count = attempt_count = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                day = SimulatedDay(seed)
                assert DayCheck(day).violations == []
                served_count += sum(
                    isinstance(effect, effects.SendResponse)
                    for record in day.requests.values()
                    for _, effect in record.final_effects
                )
                attempt_count += len(day.attempts)
        assert served_count > 30 * SEEDS, "too few served requests to check the rules"
        assert attempt_count > served_count

    def test_a_seed_replays_a_day(self) -> None:
        first, second = SimulatedDay(5), SimulatedDay(5)
        assert [(s.sent_ns, s.server, s.command.attempt_id) for s in first.attempts] == [
            (s.sent_ns, s.server, s.command.attempt_id) for s in second.attempts
        ]

    def test_the_day_check_reports_each_broken_rule(self) -> None:
        """Each rule that is broken in the record of a correct day is reported."""

        def rules_broken_by(change: str) -> set[str]:
            rules: set[str] = set()
            for seed in range(12):
                day = SimulatedDay(seed, 6)
                for attempt in day.attempts[:]:
                    record = day.requests_by_trace[attempt.command.attempt_id]
                    if change == "again":
                        day.attempts.append(
                            AttemptRecord(
                                attempt.sent_ns + 1, attempt.command, "store", attempt.process_number, "done"
                            )
                        )
                    elif change == "drain":
                        day.feed_events.append((attempt.sent_ns - 1, "leaving", attempt.server))
                    elif change == "purge":
                        day.feed_events.append(
                            (
                                attempt.sent_ns - 1,
                                "purge",
                                (record.request.object_number, 0, attempt.sent_ns + S),
                            )
                        )
                    elif change == "cold":
                        day.feed_events.append((attempt.sent_ns - 1, "active", attempt.server))
                        day.attempts += [replace(attempt, service_ns=S, command=attempt.command)] * 400
                        break
                    elif change == "twice" and record.final_effects:
                        record.final_effects.append(record.final_effects[0])
                    elif change == "silent":
                        record.final_effects.clear()
                    elif change == "refused" and record.final_effects:
                        record.final_effects[0] = (
                            record.final_effects[0][0] + S,
                            effects.RejectRequest(1, 1, 0),
                        )
                rules |= {line.split(":")[0] for line in DayCheck(day).violations}
            return rules

        assert {"one out", "twice", "group"} <= rules_broken_by("again")
        for change, rule in (
            ("cold", "cold"),
            ("drain", "drain"),
            ("purge", "purge"),
            ("twice", "answered"),
            ("silent", "answered"),
            ("refused", "refused"),
        ):
            assert rule in rules_broken_by(change), change
