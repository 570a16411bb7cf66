"""Every decision of the router.  Its types, events and actions are in kelpcroft/decision/interface.py.

The ordinary path (docs/design.md): a hash of the object picks the edge cache of the own zone; for a miss, a
list of sources (holding sibling, quickest parent, backup, origin) is tried in turn; a server that fails is
dead and gets only trials until one succeeds.  All else here is a guard round that path."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from hashlib import blake2b

from kelpcroft.decision import interface as api
from kelpcroft.decision.interface import Action, FillResult, Idempotency, Outcome, Role
from kelpcroft.decision.requests import Attempt, InFlightRequest, ObjectHistory
from kelpcroft.decision.statistics import (
    DecayingSum,
    LinearDecay,
    MeanDeviation,
    SlidingWindowSum,
    mix64,
    price_threshold,
    rendezvous_score,
)

MS = 1_000_000
SECOND_NS = 1_000 * MS
TICK_TIMER, RESUBSCRIBE_TIMER = 0, 1  # labels of the timers
RESUBSCRIBE_DELAY_NS, TICK_NS = (
    SECOND_NS,
    50 * MS,
)  # after a failed call to discovery; between looks at what is out
MAX_LOAD_OVER_MEAN = 1.75  # bounded load: a cache may hold this many times the zone's mean per weight ...
MIN_REQUESTS_BEFORE_BOUND = (
    4.0  # ... but always this many of our requests, so that chance alone moves nothing
)
MAX_PARENT_SCORE_RATIO = 3.0  # parents within this multiple of the best score share fills by object hash
MIN_ORIGIN_ADVANTAGE = 2.0  # the origin does so too where the best is this many times slower than it is
SCORE_HALF_LIFE_NS = (
    4 * SECOND_NS
)  # a score not renewed nears the average by half: so slow ones are tried again
AVERAGE_GAIN = 0.1  # weight of a new sample in running averages: about the last ten
TRANSFER_TIME_GAIN = 0.01  # the same for sending times, which vary widely
UTILIZATION_GAIN, MIN_COMPARED_UTILIZATION, MAX_LOAD_PREFERENCE = (
    0.05,
    0.1,
    4.0,
)  # the same for reports of load; how far they move objects
ENDPOINT_GAIN = 0.3  # weight of a new sample in one cache's slowness, of which a router sees little
MAX_SLOWDOWN_RATIO, MIN_SLOW_CACHE_SHARE = (
    3.0,
    0.25,
)  # a cache this much slower than the zone's best gets less, down to this
UNKNOWN_SIZE_FACTOR = 1.5  # an object of unknown size may well be this much larger than the mean
UNLOADED_TIME_GROWTH = 1.0005  # how fast the free-link sending time may rise an answer
MAX_COST_THRESHOLD, MIN_COST_THRESHOLD = (
    6.0,
    0.4,
)  # limits of the shedding cutoff, in mean sending times per worth
MAX_LATE_SHARE, LATE_SHARE_GAIN = (
    0.2,
    0.2,
)  # recent share of late answers that lowers the cutoff; its averaging
THRESHOLD_DECREASE, THRESHOLD_INCREASE = 0.45, 1.02  # what a cut and an answer in time multiply it by
FULL_LOAD_THRESHOLD, OVERLOAD_DECAY = (
    3.0,
    1.35,
)  # cutoff for fills on a full link; it falls by e to so much a link more
LOAD_SIGNAL_DECAY_NS = SECOND_NS  # one full link over what fits drains in this time, where nothing is told
MAX_SOURCE_WAIT_SHARE = 1 / 3  # of what an answer can spare, a source may take this before fills are cut
THRESHOLD_INCREASE_PER_SECOND, THRESHOLD_INCREASE_PER_SECOND_WITH_SLACK = (
    1.25,
    2.0,
)  # at the least, a second with answers in time, or in a third of it
OFFERED_WORK_SPAN_NS, MAX_RECENT_ARRIVALS = (
    4 * SECOND_NS,
    64,
)  # offered work fades in this time; requests kept to place the bound
MAX_PLANNED_CACHE_SHARE, MAX_PLANNED_FILL_SHARE = 0.95, 1.0  # share of the told links that may be planned for
FILL_SHARE_GAIN = 0.05  # averaging of the share of presumed fills that are ones
AT_CAPACITY_PAUSE_NS = 200 * MS  # a cache that turned us away is asked last for this long
EJECTION_FAILURE_SCORE = 3  # blamed failures in a row that make a server dead; one lost connection does
MIN_TRIAL_INTERVAL_NS, MAX_TRIAL_INTERVAL_NS = (
    SECOND_NS,
    8 * SECOND_NS,
)  # until a dead server's first trial, doubling to
MAX_OBJECT_HISTORIES = 20_000  # objects remembered; beyond that the longest unused is forgotten
KNOWN_COPY_LIFETIME_NS = 10 * SECOND_NS  # a sibling's copy is believed in this long after an answer showed it
REQUEST_COUNT_HALF_LIFE_NS = 15 * SECOND_NS  # an object's request count halves in this time
REUSED_REQUEST_COUNT, HOT_REQUEST_COUNT = 1.5, 4.0  # counts from which a copy is kept at rank 2 and 3
MAX_COLLAPSE_BUDGET_SHARE = 0.6  # share of the toppling budget that we spend: others may guess otherwise
MAX_COLD_UTILIZATION, MIN_COLD_UTILIZATION = (
    0.7,
    0.25,
)  # how busy a cold cache may get by its reports; less is taken for this much
MIN_WARM_HIT_SHARE, MAX_PLAUSIBLE_LOAD = (
    0.02,
    1e4,
)  # a cache with fewer hits has started, told or not; no load is so high
UNKNOWN_CAPACITY_OVER_LOAD = (
    0.5  # a peer's capacity over our load on it, which in a jam is more than it can do
)
RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS = (
    0.2,
    20.0,
)  # further attempts earned by each request, and their store
MAX_SAME_SERVER_RESETS = 2  # lost connections after which a request tries the same server again
UNATTRIBUTED_ERROR_SCORE = 0.3  # an error that blames nobody: the server lives, the request may be at fault
PURGE_MARGIN_NS = MS  # an age limit is this much younger than the purge
INITIAL_TRANSFER_NS = 300 * MS  # sending time of a request until any answer tells
NEVER_NS = 10**15  # longer ago than any rule looks back


class AdmissionController:
    """Sheds the requests with most sending time per worth first when answers come late, or soon will."""

    def __init__(self) -> None:
        self.cost_threshold, self.mean_price = MAX_COST_THRESHOLD, MeanDeviation(0.0, TRANSFER_TIME_GAIN)
        self.raised_ns = self.last_evidence_ns = (
            0  # last answer in time; last one that told of the cutoff as it is
        )
        self.late_share, self.lowered_ns = (
            0.0,
            0,
        )  # recent share of late answers; last time the cutoff was lowered
        self.recent_arrivals: deque[tuple[float, float]] = deque(maxlen=MAX_RECENT_ARRIVALS)
        self.offered_work, self.capacity_threshold = (
            DecayingSum(OFFERED_WORK_SPAN_NS),
            math.inf,
        )  # offered of late; what fits
        # Signs before an answer is late, 1 where what is there just fits: on the link, at caches, at sources.
        self.link_load, self.cache_load, self.source_wait = (
            LinearDecay(LOAD_SIGNAL_DECAY_NS),
            LinearDecay(LOAD_SIGNAL_DECAY_NS),
            LinearDecay(LOAD_SIGNAL_DECAY_NS),
        )
        self.mean_source_wait = MeanDeviation(0.0, AVERAGE_GAIN)

    def record_latency(self, late: bool, start_ns: int, now: int, spare: bool = False) -> None:
        """One answer's timeliness.  Requests taken before the last cut say nothing of its effect."""
        if start_ns < self.lowered_ns:
            return
        self.last_evidence_ns = now
        self.late_share += LATE_SHARE_GAIN * (late - self.late_share)
        if self.late_share > MAX_LATE_SHARE:
            self.cost_threshold, self.late_share, self.lowered_ns = (
                max(MIN_COST_THRESHOLD, self.cost_threshold * THRESHOLD_DECREASE),
                0.0,
                now,
            )
        elif not late:
            # At least so much a second: few are answered behind a closed gate.
            span = min(now - self.raised_ns, SECOND_NS) / SECOND_NS
            pace = THRESHOLD_INCREASE_PER_SECOND_WITH_SLACK if spare else THRESHOLD_INCREASE_PER_SECOND
            self.cost_threshold = min(
                MAX_COST_THRESHOLD, self.cost_threshold * max(THRESHOLD_INCREASE, pace**span)
            )
            self.raised_ns = now

    def record_arrival(self, price: float, work: float, now: int) -> None:
        """A request of this sending time per worth, and its sending time."""
        if (
            self.cost_threshold < MAX_COST_THRESHOLD
            and now - max(self.last_evidence_ns, self.lowered_ns) > SECOND_NS
        ):
            # Requests of one price may all be shut out at the least cutoff: no answer would open it.
            self.cost_threshold, self.last_evidence_ns = (
                min(MAX_COST_THRESHOLD, self.cost_threshold * THRESHOLD_INCREASE_PER_SECOND),
                now,
            )
        self.offered_work.add(now, work)
        self.mean_price.add(price)
        self.recent_arrivals.append((price, work))

    def limit_to_capacity(self, room: float) -> None:
        """Where capacity is told, let in the cheapest that fit its room, before any answer is late."""
        left = room * OFFERED_WORK_SPAN_NS / self.offered_work.total if self.offered_work.total else math.inf
        self.capacity_threshold = price_threshold(self.recent_arrivals, left) if left < 1 else math.inf

    def record_source_wait(self, now: int, share: float) -> None:
        """A source took this share of what its answer could spare: at WAIT_SHARE its queue is long enough.
        Later than late says no more: it would keep fills out, and so all news of sources, for long after."""
        self.mean_source_wait.add(min(1.0, share) / MAX_SOURCE_WAIT_SHARE)
        self.source_wait.record(now, self.mean_source_wait.mean)

    def admits(self, price: float, now: int = 0) -> bool:
        """Whether a request of this price is taken.  What is full counts at once: lateness tells seconds
        later, and by then the queue is there."""
        over = (
            max(self.link_load.value_at(now), self.cache_load.value_at(now), self.source_wait.value_at(now))
            - 1
        )
        cutoff = (
            self.cost_threshold
            if over <= 0
            else min(self.cost_threshold, FULL_LOAD_THRESHOLD * math.exp(-OVERLOAD_DECAY * over))
        )
        return price <= self.capacity_threshold and (
            cutoff >= MAX_COST_THRESHOLD or price <= self.mean_price.mean * cutoff
        )


