"""What the rollout knows about its routers: taking up their reports, and the questions asked of the record.

Nothing is concluded from an answer that did not come: a router that has not answered for ``STALE_POLLS``
polls is unknown, which is neither good nor harm, and counts as unavailable.
"""

from __future__ import annotations

from kelpcroft.rollout.events import RouterReport
from kelpcroft.rollout.judge import NO_REQUESTS
from kelpcroft.rollout.phases import (
    BUILD_REPLACED_PHASES,
    COMMAND_UNDER_WAY_PHASES,
    NEW_BUILD_PHASES,
    OLD_BUILD_PHASES,
    UNAVAILABLE_PHASES,
)
from kelpcroft.rollout.state import RolloutState, RouterState

STALE_POLLS = 3  # polls without an answer after which a router is unknown


def record_report(state: RolloutState, report: RouterReport) -> None:
    """Take up what a router says of itself.

    Reports of routers that the plan does not name are ignored.  Counters that fall under the same instance
    are a contradiction: it is named in the history and not used.
    """
    router = state.routers.get(report.router)
    if router is None:
        return
    previous = router.last_report
    if previous is None:
        router.original_digests = dict(report.digests)
    elif _contradicts(report, previous):
        state.add_history(
            "contradiction", f"{router.name} counts less than before; that is not used", router=router.name
        )
        return
    router.last_report_ns = state.now_ns
    router.last_report = report
    if router.phase in OLD_BUILD_PHASES:
        state.old_peak_memory_kb = max(state.old_peak_memory_kb, report.peak_memory_kb)
    if previous is not None:  # what was before the rollout is of unknown length
        _count_requests(router, report, previous)
    _check_crash_and_invariants(state, router, report, previous)


def _contradicts(report: RouterReport, previous: RouterReport) -> bool:
    """Whether the same instance counts less than it did before."""
    if report.instance != previous.instance:
        return False
    if report.invariant_violations < previous.invariant_violations:
        return True
    return any(
        report.samples_by_class.get(name, NO_REQUESTS).request_count < sample.request_count
        for name, sample in previous.samples_by_class.items()
    )


def _count_requests(router: RouterState, report: RouterReport, previous: RouterReport) -> None:
    """Add what was requested since the previous report; a new instance counts from nothing."""
    same_instance = previous.instance == report.instance
    for name, total in report.samples_by_class.items():
        earlier = previous.samples_by_class.get(name, NO_REQUESTS) if same_instance else NO_REQUESTS
        router.uncounted[name] = router.uncounted.get(name, NO_REQUESTS) + (total - earlier)


def _check_crash_and_invariants(
    state: RolloutState, router: RouterState, report: RouterReport, previous: RouterReport | None
) -> None:
    """A crash or a broken invariant of the new build is harm, which needs no statistics."""
    restarted = previous is not None and previous.instance != report.instance
    runs_new_build = router.phase in NEW_BUILD_PHASES
    if restarted and router.phase not in COMMAND_UNDER_WAY_PHASES:
        if runs_new_build:
            state.report_harm(router, "crash", f"{router.name} was started again by nobody's order")
        else:
            state.add_history("restarted", f"{router.name} was started again", router=router.name)
    elif report.invariant_violations > router.invariant_baseline and runs_new_build:
        state.report_harm(
            router, "invariant", f"{router.name} counts {report.invariant_violations} broken invariants"
        )


def is_unknown(state: RolloutState, router: RouterState) -> bool:
    """Whether a router has not answered for STALE_POLLS polls, so that nothing is known of it."""
    since_ns = max(router.last_report_ns, _silence_counts_from_ns(state, router), state.listening_since_ns)
    return state.now_ns - since_ns > STALE_POLLS * state.plan.poll_interval_ns


def _silence_counts_from_ns(state: RolloutState, router: RouterState) -> int:
    """A process that is being changed is silent for a while, and has until its time-out to speak."""
    if router.phase in BUILD_REPLACED_PHASES:
        return router.phase_since_ns + state.plan.ready_timeout_ns
    return router.phase_since_ns


def has_recent_report(state: RolloutState, router: RouterState) -> bool:
    """Whether a router has reported since this process began to poll, or last stood still."""
    return router.last_report_ns >= state.listening_since_ns


def enough_routers_answer(state: RolloutState) -> bool:
    """Whether no more routers than the plan allows are without an answer since this process polls.

    A router that is being changed may be silent and does not count.
    """
    silent_count = sum(
        not has_recent_report(state, router) or is_unknown(state, router)
        for router in state.routers.values()
        if router.phase not in BUILD_REPLACED_PHASES
    )
    return silent_count <= state.plan.max_unknown


def reports_new_build(state: RolloutState, router: RouterState) -> bool:
    """Whether a router's last report has every digest that the plan changes to."""
    if router.last_report is None:
        return False
    digests = router.last_report.digests
    return all(digests.get(change.component) == change.digest for change in state.plan.changes)


def reports_old_build(state: RolloutState, router: RouterState) -> bool:
    """Whether a router's last report has the digests that it had before anything was changed."""
    if router.last_report is None:
        return False
    digests = router.last_report.digests
    originals = router.original_digests
    return all(
        digests.get(change.component) == originals.get(change.component) for change in state.plan.changes
    )


def unavailable_count(state: RolloutState, zone: str = "") -> int:
    """Routers, of one zone or of all, that do not serve as they should: being changed, cold, or unknown."""
    return sum(
        1
        for router in state.routers.values()
        if (not zone or router.zone == zone)
        and (router.phase in UNAVAILABLE_PHASES or is_unknown(state, router))
    )


def may_become_unavailable(state: RolloutState, router: RouterState) -> bool:
    """Whether the plan's limits allow one more unavailable router, and this one has reported recently."""
    return (
        not is_unknown(state, router)
        and has_recent_report(state, router)
        and unavailable_count(state) < state.plan.max_unavailable
        and unavailable_count(state, router.zone) < state.plan.max_unavailable_per_zone
    )
