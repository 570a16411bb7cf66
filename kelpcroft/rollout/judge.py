"""Whether a changed router does worse than one that is not: a sequential test while requests go on.

What is compared is the late share of a slice of time: the share of the requested weight that was not
answered in time, by class, new against old at the same time in the same zone.  From each side its routers'
own late share before the change (the baseline) is taken off, so that what strikes both sides, or was there
before, counts for nothing.  The baseline is known from a sample only; what chance may have made of it
(``allowance``) is given to the new side.

The test is a betting e-process, also called a test martingale (Shafer, "Testing by betting", 2021;
Waudby-Smith and Ramdas, "Estimating means of bounded random variables by betting", 2024).  A difference
``d``, winsorised to +-MAX_COUNTED_DIFFERENCE, multiplies two amounts of evidence, each the mean over the
stakes STAKES:

    regression    *= 1 + stake (d - tolerance - allowance)  grows where the mean exceeds the tolerance
    no_regression *= 1 + stake (harm - allowance - d)       grows where it is below what counts as harm

While the mean difference of the slices to come is at most the tolerance, ``regression`` has a mean of at
most 1 at any time, so by Ville's inequality it ever reaches 1 / false_stop with at most that probability,
however often one looks.  The same holds for ``no_regression`` and missed harm.  Between the two there is no
verdict: more slices are needed.  Slices need neither a distribution nor independence, only that mean.
Winsorising keeps a harm that shows in few slices from ending it; ``benchmarks/rollout_judge.py`` shows both
rates over 10,000 simulated rollouts.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, TypedDict

from kelpcroft.rollout.errors import StopCriteriaError

MAX_COUNTED_DIFFERENCE = 0.25  # a slice's difference counts up to this
# Each factor 1 + stake x must stay above 0, and x may be as low as
# -(MAX_COUNTED_DIFFERENCE + tolerance + allowance): tolerance and allowance together must stay under 0.15.
# At tolerance 0 they do: with MIN_BASELINE_REQUESTS on each side an allowance is at most 0.142.
STAKES = (0.25, 1.0, 2.5)
MIN_REQUESTS_PER_SLICE = 20  # on each side; fewer are added to the next slice
MIN_BASELINE_REQUESTS = 100  # requests before the change from which a side's own late share is known
ALLOWANCE_STANDARD_ERRORS = 2.0  # of the baselines' difference, given to the new side
MAX_HARM = 0.15  # what the stakes allow
MAX_WRONG_VERDICT_PROBABILITY = 0.5  # exclusive
MAX_LOG_EVIDENCE = 700  # exp of more is no finite float
MAX_SHOWN_EVIDENCE = 1e9  # in figures: JSON has no infinity


@dataclass(frozen=True, slots=True)
class StopCriteria:
    """What the operators allow: mean differences of the late share, and how often a verdict may be wrong.

    The fields are the keys of ``stop`` in the rollout file, with ``_`` for ``-``, and stand in its
    diagnostics.

    Attributes:
        tolerance: A mean difference up to this is no harm.
        harm: One of this much must be found.
        false_stop: Greatest probability to stop a change that does no harm.
        missed_harm: Greatest probability to call a harmful one good.

    Raises:
        StopCriteriaError: A figure is out of its range.
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
    """Requests of one class that ended in one span of time on one side.

    Attributes:
        request_count: How many.
        requested_weight: The sum of their priority weights.
        in_time_weight: The part of it that was answered in time.
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
        """What was added to a cumulative count since ``earlier``."""
        return RequestSample(
            self.request_count - earlier.request_count,
            self.requested_weight - earlier.requested_weight,
            self.in_time_weight - earlier.in_time_weight,
        )

    @property
    def late_share(self) -> float:
        """The share of the requested weight that was not answered in time, 0 to 1."""
        if self.requested_weight > 0:
            return min(1.0, max(0.0, 1 - self.in_time_weight / self.requested_weight))
        return 0.0

    @property
    def variance(self) -> float:
        """Of the late share as an estimate, at the least that of one late request; each is all or nothing."""
        count = max(1, self.request_count)
        if count == 1:
            return 0.25
        share = min(max(self.late_share, 1 / count), 1 - 1 / count)
        return share * (1 - share) / count


NO_REQUESTS = RequestSample()


class ZoneClass(NamedTuple):
    """Where routers are compared: requests of one class in one zone, by their names."""

    zone: str
    request_class: str


class Verdict(Enum):
    """What the evidence says so far.  The values are stored."""

    UNDECIDED = "open"
    NO_REGRESSION = "fine"  # harm is ruled out
    REGRESSION = "worse"  # the change does harm


class SequentialTest:
    """The betting e-process of one class in one zone; see the module's comment."""

    def __init__(self, criteria: StopCriteria) -> None:
        self.criteria = criteria
        # Logarithms of what each stake has grown to, in the order of STAKES.
        self.regression_log_evidence = [0.0] * len(STAKES)
        self.no_regression_log_evidence = [0.0] * len(STAKES)
        self.slice_count = 0
        self.difference_sum = 0.0
        self.verdict = Verdict.UNDECIDED  # the first that was reached: later slices change none

    def add_difference(self, difference: float, allowance: float = 0.0) -> Verdict:
        """Add one slice.

        Args:
            difference: Late share of the new side less that of the old, baselines taken off.  One that is not
                finite says nothing and is left out.
            allowance: How far chance may have moved the baselines.

        Returns:
            The verdict after this slice.

        Raises:
            ValueError: A factor of the evidence is not above 0, see STAKES.
        """
        if not math.isfinite(difference):
            return self.verdict
        counted = min(MAX_COUNTED_DIFFERENCE, max(-MAX_COUNTED_DIFFERENCE, difference))
        self.slice_count += 1
        self.difference_sum += difference
        for n, stake in enumerate(STAKES):
            self.regression_log_evidence[n] += math.log1p(
                stake * (counted - self.criteria.tolerance - allowance)
            )
            self.no_regression_log_evidence[n] += math.log1p(
                stake * (self.criteria.harm - allowance - counted)
            )
        if self.verdict is Verdict.UNDECIDED:
            self.verdict = self._decide()
        return self.verdict

    def _decide(self) -> Verdict:
        """What the evidence has reached by now; a regression goes first."""
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
        """The e-value against "the mean difference is at least the harm"."""
        return mean_evidence(self.no_regression_log_evidence)

    @property
    def mean_difference(self) -> float:
        """Of all slices so far; 0 before the first."""
        return self.difference_sum / self.slice_count if self.slice_count else 0.0


