"""Whether a file may be used: by itself, and held against a deployment's settings.

``load`` needs no deployment.  ``check`` knows the classes, zones and limits, and refuses what a rule forbids:
a second run of what must not run twice, a wait past the client's give-up time, more sends than allowed.
"""

from __future__ import annotations

import gc
from collections.abc import Generator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

from kelpcroft.core.inputs import OperatorFileRead
from kelpcroft.decision import interface as api
from kelpcroft.discovery.schedule import MAX_NEWS_WAIT_MS
from kelpcroft.operator_file.diagnostics import (
    Diagnostic,
    DiagnosticCollector,
    FilePosition,
    TooManyDiagnostics,
    abbreviated,
    suggestion,
)
from kelpcroft.operator_file.match_regions import RouteCoverage, count
from kelpcroft.operator_file.model import OperatorFile, Route, RoutePolicy
from kelpcroft.operator_file.reader import NodeReader
from kelpcroft.operator_file.text import MAX_FILE_BYTES, parse_nodes
from kelpcroft.routes.index import CELLS_MOST, too_complex
from kelpcroft.store.identity import hex_digest

MS = 1_000_000
REST_S = MAX_NEWS_WAIT_MS / 1_000  # between two calls of a router that hears nothing new
BOXES_MOST = 50_000  # groups times parts times objects, of all routes together
T = TypeVar("T")
Steps = Generator[None, None, T]


def load(data: bytes) -> tuple[OperatorFile, list[Diagnostic]]:
    """A file's bytes as a model, and all that is wrong with it without regard to a deployment."""
    with collections_off():
        return finish(loading(data))


@contextmanager
def collections_off() -> Generator[None, None, None]:
    """Nothing here is cyclic, and collections took half of the time of a large file."""
    collects = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if collects:
            gc.enable()


def loading(data: bytes) -> Steps[tuple[OperatorFile, list[Diagnostic]]]:
    """``load`` in steps of well under a millisecond, for a process that has other work."""
    faults, file = DiagnosticCollector(), OperatorFile()
    try:
        file = yield from NodeReader(faults).file(parse_nodes(data, faults))
        if not faults.count:
            yield from alone(file, faults)
    except TooManyDiagnostics:
        pass
    return file, faults.in_file_order()


def finish(steps: Steps[T]) -> T:
    """All steps at once."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            found: T = end.value
            return found


def read(path: Path) -> bytes:
    """A file's bytes, one more than may be at the most.  Raises OSError."""
    with path.open("rb") as stream:
        return stream.read(MAX_FILE_BYTES + 1)


def reading(path: Path, settings: api.Settings) -> Steps[OperatorFileRead]:
    """A file in steps, as what the reducer is told of it: the file itself where it may be used."""
    try:
        data = read(path)
    except OSError as error:
        return OperatorFileRead(None, f"{path}: {error.strerror}", 1)
    file, faults = yield from loading(data)
    if not faults:
        faults = yield from checking(file, settings)
    if faults:
        return OperatorFileRead(None, faults[0].format_for(str(path)), len(faults))
    return OperatorFileRead(file, digest=hex_digest(data) if file.exposes_state else "")


def alone(file: OperatorFile, faults: DiagnosticCollector) -> Steps[None]:
    """What needs no deployment to be wrong."""
    for route in file.routes:
        yield
        bounds_alone(route.bounds, f"route {abbreviated(route.name)}", route.place, faults)
    if not file.routes and file.defaults != RoutePolicy():
        place = min(file.defaults.places.values(), default=FilePosition(1, 1))
        faults.add(place, "no-rest", 'the defaults have no route to apply to; add route "rest" { match }')
    total = 0
    for route in file.routes:
        total += count(route)
        if total > BOXES_MOST:
            faults.add(
                route.match_place,
                "too-complex",
                f"up to route {abbreviated(route.name)} the lists of "
                f"groups, parts and objects make over {BOXES_MOST} cases; use ranges",
            )
            return
    yield
    cells = too_complex(file.routes)
    if cells:
        faults.add(
            file.routes[0].place,
            "too-complex",
            f"{cells} meetings of group and part ranges under "
            f"one object prefix, {CELLS_MOST} at most; use fewer ranges, or name objects",
        )


