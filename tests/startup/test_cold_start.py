"""Twenty-four router processes that start at the same time, while the list service and servers fail.

Failures are injected when an observed event occurs.  The checks use the requests that reached the
stand-ins.  Some tests run only with ``pytest -m long``.
"""

from __future__ import annotations

import signal
import time
import unittest
from collections.abc import Callable
from typing import Any

import pytest

from testbed.field import ClientLoad, LinkMode, RouterField
from testbed.field.field import RULES
from testbed.stand_ins import MAX_WAIT_S, MS, ROOT, StandInServers

ZONES, ROUTERS_PER_ZONE = 6, 4
ROUTERS = ZONES * ROUTERS_PER_ZONE
MAX_REQUESTS_PER_S = 10  # watch requests per second of all routers together, from the operator's file
BUDGET = RULES + f"start list-calls={MAX_REQUESTS_PER_S}\n"
CYCLE_S = ROUTERS / MAX_REQUESTS_PER_S
S = 1_000 * MS
# Caches and parents are warm within 8 s, so that a test covers their complete slow start.
FAST_WARM_UP = {
    "contract": {"cold_from": 0.2, "cold_ns": 8 * S, "fall_multiple": 2.5, "fall_ns": S},
    "family_info": {"parent_cold_from": 0.1, "parent_warms_in_ns": 8 * S},
}


def wait_until(condition: Callable[[], bool], seconds: float = MAX_WAIT_S) -> bool:
    """Returns whether a condition holds within the time."""
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(0.02)
    return False


def count_watch_requests(stand_ins: StandInServers, from_ns: int, to_ns: int) -> int:
    """Returns the number of watch requests that reached the list service, with a response or without."""
    return sum(from_ns <= at < to_ns for at, _, _ in list(stand_ins.feed_requests))


def count_informed_routers(stand_ins: StandInServers, last: int, since_ns: int = 0) -> int:
    """Returns how many routers have received an event.

    These are the connections that have requested the events after that one since then.
    """
    return len({port for at, after, port in list(stand_ins.feed_requests) if after == last and at > since_ns})


