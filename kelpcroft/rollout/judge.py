"""Sequential test under live traffic: whether changed routers do worse than unchanged ones.

The test compares the late share of an interval: the share of the requested weight that did not get a response
in time, by class, of new routers and of old ones at the same time in the same zone.  Each side's own late
share before the change (the baseline) is subtracted, so that a disturbance of both sides, or one from before
the change, has no effect.  The baseline is estimated from a sample; the possible error of that estimate
(``allowance``) is credited to the new side.

The test is a betting e-process, also called a test martingale (Shafer, "Testing by betting", 2021;
Waudby-Smith and Ramdas, "Estimating means of bounded random variables by betting", 2024).  An interval's
difference ``d``, winsorised to +-MAX_COUNTED_DIFFERENCE, multiplies two amounts of evidence for each of the
stakes STAKES; each amount is then the mean over the stakes:

    regression    *= 1 + stake (d - tolerance - allowance)  grows where the mean exceeds the tolerance
    no_regression *= 1 + stake (harm - allowance - d)       grows where the mean is below ``harm``

While the mean difference of each following interval, given the past, is at most the tolerance, the expected
value of ``regression`` is at most 1 at any time.  By Ville's inequality, the probability that it ever reaches
1 / false_stop is then at most false_stop, however often the evidence is examined.  The same holds for
``no_regression``, with missed_harm.  As long as neither limit is reached there is no verdict, and more
intervals are needed.  The intervals need neither a particular distribution nor independence, only that mean.
Because of the winsorising, a regression that shows in a few intervals only does not end the rollout;
``benchmarks/rollout_judge.py`` shows both error rates over 10,000 simulated rollouts.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, TypedDict

from kelpcroft.rollout.errors import StopCriteriaError

MAX_COUNTED_DIFFERENCE = 0.25  # limit of an interval's difference, in both directions
# Stakes of the bets on each interval, relative to the accumulated evidence.  Each factor 1 + stake * x must
# stay above 0, and x may be as low as -(MAX_COUNTED_DIFFERENCE + tolerance + allowance), so tolerance and
# allowance must add up to less than 0.15.  At tolerance 0 they do: with MIN_BASELINE_REQUESTS on each side
# the allowance is at most 0.142.
STAKES = (0.25, 1.0, 2.5)
MIN_REQUESTS_PER_INTERVAL = 20  # requests on each side; fewer are added to those of the next interval
MIN_BASELINE_REQUESTS = 100  # requests on each side; with fewer, baselines are not subtracted
ALLOWANCE_STANDARD_ERRORS = 2.0  # standard errors of the baselines' difference that the allowance covers
MAX_HARM = 0.15  # greatest ``harm``; the tolerance is below it, which the stakes require
MAX_WRONG_VERDICT_PROBABILITY = 0.5  # exclusive upper limit of false_stop and missed_harm
MAX_LOG_EVIDENCE = 700  # the exponential of a slightly greater number exceeds the range of a float
MAX_SHOWN_EVIDENCE = 1e9  # upper limit of evidence in the history's figures, because JSON has no infinity


@dataclass(frozen=True, slots=True)
class StopCriteria:
    """Limits that operators set: mean differences of the late share, and the probability of a wrong verdict.

    The fields are the keys of ``stop`` in the rollout file, with ``_`` for ``-``, and appear in its
    diagnostics.

    Attributes:
        tolerance: A mean difference up to this is not a regression.
        harm: A mean difference of at least this must be detected as a regression.
        false_stop: Greatest probability of stopping a change without a regression.
        missed_harm: Greatest probability of accepting a change with a regression.

    Raises:
        StopCriteriaError: A value is out of its range.
    """

    tolerance: float = 0.0
    harm: float = 0.05
    false_stop: float = 0.01
    missed_harm: float = 0.05

    def __post_init__(self) -> None:
        if not 0 <= self.tolerance < self.harm <= MAX_HARM:
            raise StopCriteriaError(
                f"harm: {self.harm} is not above tolerance {self.tolerance} and at most {MAX_HARM}",
                key="harm",
                value=self.harm,
                limit=MAX_HARM,
            )
        for key, probability in (("false_stop", self.false_stop), ("missed_harm", self.missed_harm)):
            if not 0 < probability < MAX_WRONG_VERDICT_PROBABILITY:
                raise StopCriteriaError(
                    f"{key}: {probability} is not between 0 and {MAX_WRONG_VERDICT_PROBABILITY}",
                    key=key,
                    value=probability,
                    limit=MAX_WRONG_VERDICT_PROBABILITY,
                )


@dataclass(frozen=True, slots=True)
class RequestSample:
    """Requests of one class that ended in one interval on one side.

    Attributes:
        request_count: The number of requests.
        requested_weight: The sum of their priority weights.
        in_time_weight: The sum of the priority weights of those that got a response in time.
    """

    request_count: int = 0
    requested_weight: float = 0.0
    in_time_weight: float = 0.0

    def __add__(self, other: RequestSample) -> RequestSample:
        return RequestSample(
            self.request_count + other.request_count,
            self.requested_weight + other.requested_weight,
            self.in_time_weight + other.in_time_weight,
        )

    def __sub__(self, earlier: RequestSample) -> RequestSample:
        """The increase of a cumulative sample since ``earlier``."""
        return RequestSample(
            self.request_count - earlier.request_count,
            self.requested_weight - earlier.requested_weight,
            self.in_time_weight - earlier.in_time_weight,
        )

    @property
    def late_share(self) -> float:
        """The share of the requested weight that did not get a response in time, 0 to 1."""
        if self.requested_weight > 0:
            return min(1.0, max(0.0, 1 - self.in_time_weight / self.requested_weight))
        return 0.0

    @property
    def variance(self) -> float:
        """Variance of the late share as an estimate.

        Each request counts as either late or in time, with equal weight.  The variance is at least that of a
        sample with one late request.
        """
        count = max(1, self.request_count)
        if count == 1:
            return 0.25
        share = min(max(self.late_share, 1 / count), 1 - 1 / count)
        return share * (1 - share) / count


NO_REQUESTS = RequestSample()


class ZoneClass(NamedTuple):
    """Names of a zone and of a request class, which together identify one comparison."""

    zone: str
    request_class: str


class Verdict(Enum):
    """Conclusion from the evidence so far.  The values are stored."""

    UNDECIDED = "open"
    NO_REGRESSION = "fine"  # a regression is ruled out
    REGRESSION = "worse"  # the change causes a regression


class SequentialTest:
    """The betting e-process of one class in one zone; see the module's doc comment."""

    def __init__(self, criteria: StopCriteria) -> None:
        self.criteria = criteria
        # Logarithms of the evidence that each stake has accumulated, in the order of STAKES.
        self.regression_log_evidence = [0.0] * len(STAKES)
        self.no_regression_log_evidence = [0.0] * len(STAKES)
        self.interval_count = 0
        self.difference_sum = 0.0
        self.verdict = Verdict.UNDECIDED  # the first verdict is final: later intervals do not change it

    def add_difference(self, difference: float, allowance: float = 0.0) -> Verdict:
        """Add the difference of one interval.

        Args:
            difference: The late share of the new side minus that of the old, with the baselines subtracted.
                A value that is not finite is ignored.
            allowance: How far the baselines may deviate by chance.

        Returns:
            The verdict after this interval.

        Raises:
            ValueError: A factor of the evidence is not above 0; see STAKES.
        """
        if not math.isfinite(difference):
            return self.verdict
        winsorised = min(MAX_COUNTED_DIFFERENCE, max(-MAX_COUNTED_DIFFERENCE, difference))
        self.interval_count += 1
        self.difference_sum += difference
        for n, stake in enumerate(STAKES):
            self.regression_log_evidence[n] += math.log1p(
                stake * (winsorised - self.criteria.tolerance - allowance)
            )
            self.no_regression_log_evidence[n] += math.log1p(
                stake * (self.criteria.harm - allowance - winsorised)
            )
        if self.verdict is Verdict.UNDECIDED:
            self.verdict = self._decide()
        return self.verdict

    def _decide(self) -> Verdict:
        """The verdict that the evidence supports now; a regression takes precedence."""
        if self.regression_evidence >= 1 / self.criteria.false_stop:
            return Verdict.REGRESSION
        if self.no_regression_evidence >= 1 / self.criteria.missed_harm:
            return Verdict.NO_REGRESSION
        return Verdict.UNDECIDED

    @property
    def regression_evidence(self) -> float:
        """The e-value against "the mean difference is at most the tolerance"."""
        return mean_evidence(self.regression_log_evidence)

    @property
    def no_regression_evidence(self) -> float:
        """The e-value against "the mean difference is at least ``harm``"."""
        return mean_evidence(self.no_regression_log_evidence)

    @property
    def mean_difference(self) -> float:
        """The mean difference of all intervals so far; 0 before the first."""
        return self.difference_sum / self.interval_count if self.interval_count else 0.0


