"""Attribution of failed fills where responses do not report the cause (``notes_given`` is hit or off)."""

from __future__ import annotations

import unittest

from kelpcroft.decision.interface import FillResult, Outcome, Role
from kelpcroft.decision.outlier_state import EJECTION_FAILURE_SCORE
from tests.support.policy_fixtures import MS, S, end_attempt, forwarded_attempts, make_policy, send_request


class UnreportedFillFailures(unittest.TestCase):
    def reject_fill(
        self, notes: str, elapsed_ns: int, fill_result: FillResult = FillResult.NONE
    ) -> tuple[bool, bool]:
        """Reject one fill after ``elapsed_ns``; return whether its source and its cache are ejected then."""
        p = make_policy(notes=notes, connect_timeout_ns=400 * MS)
        (f,) = forwarded_attempts(send_request(p, S, "r", 1))
        end_attempt(p, S + elapsed_ns, f, Outcome.FULL, elapsed_ns=elapsed_ns, fill_result=fill_result)
        return p.endpoints[f.fill_source].is_ejected, p.endpoints[f.server].is_ejected

    def test_a_source_not_reached_within_the_connect_timeout_is_ejected(self) -> None:
        """Five of twelve parents were silent for five seconds, and nearly all of 200 routers kept using them
        as fill sources.  Each fill was rejected after 0.83 s and the failure was attributed to the cache.
        When the parents were available again, cold, they received the full load immediately and collapsed.
        """
        for notes in ("hit", "off"):
            assert self.reject_fill(notes, 831 * MS) == (True, False)
            assert self.reject_fill(notes, 50 * MS) == (False, False), "the source may only be at capacity"
        assert self.reject_fill("all", 831 * MS) == (False, False), (
            "the response would have reported the cause"
        )
        assert self.reject_fill("all", 50 * MS, FillResult.SOURCE_BROKE) == (True, False)

    def test_a_restored_parent_is_cold(self) -> None:
        p = make_policy(notes="hit", connect_timeout_ns=400 * MS)
        (f,) = forwarded_attempts(send_request(p, S, "r", 1))
        end_attempt(p, 2 * S, f, Outcome.FULL, elapsed_ns=831 * MS)
        source = p.endpoints[f.fill_source]
        assert source.server.role == Role.PARENT
        p.ejection.record_success(source)
        assert (
            source.warm_fraction(p.state.now_ns, p.settings.rules)
            == p.settings.rules.parent_cold_capacity_share
        )

    def test_no_source_is_ejected_if_the_connect_timeout_is_unknown(self) -> None:
        p = make_policy(notes="hit")
        (f,) = forwarded_attempts(send_request(p, S, "r", 1))
        end_attempt(p, 2 * S, f, Outcome.FULL, elapsed_ns=831 * MS)
        assert not p.endpoints[f.fill_source].is_ejected

    def test_a_rejected_fill_counts_as_a_slow_one(self) -> None:
        p = make_policy(notes="hit", connect_timeout_ns=400 * MS)
        (f,) = forwarded_attempts(send_request(p, S, "r", 1))
        end_attempt(p, S + 10 * MS, f, Outcome.FULL, elapsed_ns=10 * MS)
        assert p.endpoints[f.fill_source].log_first_byte_ns.sample_count == 1

    def test_an_origin_that_rejects_all_requests_is_ejected(self) -> None:
        """The origin received each fill that its parents had rejected, 765 per second with capacity for 100.
        For five seconds it processed requests whose clients no longer waited, and accepted no order
        request.
        """
        p = make_policy(notes="hit", connect_timeout_ns=400 * MS)
        (origin,) = p.state.directory.origins
        rejected_count = 0
        for n in range(20):
            actions = send_request(p, S + n * MS, f"r{n}", n, class_name="unsafe")
            for f in forwarded_attempts(actions):
                if f.fill_source == origin.server.name:
                    rejected_count += 1
                    end_attempt(p, S + n * MS, f, Outcome.FULL, elapsed_ns=MS)
            if origin.is_ejected:
                break
        assert origin.is_ejected
        assert rejected_count == EJECTION_FAILURE_SCORE
        (g,) = forwarded_attempts(send_request(p, S + 30 * MS, "fill", 99))
        assert g.cached_only, "parents send only copies that they hold"