def mean_evidence(log_evidence: list[float]) -> float:
    """The mean over the stakes, from logarithms; infinity where it is too large for a float."""
    if max(log_evidence) > MAX_LOG_EVIDENCE:
        return math.inf
    return sum(math.exp(x) for x in log_evidence) / len(log_evidence)


class SideKey(NamedTuple):
    """One side of one comparison."""

    place: ZoneClass
    is_new: bool


@dataclass(slots=True)
class Side:
    """What is known of one side of one comparison.

    Attributes:
        baseline: Its requests before anything of it was changed.
        collected: Its requests since the last slice that was large enough.
    """

    baseline: RequestSample = field(default_factory=RequestSample)
    collected: RequestSample = field(default_factory=RequestSample)


class Finding(NamedTuple):
    """A verdict, and the comparison that it comes from, where there is one."""

    verdict: Verdict
    place: ZoneClass | None


class EvidenceFigures(TypedDict):
    """What one test stands at, as the history stores it."""

    slices: int
    mean: float
    verdict: str
    worse: float
    fine: float


class RegressionJudge:
    """All comparisons of a stage, one sequential test each.  Harm in any one of them is harm."""

    def __init__(self, criteria: StopCriteria) -> None:
        self.criteria = criteria
        self.sides: dict[SideKey, Side] = {}
        self.tests: dict[ZoneClass, SequentialTest] = {}

    def side(self, place: ZoneClass, is_new: bool) -> Side:
        """One side of a comparison; made on first use."""
        return self.sides.setdefault(SideKey(place, is_new), Side())

    def add_baseline(self, is_new: bool, samples: Mapping[ZoneClass, RequestSample]) -> None:
        """Add what one side did before anything of it was changed."""
        for place, sample in samples.items():
            side = self.side(place, is_new)
            side.baseline += sample

    def add_slice(
        self, new: Mapping[ZoneClass, RequestSample], old: Mapping[ZoneClass, RequestSample]
    ) -> None:
        """Add what the two sides did in the same slice of time.

        Only new routers that are warm, or that are compared with restarted old ones, belong here.
        """
        for place in {*new, *old}:
            new_side, old_side = self.side(place, True), self.side(place, False)
            new_side.collected += new.get(place, NO_REQUESTS)
            old_side.collected += old.get(place, NO_REQUESTS)
            if (
                min(new_side.collected.request_count, old_side.collected.request_count)
                < MIN_REQUESTS_PER_SLICE
            ):
                continue
            self._compare(place, new_side, old_side)
            new_side.collected = NO_REQUESTS
            old_side.collected = NO_REQUESTS

    def _compare(self, place: ZoneClass, new: Side, old: Side) -> None:
        """Give the collected requests of two sides to the comparison's test."""
        difference = new.collected.late_share - old.collected.late_share
        allowance = 0.0
        if min(new.baseline.request_count, old.baseline.request_count) >= MIN_BASELINE_REQUESTS:
            difference -= new.baseline.late_share - old.baseline.late_share
            variance = new.baseline.variance + old.baseline.variance
            allowance = ALLOWANCE_STANDARD_ERRORS * math.sqrt(variance)
        test = self.tests.setdefault(place, SequentialTest(self.criteria))
        test.add_difference(difference, min(allowance, MAX_COUNTED_DIFFERENCE))

    def verdict(self, places: frozenset[ZoneClass]) -> Finding:
        """The verdict of all comparisons together.

        Args:
            places: Where evidence is wanted.

        Returns:
            REGRESSION with the first comparison that shows one, wanted or not; NO_REGRESSION where every
            wanted one rules harm out; else UNDECIDED with one that still lacks evidence.
        """
        for place in sorted(self.tests):
            if self.tests[place].verdict is Verdict.REGRESSION:
                return Finding(Verdict.REGRESSION, place)
        for place in sorted(places):
            if place not in self.tests or self.tests[place].verdict is not Verdict.NO_REGRESSION:
                return Finding(Verdict.UNDECIDED, place)
        return Finding(Verdict.NO_REGRESSION if places else Verdict.UNDECIDED, None)

    def figures(self) -> dict[str, EvidenceFigures]:
        """What a decision was made on, for the history, by ``ZONE/CLASS``."""
        return {
            f"{place.zone}/{place.request_class}": {
                "slices": test.slice_count,
                "mean": round(test.mean_difference, 4),
                "verdict": test.verdict.value,
                "worse": min(MAX_SHOWN_EVIDENCE, test.regression_evidence),
                "fine": min(MAX_SHOWN_EVIDENCE, test.no_regression_evidence),
            }
            for place, test in sorted(self.tests.items(), key=lambda item: item[0])
        }
