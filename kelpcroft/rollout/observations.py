"""Recording of router reports, and queries of the record: silence, builds, availability.

A missing response proves nothing: a router without a report for ``STALE_POLLS`` polling intervals is unknown.
That is neither a good result nor a regression, and the router counts as unavailable.
"""

from __future__ import annotations

from kelpcroft.rollout.events import RouterReport
from kelpcroft.rollout.judge import NO_REQUESTS
from kelpcroft.rollout.phases import (
    BUILD_REPLACED_PHASES,
    COMMAND_IN_PROGRESS_PHASES,
    NEW_BUILD_PHASES,
    OLD_BUILD_PHASES,
    UNAVAILABLE_PHASES,
)
from kelpcroft.rollout.state import RolloutState, RouterState

STALE_POLLS = 3  # polling intervals without a report after which a router is unknown


def record_report(state: RolloutState, report: RouterReport) -> None:
    """Record a router's report.

    Reports of routers that are not in the plan are ignored.  Counters that decrease within one instance are a
    contradiction: the history records it, and the report is discarded.
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
    if previous is not None:  # the first report's counters cover an unknown time before the rollout
        _count_requests(router, report, previous)
    _check_crash_and_invariants(state, router, report, previous)


def _contradicts(report: RouterReport, previous: RouterReport) -> bool:
    """Whether a counter of the same instance has decreased since its previous report."""
    if report.instance != previous.instance:
        return False
    if report.invariant_violations < previous.invariant_violations:
        return True
    return any(
        report.samples_by_class.get(class_name, NO_REQUESTS).request_count < sample.request_count
        for class_name, sample in previous.samples_by_class.items()
    )


def _count_requests(router: RouterState, report: RouterReport, previous: RouterReport) -> None:
    """Add the requests since the previous report; the counters of a new instance start at 0."""
    same_instance = previous.instance == report.instance
    for class_name, total in report.samples_by_class.items():
        earlier = previous.samples_by_class.get(class_name, NO_REQUESTS) if same_instance else NO_REQUESTS
        router.uncounted[class_name] = router.uncounted.get(class_name, NO_REQUESTS) + (total - earlier)


def _check_crash_and_invariants(
    state: RolloutState, router: RouterState, report: RouterReport, previous: RouterReport | None
) -> None:
    """Report a regression, without a statistical test, if the new build crashed or violated an invariant."""
    restarted = previous is not None and previous.instance != report.instance
    runs_new_build = router.phase in NEW_BUILD_PHASES
    if restarted and router.phase not in COMMAND_IN_PROGRESS_PHASES:
        if runs_new_build:
            state.report_regression(router, "crash", f"{router.name} was started again by nobody's order")
        else:
            state.add_history("restarted", f"{router.name} was started again", router=router.name)
    elif report.invariant_violations > router.invariant_baseline and runs_new_build:
        state.report_regression(
            router, "invariant", f"{router.name} counts {report.invariant_violations} broken invariants"
        )


def is_unknown(state: RolloutState, router: RouterState) -> bool:
    """Whether a router has not reported for STALE_POLLS polling intervals, so that its state is unknown."""
    since_ns = max(router.last_report_ns, _silence_start_ns(state, router), state.polling_since_ns)
    return state.now_ns - since_ns > STALE_POLLS * state.plan.poll_interval_ns


def _silence_start_ns(state: RolloutState, router: RouterState) -> int:
    """The time from which a router's silence counts.

    While its process is replaced, a router is silent; its silence counts only after the ready time-out.
    """
    if router.phase in BUILD_REPLACED_PHASES:
        return router.phase_since_ns + state.plan.ready_timeout_ns
    return router.phase_since_ns


def has_recent_report(state: RolloutState, router: RouterState) -> bool:
    """Whether a router has reported since this process began to poll or since its last process stall."""
    return router.last_report_ns >= state.polling_since_ns


def enough_routers_respond(state: RolloutState) -> bool:
    """Whether the routers without a recent report are no more than the plan allows.

    A router whose process is being replaced may be silent and does not count.
    """
    silent_count = sum(
        not has_recent_report(state, router) or is_unknown(state, router)
        for router in state.routers.values()
        if router.phase not in BUILD_REPLACED_PHASES
    )
    return silent_count <= state.plan.max_unknown


def reports_new_build(state: RolloutState, router: RouterState) -> bool:
    """Whether a router's last report has every digest that the plan names for the new build."""
    if router.last_report is None:
        return False
    digests = router.last_report.digests
    return all(digests.get(change.component) == change.digest for change in state.plan.changes)


def reports_old_build(state: RolloutState, router: RouterState) -> bool:
    """Whether a router's last report has its original digests of all components that the plan changes."""
    if router.last_report is None:
        return False
    digests = router.last_report.digests
    originals = router.original_digests
    return all(
        digests.get(change.component) == originals.get(change.component) for change in state.plan.changes
    )


def unavailable_count(state: RolloutState, zone: str = "") -> int:
    """The number of routers of a zone, or of all with "", that are being replaced, cold or unknown."""
    return sum(
        1
        for router in state.routers.values()
        if (not zone or router.zone == zone)
        and (router.phase in UNAVAILABLE_PHASES or is_unknown(state, router))
    )


def may_become_unavailable(state: RolloutState, router: RouterState) -> bool:
    """Whether the plan's limits allow one more unavailable router, and this router has reported recently."""
    return (
        not is_unknown(state, router)
        and has_recent_report(state, router)
        and unavailable_count(state) < state.plan.max_unavailable
        and unavailable_count(state, router.zone) < state.plan.max_unavailable_per_zone
    )