class OutlierState:
    """Whether a server is dead, by evidence; the only owner of that fact."""

    def __init__(self) -> None:
        self.failure_score, self.is_ejected, self.last_success_ns, self.next_trial_ns = 0.0, False, 0, 0
        self.trial_interval_ns, self.lost_process = (
            MIN_TRIAL_INTERVAL_NS,
            False,
        )  # until its next trial; as a stopped process is

    def record_success(self, now: int) -> bool:
        """A success; True if it brought the server back."""
        back, self.failure_score, self.is_ejected, self.last_success_ns = self.is_ejected, 0.0, False, now
        self.trial_interval_ns = MIN_TRIAL_INTERVAL_NS
        return back

    def record_trial(self, now: int) -> None:
        """A trial is sent.  Each costs a request and every router sends its own, so they grow rarer."""
        self.next_trial_ns, self.trial_interval_ns = (
            now + self.trial_interval_ns,
            min(2 * self.trial_interval_ns, MAX_TRIAL_INTERVAL_NS),
        )

    def record_failure(self, now: int, strikes: float, lost: bool) -> bool:
        """A blamed failure; True if it made the server dead."""
        self.failure_score, self.lost_process = self.failure_score + strikes, lost
        if not self.is_ejected and self.failure_score >= EJECTION_FAILURE_SCORE:
            self.is_ejected, self.next_trial_ns = True, now + MIN_TRIAL_INTERVAL_NS
            return True
        return False


