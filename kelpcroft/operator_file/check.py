"""Checks of an operator's file: by itself, and against the settings of a deployment.

``load`` needs no deployment.  ``check`` uses the classes, zones and limits of the deployment, and reports
each broken rule: a second run of a request that must not run twice, a wait that is longer than the client's
own timeout, more sends than the deployment allows.  Both report all diagnostics at once, and raise no
exception for any content of a file.  Each has a variant in steps for the serving process, which does other
work between the steps.
"""

from __future__ import annotations

import gc
from collections.abc import Generator, Iterable
from contextlib import contextmanager, suppress
from typing import TypeVar

from kelpcroft.core.inputs import OperatorFileRead
from kelpcroft.decision import interface as api
from kelpcroft.discovery.schedule import MAX_EVENT_WAIT_MS
from kelpcroft.operator_file.diagnostics import (
    Diagnostic,
    DiagnosticCollector,
    TooManyDiagnostics,
    abbreviated,
    suggestion,
)
from kelpcroft.operator_file.match_regions import RouteCoverage, region_count
from kelpcroft.operator_file.model import OperatorFile, Route, RoutePolicy
from kelpcroft.operator_file.reader import OperatorFileReader
from kelpcroft.operator_file.route_rules import RouteRules
from kelpcroft.operator_file.text import FILE_START, MAX_FILE_BYTES, parse_nodes
from kelpcroft.routes.index import MAX_CELLS, largest_plane
from kelpcroft.store.identity import hex_digest

# Interval between watch requests of a router while there are no events.
IDLE_WATCH_INTERVAL_S = MAX_EVENT_WAIT_MS / 1_000
MAX_REGIONS = 50_000  # sum over all routes of groups times parts times objects
MAX_NAMED_ROUTES = 3  # earlier routes named in the diagnostic of an unreachable route
Result = TypeVar("Result")
Steps = Generator[None, None, Result]


def load(data: bytes) -> tuple[OperatorFile, list[Diagnostic]]:
    """Parse the bytes of a file.  Returns the model, and all diagnostics that need no deployment."""
    with garbage_collection_off():
        return run_all_steps(load_steps(data))


def check(file: OperatorFile, settings: api.Settings) -> list[Diagnostic]:
    """All diagnostics of a file in a deployment.  Empty for a file that can be used there."""
    with garbage_collection_off():
        return run_all_steps(check_steps(file, settings))


@contextmanager
def garbage_collection_off() -> Generator[None, None, None]:
    """Disable garbage collection, which finds no cycles here and took half of the time for a large file."""
    was_on = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_on:
            gc.enable()


def run_all_steps(steps: Steps[Result]) -> Result:
    """Run all steps and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result


def read_bytes(path: str) -> bytes:
    """Read a file, up to one byte more than MAX_FILE_BYTES.  Raises OSError."""
    with open(path, "rb") as stream:
        return stream.read(MAX_FILE_BYTES + 1)


def read_steps(path: str, settings: api.Settings) -> Steps[OperatorFileRead]:
    """Read and check a file in steps.  Returns the reducer's input: the file, or the first diagnostic."""
    try:
        data = read_bytes(path)
    except OSError as error:
        return OperatorFileRead(None, f"{path}: {error.strerror}", 1)
    file, diagnostics = yield from load_steps(data)
    if not diagnostics:
        diagnostics = yield from check_steps(file, settings)
    if diagnostics:
        return OperatorFileRead(None, diagnostics[0].format_for(path), len(diagnostics))
    return OperatorFileRead(file, digest=hex_digest(data) if file.exposes_state else "")


def load_steps(data: bytes) -> Steps[tuple[OperatorFile, list[Diagnostic]]]:
    """Do the work of ``load`` in steps of well under a millisecond."""
    diagnostics = DiagnosticCollector()
    file = OperatorFile()
    with suppress(TooManyDiagnostics):
        file = yield from OperatorFileReader(diagnostics).read_file(parse_nodes(data, diagnostics))
        if not diagnostics.count:
            yield from check_without_deployment(file, diagnostics)
    return file, diagnostics.in_file_order()


def check_steps(file: OperatorFile, settings: api.Settings) -> Steps[list[Diagnostic]]:
    """Do the work of ``check`` in steps of about a millisecond; steps with many subtractions take longer."""
    diagnostics = DiagnosticCollector()
    with suppress(TooManyDiagnostics):
        check_start(file, settings, diagnostics)
        check_names(file, settings, diagnostics)
        if not diagnostics.count:
            yield from check_routes(file, settings, diagnostics)
    return diagnostics.in_file_order()


# Without a deployment -------------------------------------------------------------------------------------