def bounds_alone(b: RoutePolicy, owner: str, place: FilePosition, faults: DiagnosticCollector) -> None:
    """One route's bounds against each other."""
    at = b.places.get
    wait = b.timeout.ns if b.timeout else 0
    attempt = b.attempt.longest_ns() if b.attempt else 0
    if wait and attempt > wait:
        faults.add(
            at("attempt", place),
            "attempt-over-route",
            f"{owner}: an attempt may take {span(attempt)} and the whole answer {span(wait)}",
        )
    elif wait and b.attempt and b.attempt.least_ns > wait:
        faults.add(
            at("attempt", place),
            "attempt-over-route",
            f"{owner}: an attempt has {span(b.attempt.least_ns)} at the least, the whole answer {span(wait)}",
        )
    if b.copies and b.copies.most:
        after = b.copies.after.shortest_ns()
        if attempt and after >= attempt:
            faults.add(
                at("copies", place),
                "copy-after-attempt",
                f"{owner}: a copy is due after {span(after)}, when the attempt has ended at its "
                f"time-out of {span(attempt)}",
            )
        if wait and after >= wait:
            faults.add(
                at("copies", place),
                "copy-after-attempt",
                f"{owner}: a copy is due after {span(after)}, past the whole wait of {span(wait)}",
            )
    if b.backoff:
        longest = b.backoff.longest_total_ns(b.attempts or 2)
        if wait and longest >= wait:
            faults.add(
                at("backoff", place),
                "backoff-over-wait",
                f"{owner}: its waits between {b.attempts or 2} attempts come to {span(longest)}, "
                f"the whole answer has {span(wait)}",
            )


def check(file: OperatorFile, settings: api.Settings) -> list[Diagnostic]:
    """All that is wrong with a file in a deployment.  Empty for a file that may be used there."""
    with collections_off():
        return finish(checking(file, settings))


def checking(file: OperatorFile, settings: api.Settings) -> Steps[list[Diagnostic]]:
    """``check`` in steps."""
    faults = DiagnosticCollector()
    try:
        yield from deployed(file, settings, faults)
    except TooManyDiagnostics:
        pass
    return faults.in_file_order()


def deployed(file: OperatorFile, settings: api.Settings, faults: DiagnosticCollector) -> Steps[None]:
    """Names, then what each route takes, then its bounds."""
    rest = settings.instances / REST_S  # calls of the list service that a fleet at rest makes
    if 0 < file.start_options.list_calls_per_s < rest:
        faults.add(
            file.start_position,
            "rate-under-rest",
            f"{settings.instances} routers at rest call the list "
            f"service {rest:g} times a second; "
            f"list-calls={file.start_options.list_calls_per_s:g} cannot be kept",
        )
    if file.start_options.estimate_fleet_size and (
        settings.load_report_mode == "off" or "outstanding" not in settings.load_report_fields
    ):
        faults.add(
            file.start_position,
            "no-report",
            "count=#true wants servers that report 'outstanding'; "
            f"this deployment's report {', '.join(settings.load_report_fields) or 'nothing'}",
        )
    classes = {c.name: c for c in settings.classes}
    for route in file.routes:
        for what, named, known in (
            ("class", route.match.classes, list(classes)),
            ("zone", route.match.zones, list(settings.zones)),
        ):
            for name in named:
                if name not in known:
                    faults.add(
                        route.match_place,
                        f"unknown-{what}",
                        f"route {abbreviated(route.name)}: there is no {what} {abbreviated(name)}"
                        f"{suggestion(name, known)}",
                    )
    if faults.count:
        return
    cover = RouteCoverage(settings)
    for route in file.routes:
        yield
        takes = cover.add_route(route)
        if not takes and waits(route, file, settings):
            continue
        if not takes:
            earlier = cover.takers
            names = ", ".join(abbreviated(name) for name in earlier[:3])
            names += " and others" if len(earlier) > 3 else ""
            faults.add(
                route.match_place,
                "unreachable-route",
                f"route {abbreviated(route.name)} can never match: {names or 'nothing'} takes all of it"
                + ("; move it up" if earlier else ""),
            )
            continue
        if not route.bounds.places:
            continue  # it says nothing that could be wrong
        for cls in settings.classes:
            if cls.name in takes:
                class_rules(route, cls, settings, faults)
        deployment_rules(route, settings, faults)
    if file.routes:
        for name in cover.uncovered():
            last = file.routes[-1]
            faults.add(
                last.place,
                "no-route",
                f"class {abbreviated(name)} has requests that no route takes; "
                'add a last route with an empty match, route "rest" { match }',
            )


def waits(route: Route, file: OperatorFile, settings: api.Settings) -> bool:
    """Whether a route that takes nothing is there for classes of another deployment: it matches by what a
    class is and none here is that, or it takes the rest behind routes that match so."""
    m = route.match
    if m.matches_everything():
        return any(other.match.asks_class_properties() for other in file.routes)
    return m.asks_class_properties() and not m.classes and not any(map(m.accepts_class, settings.classes))