class Endpoint:
    """A cache, a parent or the origin as this router knows it."""

    def __init__(self, line: api.Server) -> None:
        self.server, self.is_listed, self.health = line, True, OutlierState()
        self.hash_seed = int.from_bytes(blake2b(line.name.encode(), digest_size=8).digest(), "big")
        self.started_ns = line.started_ns or -NEVER_NS  # last start, told or guessed
        self.at_capacity_until_ns = 0  # turned us away; asked last until then
        self.requests_in_flight = self.requests_awaiting_fill = (
            0  # our attempts at it that are out; those that wait for their source
        )
        self.last_hit_sent_ns = 0  # the latest send that it has answered from its own copy
        self.fills_requested = 0  # fills we asked it for as a parent
        self.log_first_byte_ns, self.first_byte_updated_ns = (
            MeanDeviation(0.0, ENDPOINT_GAIN),
            0,
        )  # log of its time to first byte; when told
        self.slowdown = MeanDeviation(
            1.0, ENDPOINT_GAIN
        )  # its answer times over the objects' own sending times
        self.work_sent = SlidingWindowSum()  # sending times sent there of late
        self.work_completed = DecayingSum(OFFERED_WORK_SPAN_NS)  # sending times of its answers
        self.utilization, self.mean_utilization = (
            1.0,
            MeanDeviation(1.0, UTILIZATION_GAIN),
        )  # how busy it reports to be; the same over a while

    def warm_fraction(self, now: int, rules: api.Rules) -> float:
        """Its least share of its capacity: cold at the start, full in the stated time, cold while dead."""
        role = self.server.role
        low, span = (
            (rules.parent_cold_capacity_share, rules.parent_warm_up_ns)
            if role is Role.PARENT
            else (rules.cold_capacity_share, rules.warm_up_ns)
        )
        if role is Role.ORIGIN or not (self.health.is_ejected or now - self.started_ns < span):
            return 1.0
        return low if self.health.is_ejected else low + (1 - low) * max(0, now - self.started_ns) / span

    def record_restart(self, at: int) -> None:
        """Told or guessed.  What it gave before tells nothing of what it can give now."""
        if at > self.started_ns:
            self.work_completed = DecayingSum(OFFERED_WORK_SPAN_NS)
        self.started_ns = at

    def spare_capacity(self, now: int) -> float:
        """Sending time a second that it can give us at COLD_BUSY, by what it gave and how busy it was."""
        return (
            self.work_completed.value_at(now)
            / OFFERED_WORK_SPAN_NS
            * MAX_COLD_UTILIZATION
            / max(self.utilization, MIN_COLD_UTILIZATION)
        )

    def load_preference(self, even: float, least: float) -> float:
        """How much more it gets as it reports to be less busy than the zone's mean.  Those under ``least``
        are alike: to move objects to the idlest costs their copies, and one without any is idle for that."""
        lean = (
            (max(even, least) / max(self.mean_utilization.mean, least)) ** 2
            if self.mean_utilization.sample_count
            else 1.0
        )
        return min(MAX_LOAD_PREFERENCE, max(1 / MAX_LOAD_PREFERENCE, lean))

    def latency_score(self, now: int, average: float) -> float:
        """Its time to first byte over its weight; one not heard from for long counts as average."""
        kept = (
            0.5 ** ((now - self.first_byte_updated_ns) / SCORE_HALF_LIFE_NS)
            if self.log_first_byte_ns.sample_count
            else 0.0
        )
        return math.exp(average + kept * (self.log_first_byte_ns.mean - average)) / self.server.weight

    def record_first_byte(self, now: int, time_ns: float) -> None:
        """One sample of that time."""
        self.log_first_byte_ns.add(math.log(max(time_ns, MS)))
        self.first_byte_updated_ns = now

    def available_capacity(self, now: int, rules: api.Rules) -> float:
        """Transfers that it can carry now, by the list's weight."""
        return 0.0 if self.health.is_ejected else self.server.weight * self.warm_fraction(now, rules)

    def rendezvous_rank(self, key: int, weight: float) -> float:
        """Weighted rendezvous score of an object here."""
        return weight * rendezvous_score(key ^ self.hash_seed)