class ColdStart(unittest.TestCase):
    def field(self, **options: Any) -> RouterField:
        field = RouterField(ZONES, ROUTERS_PER_ZONE, {"old": ROOT}, **options)
        self.addCleanup(field.__exit__)
        return field

    @pytest.mark.long  # after the crash the requests of a second come near the service's limit
    def test_a_list_service_that_is_dead_and_later_crashes_and_renumbers(self) -> None:
        """The list service is dead for 6 s, and later crashes and restarts its numbers at 1.

        All routers together send a bounded number of requests while it is dead, and spread requests
        afterwards.  An event published during the outage reaches every router.
        """
        field = self.field(rules=BUDGET)
        stand_ins = field.servers
        stand_ins.max_feed_requests_per_s, stand_ins.feed_down_until_ns = 40, time.monotonic_ns() + 6 * S
        field.__enter__()
        with ClientLoad(field, per_s=4.0) as load:
            last = stand_ins.change("cache-z0", "leaving")
            started_ns, back_ns = field.started_ns, stand_ins.feed_down_until_ns
            assert wait_until(lambda: count_informed_routers(stand_ins, last) >= ROUTERS), (
                count_informed_routers(stand_ins, last)
            )
            informed_ns = time.monotonic_ns()
            assert informed_ns - back_ns < (1.5 * CYCLE_S + 6) * S, (
                "every router has received the event in time"
            )
            requests_while_dead = count_watch_requests(stand_ins, started_ns, back_ns)
            assert requests_while_dead < ROUTERS + 1.5 * MAX_REQUESTS_PER_S * (back_ns - started_ns) / S, (
                "watch requests while the service was dead"
            )
            assert requests_while_dead > ROUTERS // 2, "routers continued to send requests"
            assert stand_ins.feed_crashes == 0, (
                "no second had more than 40 requests, which would crash the service"
            )
            stand_ins.crash_feed(2.0)
            back_ns = stand_ins.feed_down_until_ns
            # Routers that have not reconnected yet would receive a drain late: the budget delays them.
            assert wait_until(
                lambda: len({p for at, _, p in stand_ins.feed_requests if p and at > back_ns}) >= ROUTERS
            )
            assert any(after == 0 for at, after, _ in stand_ins.feed_requests if at > back_ns), (
                "a router requested the complete list, because the event numbers are lower"
            )
            last = stand_ins.change("cache-z1", "leaving") - stand_ins.events_before_restart
            since_ns = time.monotonic_ns()
            assert wait_until(lambda: count_informed_routers(stand_ins, last, since_ns) >= ROUTERS)
            assert stand_ins.feed_crashes == 1
        assert (field.check_contract(load).violations, load.counts["lost"]) == ([], 0), load.counts
        assert load.counts["served"] > 100, load.counts

    def test_without_a_budget_a_dead_service_receives_far_more_requests(self) -> None:
        """Without a budget, each router sends a dead list service a request every 0.4 s."""
        field = self.field()
        field.servers.feed_down_until_ns = time.monotonic_ns() + 6 * S
        field.__enter__()
        started_ns = time.monotonic_ns()
        assert wait_until(lambda: time.monotonic_ns() > started_ns + 2 * S)
        assert (
            count_watch_requests(field.servers, started_ns, started_ns + 2 * S)
            > 2 * 1.5 * MAX_REQUESTS_PER_S * 2
        )

    def test_cold_caches_half_of_them_dead_a_parent_lost_and_a_zone_silent(self) -> None:
        """No cache is overloaded, no order runs twice, and every request has its response in time."""
        field = self.field(
            caches_per_zone=2,
            parents=2,
            use_relays=True,
            cold=True,
            rules=BUDGET,
            settings=FAST_WARM_UP,
            weight=2.0,
        )
        relays = field.servers.relays
        for n in range(0, ZONES, 2):
            relays[f"cache-z{n}-1"].change(LinkMode.RESET)
        relays["parent1"].change(LinkMode.RESET)
        for name in (f"cache-z{ZONES - 1}", f"cache-z{ZONES - 1}-1"):
            relays[name].change(LinkMode.SILENT)
        field.__enter__()
        with ClientLoad(field, per_s=6.0, order_every=10) as load:
            assert wait_until(lambda: time.monotonic_ns() > field.started_ns + 10 * S)
            for relay in relays.values():
                relay.change(LinkMode.PASS)
        assert field.check_contract(load, links_were_cut=True).violations == []
        assert load.counts["lost"] == 0, load.counts
        assert load.counts["served"] > 100, load.counts

    def test_a_third_killed_twice_and_some_suspended_during_a_drain(self) -> None:
        """Routers are killed just after they begin to serve, and others are suspended while a cache drains.

        The killed ones are started and killed again.  The suspended ones must not send waiting requests
        to the drained cache when they continue.
        """
        field = self.field(caches_per_zone=2, cold=True, rules=BUDGET, settings=FAST_WARM_UP)
        field.__enter__()
        nodes = list(field.nodes.values())
        with ClientLoad(field, per_s=6.0, order_every=10) as load:
            for _ in range(2):
                for node in nodes[::3]:
                    node.end(signal.SIGKILL)
                    node.start("old")
                for node in nodes[::3]:
                    field.wait_ready(node)
            killed_ns = time.monotonic_ns()
            assert wait_until(lambda: count_informed_routers(field.servers, 1, killed_ns) >= ROUTERS), (
                "every router has sent its next watch request"
            )
            suspended = [node.process for node in nodes[1::6] if node.process]
            for process in suspended:
                process.send_signal(signal.SIGSTOP)
            last = field.servers.change("cache-z1", "leaving")
            since_ns = time.monotonic_ns()
            others = ROUTERS - len(suspended)
            assert wait_until(lambda: count_informed_routers(field.servers, last, since_ns) >= others)
            for process in suspended:
                process.send_signal(signal.SIGCONT)
            assert wait_until(lambda: count_informed_routers(field.servers, last, since_ns) >= ROUTERS)
            assert wait_until(lambda: time.monotonic_ns() > field.started_ns + 9 * S)
        assert field.check_contract(load, routers_were_killed=True).violations == []
        assert load.counts["served"] > 100, load.counts

    @pytest.mark.long  # on a busy machine the feed may take longer than its timeout
    def test_a_suspended_router_polls_the_feed_before_it_sends(self) -> None:
        """A suspended router must not send waiting requests to a cache that drained in the meantime.

        Its watch request gets a response without events while it is suspended.  Then a cache drains, and the
        drain counts as received.  When the router continues, the response that it finds dates from before the
        drain.
        """
        field = RouterField(1, 2, {"old": ROOT}, caches_per_zone=2)
        self.addCleanup(field.__exit__)
        field.__enter__()
        stand_ins, (node, _) = field.servers, field.nodes.values()
        assert node.process is not None
        with ClientLoad(field, per_s=60.0) as load:
            for n in range(6):
                assert wait_until(
                    lambda: count_informed_routers(stand_ins, len(stand_ins.feed_events) + 1) >= 2
                )
                node.process.send_signal(signal.SIGSTOP)
                # After two requests of the other router, this one's request has a response without events.
                suspended_ns = time.monotonic_ns()
                assert wait_until(
                    lambda at=suspended_ns: sum(x > at for x, _, _ in list(stand_ins.feed_requests)) >= 2
                )
                name = ("cache-z0", "cache-z0-1")[n % 2]
                last, changed_ns = stand_ins.change(name, "leaving"), time.monotonic_ns()
                assert wait_until(
                    lambda at=changed_ns, last=last: count_informed_routers(stand_ins, last, at) >= 1
                )
                assert wait_until(lambda at=changed_ns: time.monotonic_ns() > at + 2100 * MS), (
                    "the drain's grace has passed"
                )
                node.process.send_signal(signal.SIGCONT)
                assert wait_until(
                    lambda at=changed_ns, last=last: count_informed_routers(stand_ins, last, at) >= 2
                )
                stand_ins.change(name)
        assert [x for x in field.check_contract(load).violations if x.startswith("drained")] == []
        assert load.counts["served"] > 300, load.counts

    @pytest.mark.long
    def test_links_to_the_list_service_in_every_mode(self) -> None:
        """The link to the list service is slow, cut in the middle of responses, silent, or sends garbage.

        Routers use their known endpoint list and the request rate stays bounded.  All receive a drain once
        the link works again.
        """
        for mode in (
            LinkMode.SLOW,
            LinkMode.CUT,
            LinkMode.GARBAGE,
            LinkMode.SILENT,
            LinkMode.ONE_WAY,
            LinkMode.DELAY,
        ):
            with self.subTest(mode=mode.value):
                self.check_link(mode)

    def check_link(self, mode: LinkMode) -> None:
        field = self.field(rules=BUDGET)
        field.servers.relay(["feed"], 2.0)
        relay = field.servers.relays["feed"]
        relay.change(mode)
        field.__enter__()
        with ClientLoad(field, per_s=4.0) as load:
            assert wait_until(lambda: time.monotonic_ns() > field.started_ns + 6 * S)
            assert relay.accepted < 2 * ROUTERS + 1.5 * MAX_REQUESTS_PER_S * 6
            relay.change(LinkMode.PASS)
            relay.drop()
            last = field.servers.change("cache-z0", "leaving")
            since_ns = time.monotonic_ns()
            assert wait_until(lambda: count_informed_routers(field.servers, last, since_ns) >= ROUTERS)
        assert load.counts["lost"] == 0, load.counts
        assert load.counts["served"] > 300, load.counts


if __name__ == "__main__":
    unittest.main()