def deployment_rules(route: Route, settings: api.Settings, faults: DiagnosticCollector) -> None:
    """A route against the limits of the deployment."""
    b, owner, limits = route.bounds, f"route {abbreviated(route.name)}", settings.limits

    def at(key: str) -> FilePosition:
        return b.places.get(key, route.place)

    most = limits.max_attempts
    if b.attempts is not None and b.attempts > most:
        faults.add(
            at("attempts"),
            "attempts-over-deployment",
            f"{owner}: {b.attempts} attempts; the deployment allows {most} sends for a request",
        )
    if b.moves is not None and b.moves > most - 1:
        faults.add(
            at("moves"),
            "moves-over-deployment",
            f"{owner}: {b.moves} moves behind the first send; the deployment allows {most} in all",
        )
    if b.copies and b.copies.most:
        if not limits.may_hedge:
            faults.add(at("copies"), "copies-forbidden", f"{owner}: the deployment allows no second copies")
        elif b.copies.most > most - 1:
            faults.add(
                at("copies"),
                "attempts-over-deployment",
                f"{owner}: {b.copies.most} copies; the deployment allows {most} sends for a request",
            )
    if b.pause_ns:
        if not limits.may_send_retry_after:
            faults.add(at("pause_ns"), "pause-forbidden", f"{owner}: the deployment tells clients no pause")
        elif b.pause_ns > limits.max_retry_after_ns > 0:
            faults.add(
                at("pause_ns"),
                "pause-too-long",
                f"{owner}: a pause of {span(b.pause_ns)}, of which "
                f"the deployment allows {span(limits.max_retry_after_ns)}",
            )


def class_rules(
    route: Route, cls: api.RequestClass, settings: api.Settings, faults: DiagnosticCollector
) -> None:
    """A route against one class whose requests it takes."""
    b, owner = route.bounds, f"route {abbreviated(route.name)}"

    def at(key: str) -> FilePosition:
        return b.places.get(key, route.place)

    if cls.idempotency is not api.Idempotency.SAFE:
        why = (
            "must never run twice"
            if cls.idempotency is api.Idempotency.UNSAFE
            else "may be repeated only where its repeats are dropped"
        )
        if cls.idempotency is api.Idempotency.UNSAFE and b.attempts is not None and b.attempts > 1:
            faults.add(
                at("attempts"),
                "second-attempt",
                f"{owner}: {b.attempts} attempts at class {abbreviated(cls.name)}, which {why} "
                f"(its effect is {cls.idempotency.value!r}); write attempts most=1 in a route of its own",
            )
        if b.copies and b.copies.most:
            faults.add(
                at("copies"),
                "second-copy",
                f"{owner}: a second copy of class {abbreviated(cls.name)}, which {why} "
                f"(its effect is {cls.idempotency.value!r}); write copies most=0 in a route of its own",
            )
    limit = cls.deadline_ns
    if not limit:
        return
    wait = b.timeout.within(limit) if b.timeout else limit
    if b.timeout and b.timeout.ns > limit:
        faults.add(
            at("timeout"),
            "wait-over-class",
            f"{owner}: a wait of {span(b.timeout.ns)}, but clients "
            f"of class {abbreviated(cls.name)} give up after {span(limit)}",
        )
        return
    if b.timeout and b.timeout.ns:
        return  # held against each other already, without the deployment
    whole = f"the whole answer of class {abbreviated(cls.name)} has {span(wait)}"
    attempt = max(b.attempt.longest_ns(), b.attempt.least_ns) if b.attempt else 0
    if attempt > wait:
        faults.add(
            at("attempt"), "attempt-over-route", f"{owner}: an attempt may take {span(attempt)}; {whole}"
        )
    if b.copies and b.copies.most and b.copies.after.shortest_ns() >= wait:
        faults.add(
            at("copies"),
            "copy-after-attempt",
            f"{owner}: a copy is due after {span(b.copies.after.shortest_ns())}; {whole}",
        )
    longest = b.backoff.longest_total_ns(b.attempts or 2) if b.backoff else 0
    if b.backoff and longest >= wait:
        faults.add(
            at("backoff"),
            "backoff-over-wait",
            f"{owner}: its waits between attempts come to {span(longest)}; {whole}",
        )


def span(ns: int) -> str:
    """A time for people."""
    return f"{ns / 10**9:g}s" if ns >= 10**9 else f"{ns / MS:g}ms"