class RoutingPolicy:
    """The decisions of one router."""

    def __init__(self, settings: api.Settings) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.requests_in_flight: dict[str, InFlightRequest] = {}
        self.object_histories: OrderedDict[int, ObjectHistory] = OrderedDict()
        self.purges: dict[tuple[int | None, int], tuple[int, int]] = {}  # when, until when it matters
        # By class: answer time over usual; sending time; the same, while links were free.
        self.latency_ratio, self.transfer_time, self.unloaded_transfer_time = (
            dict[str, MeanDeviation](),
            dict[str, MeanDeviation](),
            dict[str, float](),
        )
        self.change_settings(settings)
        self.retry_tokens = MAX_RETRY_TOKENS
        self.admission = {
            True: AdmissionController(),
            False: AdmissionController(),
        }  # for requests that look like fills, and for hits
        self.actual_fill_share = 0.5  # share of presumed fills that turn out to be ones
        self.tick_scheduled, self.now_ns, self.router_share, self.origin_fills_allowed = False, 0, 1.0, True
        self.index_endpoints()
        self.actions: list[Action] = []

    # Events -----------------------------------------------------------------------------------------------

    def start(self, now_ns: int) -> list[Action]:
        """The instance's first actions."""
        self.now_ns = now_ns
        return [api.Subscribe()] if self.settings.discovery == "ask" else []

    def handle(self, now_ns: int, event: api.Event) -> list[Action]:
        """What one event makes the router do."""
        self.now_ns, self.actions = now_ns, []
        held = self.requests_in_flight.get(getattr(event, "id", ""))
        if isinstance(event, api.Request):
            self.on_request(event)
        elif isinstance(event, api.AttemptEnded):
            self.on_end(event)
        elif isinstance(event, api.TimerExpired):
            self.on_tick() if event.label == TICK_TIMER else self.actions.append(api.Subscribe())
        elif isinstance(event, api.ServerList):
            self.on_list(event)
        elif isinstance(event, api.Purged):
            told = now_ns - event.ago_ns
            key = (event.object_id, event.purge_group if event.object_id is None else 0)
            until = now_ns + self.settings.rules.purge_retention_ns
            self.purges[key] = (max(told, self.purges.get(key, (0, 0))[0]), until)
        elif isinstance(event, api.ResponseStarted) and held:
            held.response_started = True
            self.cancel_attempts(held, event.attempt)
        elif isinstance(event, api.HedgeDue):
            self.on_copy_due(event)
        elif isinstance(event, api.BackoffElapsed) and held and not held.is_closed:
            self.advance(held)
        elif isinstance(event, api.ClientDisconnected) and held:
            self.withdraw_offered_work(held)
            self.close(held)
        elif isinstance(event, api.SettingsChanged):
            self.change_settings(event.settings)
        elif isinstance(event, api.RouterShare):
            self.router_share, self.origin_fills_allowed = event.share, event.origin_fills_allowed
        return self.actions

    def change_settings(self, s: api.Settings) -> None:
        """Classes and limits from now on; requests under way keep theirs (``Held``)."""
        self.settings, self.request_classes = s, {c.name: c for c in s.classes}
        names = set(self.request_classes) | {h.request_class.name for h in self.requests_in_flight.values()}
        for name in names - set(self.latency_ratio):
            self.latency_ratio[name], self.transfer_time[name] = (
                MeanDeviation(1.0, AVERAGE_GAIN),
                MeanDeviation(INITIAL_TRANSFER_NS, TRANSFER_TIME_GAIN),
            )
            self.unloaded_transfer_time[name] = math.inf
        for name in set(self.latency_ratio) - names:
            del self.latency_ratio[name], self.transfer_time[name], self.unloaded_transfer_time[name]

    def on_list(self, event: api.ServerList) -> None:
        if event.form == "unavailable":
            self.actions.append(api.SetTimer(RESUBSCRIBE_TIMER, self.now_ns + RESUBSCRIBE_DELAY_NS))
            return
        if event.form != "update":
            for node in self.endpoints.values():
                node.is_listed = False
        for line in event.servers:
            old = self.endpoints.get(line.name)
            if old is None:
                self.endpoints[line.name] = Endpoint(line)
                continue
            if line.started_ns > old.server.started_ns:
                old.record_restart(line.started_ns)  # the list knows better than our guess
                self.drop_known_copies(line.name)
            old.server, old.is_listed = line, True
        # Replacements have new names: those gone for good are forgotten once nothing is out at them.
        self.endpoints = {
            k: n for k, n in self.endpoints.items() if n.server.state != "terminated" or n.requests_in_flight
        }
        self.index_endpoints()

    def index_endpoints(self) -> None:
        """Who may be used, by role, so that no request looks through the whole fleet.  Rule 3: at once."""
        usable = [n for n in self.endpoints.values() if self.is_usable(n)]
        self.zone_caches = [
            n for n in usable if n.server.role is Role.CACHE and n.server.zone == self.settings.zone
        ]
        self.parents = [n for n in usable if n.server.role is Role.PARENT]
        self.origins = [n for n in usable if n.server.role is Role.ORIGIN]

    def on_request(self, r: api.Request) -> None:
        cls = self.request_classes[r.class_name]
        key = mix64(r.object_id * 65_537 + r.part)
        held = self.requests_in_flight[r.id] = InFlightRequest(
            self.now_ns, r, cls, key, self.settings.limits.max_attempts
        )
        if r.retry_policy and r.retry_policy.concurrency_limit_reached:
            self.reject_or_fail(held)
            return
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
        if not cls.uncacheable:
            memo = held.history = self.object_histories.setdefault(
                key, ObjectHistory(requested_ns=self.now_ns)
            )
            self.object_histories.move_to_end(key)
            memo.request_count = (
                memo.request_count * 0.5 ** ((self.now_ns - memo.requested_ns) / REQUEST_COUNT_HALF_LIFE_NS)
                + 1
            )
            memo.requested_ns = self.now_ns
            if len(self.object_histories) > MAX_OBJECT_HISTORIES:
                self.object_histories.popitem(last=False)
            held.expects_fill = not memo.known_copies
            if not self.admit(held):
                self.reject_or_fail(held)
                return
        self.advance(held)
        self.schedule_tick()

    def admit(self, held: InFlightRequest) -> bool:
        """Whether load leaves room for a request, or at least for a look."""
        work = self.expected_transfer_ns(held)
        price = (
            work / max(held.request_class.priority_weight, 1e-9) / (0.5 + (held.object_hash >> 11) / 2**53)
        )  # smooths the edge
        s, told = self.settings, self.settings.weight_source != "off"
        here = self.zone_caches if told else ()
        fit = sum(n.available_capacity(self.now_ns, s.rules) for n in here) / s.zone_instances
        if fit:
            # What waits takes nothing of a link: for its time-out at a dead one, for its source elsewhere.
            out = sum(
                n.requests_in_flight - n.requests_awaiting_fill for n in here if not n.health.is_ejected
            )
            self.admission[False].cache_load.record(self.now_ns, out / fit)
        self.admission[False].record_arrival(price, work, self.now_ns)
        self.admission[False].limit_to_capacity(MAX_PLANNED_CACHE_SHARE * fit if fit else math.inf)
        if held.expects_fill:
            far = self.parents if told else ()
            fills = (
                MAX_PLANNED_FILL_SHARE
                * sum(n.available_capacity(self.now_ns, s.rules) for n in far)
                / s.instances
            )
            link = (
                s.fill_link_kb_per_s / s.max_transfer_kb_per_s / s.zone_instances
                if s.max_transfer_kb_per_s
                else 0.0
            )
            self.admission[True].record_arrival(price, work, self.now_ns)
            self.admission[True].limit_to_capacity(
                min(fills or math.inf, link or math.inf) / self.actual_fill_share
            )
            # Too dear a fill may still be a hit: look in its cache, without a fill, before refusing.
            held.cache_only = not self.admission[True].admits(price, self.now_ns)
        # Exception: what the caches have no room for goes straight to a parent, if link and parents have.
        fits, spare = (
            self.admission[False].admits(price, self.now_ns),
            self.admission[True].link_load.value_at(self.now_ns) < 1,
        )
        held.bypasses_cache = (
            not fits and s.allows_cache_bypass and spare and self.admission[True].admits(price, self.now_ns)
        )
        return fits or held.bypasses_cache

    def on_end(self, e: api.AttemptEnded) -> None:
        held = self.requests_in_flight.get(e.id)
        attempt = held.attempts_in_flight.pop(e.attempt, None) if held else None
        if held is None or attempt is None:
            return
        attempt.node.requests_in_flight -= 1
        if not e.outcome.proves_not_executed and not held.possible_execution:
            held.possible_execution = api.PossibleExecution(
                attempt.node.server.zone, attempt.node.server.cell, attempt.sent_ns
            )
        self.record_attempt_end(held, attempt, e)
        if e.is_final or held.is_closed:
            self.close(held)
        elif not held.attempts_in_flight and not held.response_started:
            self.after_failure(held, attempt, e)

    def on_tick(self) -> None:
        """Every TICK_NS while requests are held: silence, lateness, old purges."""
        self.tick_scheduled = False
        for node in self.zone_caches:
            node.requests_awaiting_fill = 0
        for held in list(self.requests_in_flight.values()):
            for a in held.attempts_in_flight.values():
                # Silence well past its usual time: one such attempt is enough, and it goes on.
                if (
                    not held.response_started
                    and not a.trial
                    and self.now_ns - a.sent_ns > self.expected_latency_ns(held, 2.0)
                ):
                    self.record_unattributed_failure(a, EJECTION_FAILURE_SCORE)
            # A copy asked for long after it is answered by now: it waits for its source, not for its cache.
            waits = [
                a
                for a in held.attempts_in_flight.values()
                if a.sent_ns + self.expected_transfer_ns(held) < a.node.last_hit_sent_ns
            ]
            for a in waits:
                a.node.requests_awaiting_fill += 1
            if not held.is_closed and not held.response_started and self.is_late(held):
                for a in held.attempts_in_flight.values() if not held.timeliness_recorded else ():
                    self.record_missing_answer(held, a)
                self.record_timeliness(held, True, held.expects_fill or bool(waits))
        self.purges = {k: v for k, v in self.purges.items() if v[1] >= self.now_ns}
        if self.requests_in_flight:
            self.schedule_tick()

    def withdraw_offered_work(self, held: InFlightRequest) -> None:
        """A client has left: what was not sent it is no load, as in bursts that are called off at once."""
        undone = self.expected_transfer_ns(held) - (self.now_ns - held.start_ns)
        if undone > 0 and not held.request_class.uncacheable:
            for gate in self.admission.values() if held.expects_fill else [self.admission[False]]:
                gate.offered_work.add(self.now_ns, -min(undone, gate.offered_work.value_at(self.now_ns)))

    def schedule_tick(self) -> None:
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.actions.append(api.SetTimer(TICK_TIMER, self.now_ns + TICK_NS))

    # Final answers ----------------------------------------------------------------------------------------

    def close(self, held: InFlightRequest) -> None:
        """The request is over; its attempts are called off and forgotten when they end."""
        held.is_closed = True
        self.cancel_attempts(held, -1)
        if not held.attempts_in_flight:
            self.requests_in_flight.pop(held.request.id, None)

    def cancel_attempts(self, held: InFlightRequest, but: int) -> None:
        """Cancel all its attempts but one."""
        for number in held.attempts_in_flight if self.settings.limits.may_cancel else ():
            if number != but:
                self.actions.append(api.Cancel(held.request.id, number))

    def reject_or_fail(self, held: InFlightRequest) -> None:
        """The final answer where nothing more can be tried: a refusal if that does no harm."""
        bound = (
            held.possible_execution is not None
            or held.attempts_in_flight
            or held.request.prior_attempt_unknown
        )
        harmless = held.request_class.idempotency is Idempotency.SAFE or not bound
        if harmless or (
            held.request_class.idempotency is Idempotency.KEYED and held.request_class.dedup_scope == "all"
        ):
            bounds, limits = held.request.retry_policy, self.settings.limits
            pause = (
                min(bounds.retry_after_ns, limits.max_retry_after_ns)
                if bounds and limits.may_send_retry_after
                else 0
            )
            self.actions.append(api.Reject(held.request.id, pause))
        else:
            self.actions.append(api.Fail(held.request.id))
        self.close(held)

    def after_failure(self, held: InFlightRequest, attempt: Attempt, e: api.AttemptEnded) -> None:
        """Mark what this request should not try again, then try the next or answer."""
        bounds, ran = held.request.retry_policy, not e.outcome.proves_not_executed
        if bounds and (
            bounds.shortens_deadline
            and self.now_ns >= held.deadline_ns
            or not self.route_allows_retry(held, bounds, e)
        ):
            self.reject_or_fail(held)
            return
        if self.now_ns >= held.deadline_ns:
            self.actions.append(api.Fail(held.request.id))
            self.close(held)
            return
        if e.outcome is Outcome.RESET and held.reset_count < MAX_SAME_SERVER_RESETS:
            # The copy is there, or on its way: elsewhere it would be filled once more.  may_send still holds.
            held.reset_count += 1
            self.retry(held, ran)
            return
        filled = attempt.source is not attempt.node
        source_fault = e.outcome is Outcome.MISS or e.fill_result in (
            FillResult.SOURCE_REFUSED,
            FillResult.SOURCE_BROKE,
            FillResult.SOURCE_LACKS,
            FillResult.ORIGIN_FAILED,
        )
        told = e.fill_result is not FillResult.NONE or e.outcome in (
            Outcome.MISS,
            Outcome.CONNECT_FAILED,
            Outcome.RESET,
        )
        if filled and (source_fault or not told):
            held.excluded_sources.add(attempt.source.server.name)
            if held.history and (e.fill_result is FillResult.SOURCE_LACKS or e.outcome is Outcome.MISS):
                held.history.known_copies.pop(attempt.source.server.name, None)
        if not (filled and source_fault):
            held.excluded_servers.add(attempt.node.server.name)
        free = e.outcome is Outcome.MISS or bounds is not None and bounds.has_retry_budget
        if held.cache_only if e.outcome is Outcome.MISS else not free and self.retry_tokens < 1:
            self.reject_or_fail(held)
        else:
            self.retry_tokens -= not free
            self.retry(held, ran)

    def route_allows_retry(
        self, held: InFlightRequest, bounds: api.RouteRetryPolicy, e: api.AttemptEnded
    ) -> bool:
        """Whether the route lets a request go on after this end."""
        if e.outcome.proves_not_executed:
            return bounds.max_reroutes < 0 or held.reroute_count < bounds.max_reroutes
        return (
            (not bounds.max_attempts or held.retry_count + 1 < bounds.max_attempts)
            and (bounds.retry_on is None or e.outcome in bounds.retry_on)
            and (e.retry_budget_available or not bounds.has_retry_budget)
        )

    def retry(self, held: InFlightRequest, ran: bool) -> None:
        """The next attempt; after one that may have run, when the route's wait is over."""
        held.retry_count, held.reroute_count = held.retry_count + ran, held.reroute_count + (not ran)
        waits = held.request.retry_policy.backoff_ns if ran and held.request.retry_policy else ()
        until = self.now_ns + (waits[min(held.retry_count, len(waits)) - 1] if waits else 0)
        if until == self.now_ns:
            self.advance(held)
        elif until >= held.deadline_ns:
            self.reject_or_fail(held)  # at once: the wait would outlast the client
        else:
            self.actions.append(api.BackOff(held.request.id, until))

    def on_copy_due(self, e: api.HedgeDue) -> None:
        """The route wants a second copy of what is out: at another server, or none."""
        held = self.requests_in_flight.get(e.id)
        bounds = held.request.retry_policy if held else None
        if (
            held is None
            or bounds is None
            or held.is_closed
            or held.response_started
            or not held.attempts_in_flight
            or not e.retry_budget_available
            or held.hedge_count >= bounds.max_hedges
            or self.attempts_exhausted(held)
        ):
            return
        busy = {a.node.server.name for a in held.attempts_in_flight.values()} - held.excluded_servers
        held.excluded_servers |= busy
        picked = self.select_servers(held) if self.now_ns < held.deadline_ns else None
        held.excluded_servers -= busy
        if picked:
            held.hedge_count += 1
            self.send(held, *picked, held.deadline_ns - self.now_ns)

    # The ordinary path ------------------------------------------------------------------------------------

    def advance(self, held: InFlightRequest) -> None:
        """Send the next attempt of a request, or end it."""
        left = held.deadline_ns - self.now_ns
        picked = self.select_servers(held) if left > 0 and not self.attempts_exhausted(held) else None
        if picked is None:
            self.reject_or_fail(held)
        else:
            self.send(held, *picked, left)

    def attempts_exhausted(self, held: InFlightRequest) -> bool:
        """Whether a request has had all attempts it may: as many as when it came, or as now if fewer."""
        return held.attempts_sent >= min(held.max_attempts, self.settings.limits.max_attempts)

    def select_servers(self, held: InFlightRequest) -> tuple[Endpoint, Endpoint] | None:
        """The cache and source of the next attempt."""
        caches = [] if held.bypasses_cache else self.ranked_caches(held)
        for cache in caches:
            for source in self.fill_sources(held, cache):
                return cache, source
        spare = not held.cache_only and self.admission[True].link_load.value_at(self.now_ns) < 1
        if self.settings.allows_cache_bypass and (held.request_class.uncacheable or spare):
            # Exception: no cache of the zone can take it: straight to a parent or the origin.
            for node in self.fill_sources(held, None):
                if self.may_send(held, node) and not (
                    held.bypasses_cache and node.server.role is Role.ORIGIN
                ):
                    return node, self.origins[0] if self.origins else node
        return None

    def is_usable(self, node: Endpoint) -> bool:
        """In the list and not draining."""
        return node.is_listed and node.server.state == "in_service"

    def ranked_caches(self, held: InFlightRequest) -> list[Endpoint]:
        """Caches of the zone for an object in the order to try: hash order, bounded by load."""
        live, late = [], []
        total_held, total_weight = 0, 0.0
        loads = [n.mean_utilization.mean for n in self.zone_caches if n.mean_utilization.sample_count]
        even = sum(loads) / len(loads) if loads else 1.0
        least = (
            MIN_COMPARED_UTILIZATION if self.settings.weight_source == "off" else MAX_COLD_UTILIZATION
        )  # told weights need no guess from loads
        quick = MAX_SLOWDOWN_RATIO * min((n.slowdown.mean for n in self.zone_caches), default=1.0)
        for node in self.zone_caches:
            if node.server.name in held.excluded_servers or not self.may_send(held, node):
                continue
            share = node.warm_fraction(self.now_ns, self.settings.rules)
            if node.health.is_ejected:
                if self.trial_due(held, node) and self.has_slow_start_budget(node, held, share):
                    late.append((node.rendezvous_rank(held.object_hash, node.server.weight), node, 0.0))
                continue
            if held.cache_only and share < 1:  # it would find nothing, and counts against the cold budget
                continue
            weight = node.server.weight * share * node.load_preference(even, least)
            total_held, total_weight = total_held + node.requests_in_flight, total_weight + weight
            if self.has_slow_start_budget(node, held, share):
                # Exception: one slower than its peers (hot object, ageing) loses part of its share.
                ease = min(1.0, max(MIN_SLOW_CACHE_SHARE, quick / max(node.slowdown.mean, 1e-9)))
                live.append((node.rendezvous_rank(held.object_hash, weight * ease), node, weight))
        bound = MAX_LOAD_OVER_MEAN * (total_held + 1) / total_weight if total_weight else 0.0
        live.sort(
            key=lambda x: (
                x[1].requests_in_flight >= max(MIN_REQUESTS_BEFORE_BOUND, bound * x[2])
                or self.now_ns < x[1].at_capacity_until_ns,
                -x[0],
                x[1].server.name,
            )
        )
        # A dead cache's trial is the request that the hash would give it anyway.
        best = max((r for r, _, _ in live), default=0.0)
        return [n for r, n, _ in late if r > best][:1] + [n for _, n, _ in live]

    def fill_sources(self, held: InFlightRequest, cache: Endpoint | None) -> list[Endpoint]:
        """Where a miss is filled from, in the order to try (Squid guide, 10.10)."""
        if held.cache_only and cache is not None:
            return [cache]
        origin = [
            n
            for n in self.origins
            if n.server.name not in held.excluded_sources
            and (self.origin_fills_allowed or held.request_class.uncacheable)
        ]
        if held.request_class.uncacheable:
            return origin or self.ranked_parents(held)
        order: list[Endpoint] = []
        if cache is not None and self.settings.siblings != "off":
            holders = held.history.known_copies if held.history else {}
            if cache.server.name not in holders:
                siblings = [
                    self.endpoints[n]
                    for n, at in holders.items()
                    if self.now_ns - at < KNOWN_COPY_LIFETIME_NS
                    and n in self.endpoints
                    and n not in held.excluded_sources
                ]
                order += [
                    n
                    for n in siblings
                    if not n.health.is_ejected
                    and n.server.role is Role.CACHE
                    and self.is_usable(n)
                    and self.has_slow_start_budget(n, held)
                ][:1]
        parents = self.ranked_parents(held)
        backup = sorted(parents[1:], key=lambda n: (n.fills_requested, n.server.name))
        order += parents[:1] + (backup[:1] if origin else backup)
        return order + [n for n in origin if not n.health.is_ejected or self.trial_due(held, n)]

    def ranked_parents(self, held: InFlightRequest) -> list[Endpoint]:
        """Live parents: the pick by least first-byte time over weight first, then the rest."""
        ok = [n for n in self.parents if n.server.name not in held.excluded_sources]
        trial = [
            n
            for n in ok
            if n.health.is_ejected and self.trial_due(held, n) and self.has_slow_start_budget(n, held)
        ]
        live = [n for n in ok if not n.health.is_ejected and self.has_slow_start_budget(n, held)]
        if not live:
            return trial
        origins = [
            n
            for n in self.origins
            if n.log_first_byte_ns.sample_count
            and not n.health.is_ejected
            and n.server.name not in held.excluded_sources
            and not held.request_class.uncacheable
        ]
        heard = [n.log_first_byte_ns.mean for n in [*live, *origins] if n.log_first_byte_ns.sample_count]
        average = sum(heard) / len(heard) if heard else 0.0
        score = {n.server.name: n.latency_score(self.now_ns, average) for n in [*live, *origins]}
        best = min(score[n.server.name] for n in live)
        near = [n for n in live if score[n.server.name] <= best * MAX_PARENT_SCORE_RATIO]
        # Exception: parents that are all much slower than the origin share fills with it.
        near += [n for n in origins if score[n.server.name] * MIN_ORIGIN_ADVANTAGE < best]
        # Exception: in inverse proportion to the score, as all routers rank alike and the best fills up.
        first = max(
            near,
            key=lambda n: n.rendezvous_rank(
                held.object_hash, n.warm_fraction(self.now_ns, self.settings.rules) / score[n.server.name]
            ),
        )
        return trial[:1] + [first] + [n for n in live if n is not first]

    def send(self, held: InFlightRequest, cache: Endpoint, source: Endpoint, left: int) -> None:
        """Write one attempt, and count it against every budget that it touches."""
        trial = cache.health.is_ejected or source.health.is_ejected
        for node in {cache.server.name: cache, source.server.name: source}.values():
            if node.health.is_ejected:
                node.health.record_trial(self.now_ns)
            if node.server.role is not Role.ORIGIN:
                node.work_sent.add(self.now_ns, self.budget_cost(held))
        if source.server.role is Role.PARENT:
            source.fills_requested += 1
        number = held.attempts_sent
        held.attempts_in_flight[number] = Attempt(cache, source, self.now_ns, trial)
        cache.requests_in_flight += 1
        small = (
            self.transfer_time[held.request_class.name].mean / self.expected_transfer_ns(held)
            if self.has_known_size(held)
            else 1.0
        )
        count = held.history.request_count * small if held.history else 0.0
        rank = (
            0
            if held.request_class.uncacheable
            else 3
            if count >= HOT_REQUEST_COUNT
            else 2
            if count >= REUSED_REQUEST_COUNT
            else 1
        )
        # Exception: a failing origin is spared; parents give what they hold; a trial goes the whole way.
        dead = next((n for n in self.origins if n.health.is_ejected), None)
        spare = dead is not None and source.server.role is Role.PARENT and not held.request_class.uncacheable
        if dead and spare and self.trial_due(held, dead):
            spare = False
            dead.health.record_trial(self.now_ns)
        held.attempts_sent = number + 1
        self.actions.append(
            api.ForwardRequest(
                held.request.id,
                cache.server.name,
                self.attempt_timeout_ns(held, trial, left),
                source.server.name,
                max_age_ns=self.age_limit(held),
                retention_rank=rank,
                coalesce=self.settings.coalesces_fills,
                cached_only=spare or source.server.role is Role.CACHE and source is not cache,
                refresh_in_background=held.request_class.freshness_lifetime_ns > 0 and rank > 1,
            )
        )

    # Guards -----------------------------------------------------------------------------------------------

    def may_send(self, held: InFlightRequest, node: Endpoint) -> bool:
        """Rule 2: whether another attempt at this server can do no harm."""
        if held.attempts_in_flight and not (
            self.settings.limits.may_hedge and held.request_class.idempotency is Idempotency.SAFE
        ):
            return False
        ran = held.possible_execution
        if held.request_class.idempotency is Idempotency.SAFE or ran is None:
            return True
        once = held.request_class.idempotency is Idempotency.UNSAFE or held.request.prior_attempt_unknown
        if (
            once
            or self.now_ns + self.settings.clock_tick_ns >= ran.sent_ns + held.request_class.dedup_window_ns
        ):
            return False
        return held.request_class.dedup_scope == "all" or (
            node.server.zone == ran.zone
            if held.request_class.dedup_scope == "zone"
            else node.server.cell == ran.cell
        )

    def age_limit(self, held: InFlightRequest) -> int:
        """Rule 5: while old copies may be about, only those younger than the purge will do (never 0), also
        past purge_done_ns: a copy filled just before the purge may land after the sweep."""
        purged = max(
            self.purges.get((held.request.object_id, 0), (0, 0))[0],
            self.purges.get((None, held.request.purge_group), (0, 0))[0],
        )
        if not purged:
            return 0
        limit = max(PURGE_MARGIN_NS, self.now_ns - purged - PURGE_MARGIN_NS)
        return (
            min(limit, held.request_class.freshness_lifetime_ns)
            if held.request_class.freshness_lifetime_ns
            else limit
        )

    def has_slow_start_budget(
        self, node: Endpoint, held: InFlightRequest, share: float | None = None
    ) -> bool:
        """Rule 4: whether a cold server's budget has room for one more, trials and refused ones counted."""
        rules = self.settings.rules
        share = node.warm_fraction(self.now_ns, rules) if share is None else share
        used = node.work_sent.sum_since(self.now_ns - rules.overload_collapse_ns)
        if share >= 1:
            return True
        parent = node.server.role is Role.PARENT
        multiple = rules.parent_overload_collapse_multiple if parent else rules.overload_collapse_multiple
        routers = self.settings.instances if parent else self.settings.zone_instances
        capacity = (
            node.server.weight
            if self.settings.weight_source != "off"
            else self.mean_peer_load(node) * routers
        )
        budget = (
            self.router_share
            * MAX_COLLAPSE_BUDGET_SHARE
            * multiple
            * share
            * capacity
            * rules.overload_collapse_ns
            / routers
        )
        budget = max(budget, node.spare_capacity(self.now_ns) * rules.overload_collapse_ns)
        unit = self.budget_cost(held)
        if (
            budget >= unit or not budget or self.router_share < 1
        ):  # two processes of one router share its turns
            return used + unit <= budget
        # Under one request: routers take turns, by a hash; 3, as a span touches two turns and hashes cluster.
        turns = math.ceil(3 * unit / budget)
        return (
            not node.work_sent.samples
            and (self.now_ns // rules.overload_collapse_ns + mix64(self.settings.router_index)) % turns == 0
        )

    def mean_peer_load(self, node: Endpoint) -> float:
        """Sending time a second that we put on a warm peer, on average; one transfer of all at the least."""
        span = max(1, self.settings.rules.overload_collapse_ns)
        peers = self.parents if node.server.role is Role.PARENT else self.zone_caches
        loads = [
            n.work_sent.sum_since(self.now_ns - span) / span
            for n in peers
            if n is not node and n.warm_fraction(self.now_ns, self.settings.rules) >= 1
        ]
        routers = self.settings.instances if node.server.role is Role.PARENT else self.settings.zone_instances
        if not loads and node.server.role is Role.CACHE:
            # All are cold: the zone was built for what its clients ask.
            loads = [
                self.admission[False].offered_work.value_at(self.now_ns)
                / OFFERED_WORK_SPAN_NS
                / len(self.zone_caches)
            ]
        return max(UNKNOWN_CAPACITY_OVER_LOAD * sum(loads) / len(loads) if loads else 0.0, 1 / routers)

    def trial_due(self, held: InFlightRequest, node: Endpoint) -> bool:
        """A dead server gets one safe request now and then."""
        return (
            held.request_class.idempotency is Idempotency.SAFE
            and held.attempts_sent == 0
            and self.now_ns >= node.health.next_trial_ns
        )

    def has_known_size(self, held: InFlightRequest) -> bool:
        return held.request.size_kb > 0 and self.settings.max_transfer_kb_per_s > 0

    def budget_cost(self, held: InFlightRequest) -> float:
        """What it counts in a cold server's budget: its class's mean, by the rule, or its own if more."""
        return max(
            self.transfer_time[held.request_class.name].mean,
            self.expected_transfer_ns(held) if self.has_known_size(held) else 0.0,
        )

    def expected_transfer_ns(self, held: InFlightRequest) -> float:
        """The sending time to expect of a request: told, remembered or its class's."""
        if self.has_known_size(held):
            return held.request.size_kb / self.settings.max_transfer_kb_per_s * SECOND_NS
        return (
            held.history and held.history.min_response_ns or self.transfer_time[held.request_class.name].mean
        )

    def expected_latency_ns(self, held: InFlightRequest, devs: float) -> int:
        """The answer time to expect, with so many mean deviations on top."""
        ratio = self.latency_ratio[held.request_class.name]
        return int((self.expected_transfer_ns(held) + 100 * MS) * (ratio.mean + devs * ratio.mean_deviation))

    def attempt_timeout_ns(self, held: InFlightRequest, trial: bool, left: int) -> int:
        """An attempt's time-out: late by its class's measure, but with time for another behind it."""
        bounds = held.request.retry_policy
        left = min(left, bounds.attempt_timeout_ns) if bounds and bounds.attempt_timeout_ns else left
        return min(left, self.expected_latency_ns(held, 2.0)) if trial else left

    def latency_objective_ns(self, held: InFlightRequest) -> float:
        """Its wanted time.  Where sizes are not told, a jam must not make slow look like large."""
        name, unit = held.request_class.name, self.expected_transfer_ns(held)
        if not self.has_known_size(held) and not (held.history and held.history.min_response_ns):
            unit = UNKNOWN_SIZE_FACTOR * min(self.unloaded_transfer_time[name], self.transfer_time[name].mean)
        return held.request_class.latency_objective_ns + held.request_class.objective_transfer_multiple * unit

    def is_late(self, held: InFlightRequest) -> bool:
        return self.now_ns - held.start_ns > self.latency_objective_ns(held)

    def record_timeliness(self, held: InFlightRequest, late: bool, fill: bool) -> None:
        """Tell the gate once of each request, as soon as it is late: in a jam the quick come first."""
        if not held.timeliness_recorded:
            held.timeliness_recorded, spare = (
                True,
                3 * (self.now_ns - held.start_ns) < self.latency_objective_ns(held),
            )
            self.admission[fill].record_latency(late, held.start_ns, self.now_ns, spare)

    def record_attempt_end(self, held: InFlightRequest, a: Attempt, e: api.AttemptEnded) -> None:
        """What an attempt's end tells of the cache, its source and the object."""
        now, name = self.now_ns, held.request_class.name
        if held.expects_fill and (e.fill_result is not FillResult.NONE or e.outcome is Outcome.MISS):
            self.actual_fill_share = max(
                FILL_SHARE_GAIN,
                self.actual_fill_share
                + FILL_SHARE_GAIN * ((e.fill_result is not FillResult.HIT) - self.actual_fill_share),
            )
        filled, far = a.source is not a.node, a.filling_endpoint()
        # Where failures are not told: the cache lives, as it has answered, so what failed is behind it.
        untold = (
            filled
            and self.settings.notes != "all"
            and (e.outcome, e.fill_result) == (Outcome.FULL, FillResult.NONE)
        )
        if e.load_report and a.node.server.role is Role.CACHE:
            self.record_load_report(a.node, e.load_report)
        if e.outcome in (Outcome.OK, Outcome.FULL) and not a.trial:
            fill = (
                held.expects_fill if e.fill_result is FillResult.NONE else e.fill_result is not FillResult.HIT
            )
            self.record_timeliness(held, e.outcome is Outcome.FULL or self.is_late(held), fill)
        if e.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self.record_missing_answer(held, a)
        elif (
            untold
            or e.fill_result in (FillResult.SOURCE_BROKE, FillResult.SOURCE_REFUSED)
            or (far is a.node and e.outcome in (Outcome.ERROR, Outcome.FULL))
        ):
            far.record_first_byte(
                now, self.latency_objective_ns(held)
            )  # costs what a late answer costs, however quick it is
        if e.outcome in (Outcome.OK, Outcome.TIMEOUT):
            slowness = e.elapsed_ns / (self.expected_transfer_ns(held) + 100 * MS)
            self.latency_ratio[name].add(slowness)
            if self.has_known_size(held) or held.history and held.history.min_response_ns:
                a.node.slowdown.add(slowness)
        if e.outcome is Outcome.FULL and e.fill_result in (FillResult.NONE, FillResult.NO_FILL_PLACE):
            a.node.at_capacity_until_ns = now + AT_CAPACITY_PAUSE_NS
        if e.outcome is Outcome.OK:
            self.record_success(a.node)
            unit = self.expected_transfer_ns(held)
            a.node.work_completed.add(now, unit)
            if self.has_known_size(held):
                self.transfer_time[name].add(unit)
            elif e.fill_result in (FillResult.NONE, FillResult.HIT):
                self.transfer_time[name].add(float(e.elapsed_ns))
                if self.transfer_time[name].sample_count > 1 / TRANSFER_TIME_GAIN:
                    self.unloaded_transfer_time[name] = min(
                        self.unloaded_transfer_time[name] * UNLOADED_TIME_GROWTH,
                        self.transfer_time[name].mean,
                    )
            if held.history:
                held.history.min_response_ns = min(held.history.min_response_ns or e.elapsed_ns, e.elapsed_ns)
                held.history.known_copies[a.node.server.name] = now
            if e.fill_result is FillResult.HIT:
                a.node.last_hit_sent_ns = max(a.node.last_hit_sent_ns, a.sent_ns)
            if filled and e.fill_result in (
                FillResult.FILLED,
                FillResult.FILLED_FROM_ORIGIN,
                FillResult.JOINED,
            ):
                self.record_success(a.source)
                for origin in self.origins if e.fill_result is FillResult.FILLED_FROM_ORIGIN else ():
                    self.record_success(origin)
                # Past the first byte, what the transfer lost to a crowded link counts too: see parents.
                wait = max(e.first_byte_ns, e.elapsed_ns - unit)
                far.record_first_byte(now, wait)
                self.admission[True].record_source_wait(
                    now, wait / max(MS, self.latency_objective_ns(held) - unit)
                )
            return
        if e.outcome is Outcome.MISS:
            self.record_success(a.node)
        if e.outcome in (Outcome.MISS, Outcome.CANCELLED, Outcome.MOOT, Outcome.RESET):
            return  # a lost connection is no lost server: whether one is there, the next connection tells
        if e.outcome is Outcome.CONNECT_FAILED:
            self.record_failure(a.node, EJECTION_FAILURE_SCORE, True)
        elif e.fill_result is FillResult.ORIGIN_FAILED or (
            a.source.server.role is Role.ORIGIN and (untold or e.fill_result is FillResult.SOURCE_REFUSED)
        ):
            for origin in self.origins:
                self.record_failure(origin, 1, False)
        elif (
            e.fill_result is FillResult.SOURCE_BROKE
            or untold
            and 0 < self.settings.limits.connect_timeout_ns <= e.elapsed_ns
        ):
            # Not reached is lost; broken off may be a fill's time limit in a jam.
            self.record_failure(a.source, EJECTION_FAILURE_SCORE if e.outcome is Outcome.FULL else 1, True)
        elif e.fill_result is FillResult.NONE and e.outcome is Outcome.ERROR:
            self.record_failure(a.node, UNATTRIBUTED_ERROR_SCORE, False)
        elif e.fill_result is FillResult.NONE and e.outcome is not Outcome.FULL:
            self.record_unattributed_failure(a, 1)

    def record_load_report(self, node: Endpoint, report: dict[str, float]) -> None:
        """A cache's load, which all routers share: one of them alone sees too little."""
        busy, link = report.get("utilization", node.utilization), report.get("x1", -1.0)
        if busy != node.utilization and 0 <= busy < MAX_PLAUSIBLE_LOAD:
            node.utilization = busy
            node.mean_utilization.add(busy)
        if 0 <= link < MAX_PLAUSIBLE_LOAD:
            self.admission[True].link_load.record(self.now_ns, link)
        if (
            0 <= report.get("x0", 1.0) < MIN_WARM_HIT_SHARE
            and self.now_ns - node.started_ns > self.settings.rules.warm_up_ns
        ):
            node.started_ns = self.now_ns  # as if it started now, whatever the list says

    def record_missing_answer(self, held: InFlightRequest, a: Attempt) -> None:
        """An answer that has not come tells as much as a late one, and in time: see parents."""
        lost, far = self.now_ns - a.sent_ns - self.expected_transfer_ns(held), a.filling_endpoint()
        if lost > 0 and far.server.role is not Role.CACHE and math.log(lost) > far.log_first_byte_ns.mean:
            far.record_first_byte(self.now_ns, lost)

    def record_unattributed_failure(self, a: Attempt, strikes: int) -> None:
        """The cause is not told: whoever was heard since the send is not it."""
        node = a.node if a.node.health.last_success_ns <= a.sent_ns else a.source
        if node.health.last_success_ns <= a.sent_ns and node.server.role is not Role.ORIGIN:
            self.record_failure(node, strikes, False)

    def record_failure(self, node: Endpoint, strikes: float, lost: bool) -> None:
        if node.health.record_failure(self.now_ns, strikes, lost):
            self.actions.append(api.Log(f"{node.server.role.value} {node.server.name} is dead: only trials"))

    def record_success(self, node: Endpoint) -> None:
        if node.health.record_success(self.now_ns):
            self.actions.append(api.Log(f"{node.server.role.value} {node.server.name} is back"))
            if node.health.lost_process:
                # Its process was gone: cold until shown otherwise, though the list has not told yet.
                node.record_restart(self.now_ns)
                node.slowdown = MeanDeviation(1.0, ENDPOINT_GAIN)
                self.drop_known_copies(node.server.name)

    def drop_known_copies(self, name: str) -> None:
        """A restarted cache is empty."""
        for memo in self.object_histories.values():
            memo.known_copies.pop(name, None)