def mean_evidence(log_evidence: list[float]) -> float:
    """The mean evidence over the stakes, from its logarithms; infinity if it is too large for a float."""
    if max(log_evidence) > MAX_LOG_EVIDENCE:
        return math.inf
    return sum(math.exp(x) for x in log_evidence) / len(log_evidence)


class SideKey(NamedTuple):
    """Key of one side of one comparison."""

    zone_class: ZoneClass
    is_new: bool


@dataclass(slots=True)
class Side:
    """Requests of one side of one comparison.

    Attributes:
        baseline: Its requests before any of its routers was changed.
        collected: Its requests since the last interval that was evaluated.
    """

    baseline: RequestSample = field(default_factory=RequestSample)
    collected: RequestSample = field(default_factory=RequestSample)


class CombinedVerdict(NamedTuple):
    """A verdict, and the comparison that determined it, if a single one did."""

    verdict: Verdict
    zone_class: ZoneClass | None


class EvidenceFigures(TypedDict):
    """State of one test, as the history stores it.

    ``worse`` is the evidence of a regression, ``fine`` that against one.
    """

    slices: int
    mean: float
    verdict: str
    worse: float
    fine: float


class RegressionJudge:
    """All comparisons of a stage, with one sequential test each.  A regression in one of them suffices."""

    def __init__(self, criteria: StopCriteria) -> None:
        self.criteria = criteria
        self.sides: dict[SideKey, Side] = {}
        self.tests: dict[ZoneClass, SequentialTest] = {}

    def side(self, zone_class: ZoneClass, is_new: bool) -> Side:
        """One side of a comparison, created on first use."""
        return self.sides.setdefault(SideKey(zone_class, is_new), Side())

    def add_baseline(self, is_new: bool, samples: Mapping[ZoneClass, RequestSample]) -> None:
        """Add requests that one side handled before any of its routers was changed."""
        for zone_class, sample in samples.items():
            side = self.side(zone_class, is_new)
            side.baseline += sample

    def add_interval(
        self, new: Mapping[ZoneClass, RequestSample], old: Mapping[ZoneClass, RequestSample]
    ) -> None:
        """Add the requests that the two sides handled in the same interval.

        ``new`` may only hold requests of routers that are warm or that are compared with restarted old ones.
        """
        for zone_class in {*new, *old}:
            new_side, old_side = self.side(zone_class, True), self.side(zone_class, False)
            new_side.collected += new.get(zone_class, NO_REQUESTS)
            old_side.collected += old.get(zone_class, NO_REQUESTS)
            if (
                min(new_side.collected.request_count, old_side.collected.request_count)
                < MIN_REQUESTS_PER_INTERVAL
            ):
                continue
            self._compare(zone_class, new_side, old_side)
            new_side.collected = NO_REQUESTS
            old_side.collected = NO_REQUESTS

    def _compare(self, zone_class: ZoneClass, new: Side, old: Side) -> None:
        """Add the difference of the requests collected on two sides to the comparison's test."""
        difference = new.collected.late_share - old.collected.late_share
        allowance = 0.0
        if min(new.baseline.request_count, old.baseline.request_count) >= MIN_BASELINE_REQUESTS:
            difference -= new.baseline.late_share - old.baseline.late_share
            variance = new.baseline.variance + old.baseline.variance
            allowance = ALLOWANCE_STANDARD_ERRORS * math.sqrt(variance)
        test = self.tests.setdefault(zone_class, SequentialTest(self.criteria))
        test.add_difference(difference, min(allowance, MAX_COUNTED_DIFFERENCE))

    def verdict(self, zone_classes: frozenset[ZoneClass]) -> CombinedVerdict:
        """The verdict of all comparisons together.

        Args:
            zone_classes: The comparisons that must rule a regression out.

        Returns:
            REGRESSION with the first comparison that shows one, whether required or not; NO_REGRESSION if
            each required comparison rules a regression out; otherwise UNDECIDED, with the first required
            comparison that lacks evidence, or None if none is required.
        """
        for zone_class in sorted(self.tests):
            if self.tests[zone_class].verdict is Verdict.REGRESSION:
                return CombinedVerdict(Verdict.REGRESSION, zone_class)
        for zone_class in sorted(zone_classes):
            if zone_class not in self.tests or self.tests[zone_class].verdict is not Verdict.NO_REGRESSION:
                return CombinedVerdict(Verdict.UNDECIDED, zone_class)
        return CombinedVerdict(Verdict.NO_REGRESSION if zone_classes else Verdict.UNDECIDED, None)

    def figures(self) -> dict[str, EvidenceFigures]:
        """The figures on which a decision is based, for the history, by ``ZONE/CLASS``."""
        return {
            f"{zone_class.zone}/{zone_class.request_class}": {
                "slices": test.interval_count,
                "mean": round(test.mean_difference, 4),
                "verdict": test.verdict.value,
                "worse": min(MAX_SHOWN_EVIDENCE, test.regression_evidence),
                "fine": min(MAX_SHOWN_EVIDENCE, test.no_regression_evidence),
            }
            for zone_class, test in sorted(self.tests.items(), key=lambda item: item[0])
        }