def check_without_deployment(file: OperatorFile, diagnostics: DiagnosticCollector) -> Steps[None]:
    """Check the rules that need no deployment."""
    for route in file.routes:
        yield
        RouteRules(route, diagnostics).check_without_deployment()
    if not file.routes and file.defaults != RoutePolicy():
        diagnostics.add(
            min(file.defaults.positions.values(), default=FILE_START),
            "no-rest",
            'the defaults have no route to apply to; add route "rest" { match }',
        )
    first_beyond = first_route_beyond(file.routes, MAX_REGIONS)
    if first_beyond is not None:
        diagnostics.add(
            first_beyond.match_position,
            "too-complex",
            f"the routes up to {abbreviated(first_beyond.name)} combine their lists of "
            f"groups, parts and objects to over {MAX_REGIONS} cases; use ranges",
        )
        return
    yield
    cells = largest_plane(file.routes)
    if cells > MAX_CELLS:
        diagnostics.add(
            file.routes[0].position,
            "too-complex",
            f"{cells} combinations of group and part ranges under "
            f"one object prefix, {MAX_CELLS} at most; use fewer ranges, or name objects",
        )


def first_route_beyond(routes: Iterable[Route], max_regions: int) -> Route | None:
    """The first route with which the sum of regions exceeds ``max_regions``; None where it never does."""
    region_total = 0
    for route in routes:
        region_total += region_count(route)
        if region_total > max_regions:
            return route
    return None


# In a deployment ------------------------------------------------------------------------------------------


def check_start(file: OperatorFile, settings: api.Settings, diagnostics: DiagnosticCollector) -> None:
    """Check the start options against the number of routers and the load reports of the deployment."""
    start = file.start_options
    idle_requests_per_s = settings.instances / IDLE_WATCH_INTERVAL_S
    if 0 < start.list_requests_per_s < idle_requests_per_s:
        diagnostics.add(
            file.start_position,
            "rate-under-rest",
            f"{settings.instances} idle routers send watch requests {idle_requests_per_s:g} times a second "
            f"to the list service; list-calls={start.list_requests_per_s:g} is too low",
        )
    report_fields = settings.load_report_fields
    reports_outstanding = settings.load_report_mode != "off" and "outstanding" in report_fields
    if start.estimate_fleet_size and not reports_outstanding:
        diagnostics.add(
            file.start_position,
            "no-report",
            "count=#true needs servers that report 'outstanding'; "
            f"the servers of this deployment report {', '.join(report_fields) or 'nothing'}",
        )


def check_names(file: OperatorFile, settings: api.Settings, diagnostics: DiagnosticCollector) -> None:
    """Check that the deployment has the classes and zones that routes name."""
    classes = list(dict.fromkeys(request_class.name for request_class in settings.classes))
    for route in file.routes:
        check_known(route, "class", route.match.classes, classes, diagnostics)
        check_known(route, "zone", route.match.zones, list(settings.zones), diagnostics)


def check_known(
    route: Route, kind: str, names: Iterable[str], known: list[str], diagnostics: DiagnosticCollector
) -> None:
    """Check that the deployment has the names of one kind in a route's match."""
    for name in names:
        if name not in known:
            diagnostics.add(
                route.match_position,
                f"unknown-{kind}",
                f"route {abbreviated(route.name)}: unknown {kind} {abbreviated(name)}"
                f"{suggestion(name, known)}",
            )


def check_routes(file: OperatorFile, settings: api.Settings, diagnostics: DiagnosticCollector) -> Steps[None]:
    """Check each route's coverage and policy, and at the end that every request has a route."""
    coverage = RouteCoverage(settings)
    for route in file.routes:
        yield
        covered_classes = coverage.add_route(route)
        if not covered_classes:
            if not is_for_other_deployments(route, file, settings):
                report_unreachable(route, coverage.covering_routes, diagnostics)
            continue
        if not route.policy.positions:
            continue  # an empty policy breaks no rule
        rules = RouteRules(route, diagnostics)
        for request_class in settings.classes:
            if request_class.name in covered_classes:
                rules.check_class(request_class)
        rules.check_deployment(settings.limits)
    if file.routes:
        for name in coverage.uncovered():
            diagnostics.add(
                file.routes[-1].position,
                "no-route",
                f"class {abbreviated(name)} has requests that match no route; "
                'add a last route with an empty match, route "rest" { match }',
            )


def report_unreachable(route: Route, covering_routes: list[str], diagnostics: DiagnosticCollector) -> None:
    """Report a route that can never match, and the earlier routes that match its requests."""
    names = ", ".join(abbreviated(name) for name in covering_routes[:MAX_NAMED_ROUTES])
    if len(covering_routes) > MAX_NAMED_ROUTES:
        names += " and others"
    diagnostics.add(
        route.match_position,
        "unreachable-route",
        f"route {abbreviated(route.name)} can never match: {names or 'nothing'} takes all of it"
        + ("; move it up" if covering_routes else ""),
    )


def is_for_other_deployments(route: Route, file: OperatorFile, settings: api.Settings) -> bool:
    """Whether a route that matches nothing here is meant for classes of other deployments.

    Such a route has conditions on properties of classes that no class of this deployment meets.  A route
    without conditions is also accepted if the file has routes with conditions on properties of classes.
    """
    match = route.match
    if match.matches_everything():
        return any(other.match.has_class_property_conditions() for other in file.routes)
    return (
        match.has_class_property_conditions()
        and not match.classes
        and not any(match.accepts_class(request_class) for request_class in settings.classes)
    )
