"""The tree of a file to its model.  Whatever is wrong is noted and left out; the rest is read on."""

from __future__ import annotations

import re
from collections.abc import Callable, Generator, Iterable
from typing import Any

from kelpcroft.operator_file import values
from kelpcroft.operator_file.diagnostics import DiagnosticCollector, abbreviated, suggestion
from kelpcroft.operator_file.model import (
    EFFECT_NAMES,
    GROUP_RANGE,
    PART_RANGE,
    RETRYABLE_OUTCOMES,
    AdaptiveDuration,
    AnswerTimeout,
    Backoff,
    BudgetSettings,
    ControlReplicas,
    Hedging,
    OperatorFile,
    Range,
    Route,
    RouteMatch,
    RoutePolicy,
)
from kelpcroft.operator_file.text import KdlNode, KdlProperty, Value
from kelpcroft.operator_file.values import InvalidValue
from kelpcroft.startup.options import StartupOptions

VERSION = 1
SECOND = 10**9
STALE_LEAST_NS, STALE_MOST_NS = 2 * SECOND, 60 * SECOND
COUNT_MOST = 64  # attempts, moves and copies in a file; the deployment has a bound of its own
OPEN_MOST = 1_000_000
BURST = 10.0  # of a budget that does not say
HEX = re.compile(r"[0-9a-f]{1,16}")
TOP = ("kelpcroft", "control", "start", "replicas", "defaults", "budget", "route")
REPLICAS_MOST = 16  # addresses of control replicas
NOT_RUN = {"miss", "full", "refused", "moot", "connect"}  # outcomes that belong to moves
PARTS_OF_BOUNDS = ("timeout", "attempt", "attempts", "moves", "backoff", "copies", "limit", "pause")


Said = tuple[str, Any, int]  # a field of Bounds, its value, and where it stands


class NodeReader:
    """One file."""

    def __init__(self, faults: DiagnosticCollector) -> None:
        self.diagnostics = faults
        self.uses: list[tuple[str, int]] = []  # budgets that are named, and where

    # What all nodes share ---------------------------------------------------------------------------------

    def check_structure(
        self, item: KdlNode, args: int, keys: tuple[str, ...], children: tuple[str, ...] = ()
    ) -> None:
        """Complain of what a node may not hold."""
        for _, place in item.arguments[args:]:
            what = "one argument" if args == 1 else "no argument" if not args else f"{args} arguments"
            self.diagnostics.add(place, "unknown-key", f"{item.name!r} takes {what}")
        for key, prop in item.properties.items():
            if key not in keys:
                self.diagnostics.add(
                    prop.key_offset,
                    "unknown-key",
                    f"{item.name!r} has no {abbreviated(key)}{suggestion(key, keys)}",
                )
        seen: set[str] = set()
        for child in item.children:
            if child.name not in children:
                self.diagnostics.add(
                    child.offset,
                    "unknown-node",
                    f"{item.name!r} holds no {abbreviated(child.name)}{suggestion(child.name, children)}",
                )
            elif child.name in seen and child.name != "match":
                self.diagnostics.add(
                    child.offset, "duplicate-node", f"{child.name!r} stands twice in this {item.name!r}"
                )
            seen.add(child.name)

    def read_value(self, item: KdlNode, place: int, raw: Value, read: Callable[[Value], Any]) -> Any:
        """A value, or None and a fault."""
        try:
            return read(raw)
        except InvalidValue as error:
            self.diagnostics.add(place, error.code, f"{item.name}: {error.reason}")
            return None

    def read_argument(self, item: KdlNode, read: Callable[[Value], Any], what: str) -> Any:
        """A node's one argument."""
        if not item.arguments:
            self.diagnostics.add(item.offset, "missing-value", f"{item.name!r} wants {what}")
            return None
        return self.read_value(item, item.arguments[0][1], item.arguments[0][0], read)

    def read_property(self, item: KdlNode, key: str, read: Callable[[Value], Any], need: str = "") -> Any:
        """A property; ``need`` says what is wanted where it is not optional."""
        prop = item.properties.get(key)
        if prop is not None:
            return self.read_value(item, prop.value_offset, prop.value, read)
        if need:
            self.diagnostics.add(item.offset, "missing-value", f"{item.name!r} wants {need}")
        return None

    def read_name(self, item: KdlNode) -> str:
        """A name: some printable text of up to 64 characters."""

        def read(raw: Value) -> str:
            text = values.parse_text(raw, "a name")
            if not text or len(text) > 64 or not text.isprintable():
                raise InvalidValue("bad-name", f"{abbreviated(raw)} is no name; 1 to 64 printable characters")
            return text

        return self.read_argument(item, read, f'a name, as in {item.name} "orders"') or ""

    # The file ---------------------------------------------------------------------------------------------

    def file(self, items: Iterable[KdlNode]) -> Generator[None, None, OperatorFile]:
        """A whole file, a step for each node at its top."""
        defaults, budgets, found, state, begin = RoutePolicy(), [], [], False, StartupOptions()
        replicas = None
        first = True
        names: dict[tuple[str, str], int] = {}
        seen: dict[str, int] = {}
        for item in items:
            yield
            if first and item.name != "kelpcroft":
                self.diagnostics.add(
                    item.offset,
                    "no-version",
                    f"the first node is 'kelpcroft version={VERSION}', not {abbreviated(item.name)}",
                )
            first = False
            if item.name not in TOP:
                self.diagnostics.add(
                    item.offset,
                    "unknown-node",
                    f"a file holds no {abbreviated(item.name)}{suggestion(item.name, TOP)}",
                )
                continue
            if item.name in ("kelpcroft", "control", "start", "replicas", "defaults"):
                if item.name in seen:
                    self.diagnostics.add(
                        item.offset,
                        "duplicate-node",
                        f"{item.name!r} stands at line {self.line_of(seen[item.name])} already",
                    )
                    continue
                seen[item.name] = item.offset
            if item.name == "kelpcroft":
                self.version(item)
            elif item.name == "control":
                self.check_structure(item, 0, ("state",))
                state = bool(
                    self.read_property(item, "state", values.parse_flag, "what it tells, as in state=#true")
                )
            elif item.name == "start":
                begin = self.start(item)
            elif item.name == "replicas":
                replicas = self.replicas(item)
            elif item.name == "defaults":
                self.check_structure(item, 0, (), PARTS_OF_BOUNDS)
                defaults = self.bounds(item)
            else:
                name = self.read_name(item)
                if name and (item.name, name) in names:
                    self.diagnostics.add(
                        item.offset,
                        "duplicate-name",
                        f"{item.name} {abbreviated(name)} stands at line "
                        f"{self.line_of(names[item.name, name])} already",
                    )
                names.setdefault((item.name, name), item.offset)
                if item.name == "budget":
                    budgets.append(self.budget(item, name))
                else:
                    found.append(self.route(item, name))
        routes = tuple(Route(r.name, r.match, r.bounds.over(defaults), r.place, r.match_place) for r in found)
        file = OperatorFile(
            routes,
            tuple(budgets),
            defaults,
            state,
            begin,
            replicas,
            self.diagnostics.position_of(seen.get("start", 0)),
        )
        self.names_agree(file)
        return file

    def line_of(self, at: int) -> int:
        """The line of an offset."""
        return self.diagnostics.position_of(at).line

    def version(self, item: KdlNode) -> None:
        self.check_structure(item, 0, ("version",))
        prop = item.properties.get("version")
        if prop is None:
            self.diagnostics.add(
                item.offset, "no-version", f"which version? write kelpcroft version={VERSION}"
            )
        elif isinstance(prop.value, bool) or not isinstance(prop.value, int):
            self.diagnostics.add(
                prop.value_offset, "wrong-type", f"a version is a whole number, not {abbreviated(prop.value)}"
            )
        elif prop.value != VERSION:
            self.diagnostics.add(
                prop.value_offset,
                "unknown-version",
                f"version {abbreviated(prop.value)} is not known here; version {VERSION} is",
            )

    def start(self, item: KdlNode) -> StartupOptions:
        """How routers begin beside each other."""
        self.check_structure(item, 0, ("list-calls", "store", "count"))
        if not item.properties:
            self.diagnostics.add(
                item.offset,
                "missing-value",
                "'start' wants list-calls=50, the calls a second "
                "that the list service bears of all routers, store=#true or count=#true",
            )
        calls = self.read_property(item, "list-calls", lambda v: values.parse_number(v, 0.1, 1e6, "bad-rate"))
        return StartupOptions(
            calls or 0.0,
            *(bool(self.read_property(item, key, values.parse_flag)) for key in ("store", "count")),
        )

    def replicas(self, item: KdlNode) -> ControlReplicas | None:
        """The control replicas that are watched."""
        self.check_structure(item, REPLICAS_MOST, ("stale",))
        stale = self.read_property(item, "stale", values.parse_duration)
        if stale is not None and not STALE_LEAST_NS <= stale <= STALE_MOST_NS:
            self.diagnostics.add(
                item.properties["stale"].value_offset,
                "bad-duration",
                f"'stale' is from {STALE_LEAST_NS // SECOND}s, as a replica hears from "
                f"upstream once a second, to {STALE_MOST_NS // SECOND}s",
            )
            stale = None
        found = self.read_addresses(item)
        if not found:
            return None
        return ControlReplicas(found) if stale is None else ControlReplicas(found, stale)

    def read_addresses(self, item: KdlNode) -> tuple[tuple[str, int], ...]:
        """All arguments as addresses, each once; at least one."""
        found: dict[tuple[str, int], int] = {}
        for raw, place in item.arguments[:REPLICAS_MOST]:
            address = self.read_value(item, place, raw, values.parse_address)
            if address in found:
                self.diagnostics.add(place, "duplicate-name", f"{abbreviated(raw)} stands there already")
            elif address is not None:
                found[address] = place
        if not item.arguments:
            self.diagnostics.add(
                item.offset,
                "missing-value",
                f'{item.name!r} wants addresses, as in {item.name} "10.0.0.1:7100"',
            )
        return tuple(found)

    def budget(self, item: KdlNode, name: str) -> BudgetSettings:
        self.check_structure(item, 1, ("ratio", "least", "burst"))
        ratio = self.read_property(
            item, "ratio", lambda v: values.parse_number(v, 0, 10, "bad-ratio"), "a ratio, as in ratio=0.2"
        )
        least = self.read_property(item, "least", values.parse_rate)
        burst = self.read_property(
            item, "burst", lambda v: values.parse_number(v, 1, values.BURST_MOST, "bad-ratio")
        )
        place = self.diagnostics.position_of(item.offset)
        return BudgetSettings(name, ratio or 0.0, least or 0.0, BURST if burst is None else burst, place)

    def route(self, item: KdlNode, name: str) -> Route:
        self.check_structure(item, 1, (), (*PARTS_OF_BOUNDS, "match"))
        matches = [child for child in item.children if child.name == "match"]
        match = RouteMatch()
        if not matches:
            self.diagnostics.add(
                item.offset,
                "missing-value",
                f"route {abbreviated(name)} has no 'match'; an empty one takes all",
            )
        else:
            match = self.match(matches[0])
            for more in matches[1:]:
                self.diagnostics.add(
                    more.offset,
                    "duplicate-node",
                    f"route {abbreviated(name)} has a 'match' already; "
                    'one takes lists, such as class="a,b"',
                )
        place = matches[0].offset if matches else item.offset
        return Route(
            name,
            match,
            self.bounds(item),
            self.diagnostics.position_of(item.offset),
            self.diagnostics.position_of(place),
        )

    def match(self, item: KdlNode) -> RouteMatch:
        self.check_structure(
            item,
            0,
            ("class", "group", "object", "part", "zone", "retry", "write", "effect", "through", "multipart"),
        )
        return RouteMatch(
            classes=tuple(self.read_property(item, "class", values.parse_list) or ()),
            groups=self.ranges(item, "group", GROUP_RANGE),
            parts=self.ranges(item, "part", PART_RANGE),
            objects=tuple(self.read_property(item, "object", self.objects) or ()),
            zones=tuple(self.read_property(item, "zone", values.parse_list) or ()),
            retry=self.read_property(item, "retry", values.parse_flag),
            write=self.read_property(item, "write", values.parse_flag),
            effects=tuple(self.read_property(item, "effect", self.effects) or ()),
            through=self.read_property(item, "through", values.parse_flag),
            multipart=self.read_property(item, "multipart", values.parse_flag),
        )

    def ranges(self, item: KdlNode, key: str, whole: Range) -> tuple[Range, ...]:
        def read(raw: Value) -> tuple[Range, ...]:
            if isinstance(raw, int) and not isinstance(raw, bool):
                return (values.parse_range(raw, whole),)
            return tuple(values.parse_range(word, whole) for word in values.parse_list(raw, "a range"))

        return self.read_property(item, key, read) or ()

    @staticmethod
    def effects(raw: Value) -> list[str]:
        found = values.parse_list(raw)
        for word in found:
            if word not in EFFECT_NAMES:
                raise InvalidValue(
                    "unknown-effect",
                    f"there is no effect {abbreviated(word)}{suggestion(word, EFFECT_NAMES)}; "
                    f"there are {', '.join(EFFECT_NAMES)}",
                )
        return found

    @staticmethod
    def objects(raw: Value) -> list[str]:
        found = values.parse_list(raw, "hex digits")
        for word in found:
            if not HEX.fullmatch(word):
                raise InvalidValue(
                    "bad-object", f"{abbreviated(word)} is not 1 to 16 hex digits in lower case"
                )
        return found

    # What bounds a request --------------------------------------------------------------------------------

    def bounds(self, item: KdlNode) -> RoutePolicy:
        """What the children of a route or of the defaults say."""
        said: dict[str, Any] = {}
        places = {}
        for child in item.children:
            if child.name not in PARTS_OF_BOUNDS:
                continue
            for key, value, place in getattr(self, f"read_{child.name}")(child):
                if value is not None:
                    said[key], places[key] = value, self.diagnostics.position_of(place)
        return RoutePolicy(**said, places=places)

    def read_timeout(self, item: KdlNode) -> list[Said]:
        self.check_structure(item, 1, ())

        def read(raw: Value) -> AnswerTimeout:
            part = values.parse_share(raw)
            return (
                AnswerTimeout(ns=values.parse_duration(raw, "a wait"))
                if part is None
                else AnswerTimeout(share=part)
            )

        return [("timeout", self.read_argument(item, read, 'a wait, as in timeout "2.5s"'), item.offset)]

    def moment(self, item: KdlNode, key: str, need: str) -> AdaptiveDuration | None:
        """A duration or a quantile under ``key``, with ``least`` and ``most``."""

        def read(raw: Value) -> AdaptiveDuration:
            part = values.parse_quantile(raw)
            return (
                AdaptiveDuration(ns=values.parse_duration(raw, "a moment"))
                if part is None
                else AdaptiveDuration(quantile=part)
            )

        found: AdaptiveDuration | None = self.read_property(item, key, read, need)
        least = self.read_property(item, "least", values.parse_duration)
        most = (
            self.read_property(item, "most", values.parse_duration) if key != "after" else None
        )  # there it counts copies
        if found is None:
            return None
        if found.ns:
            for k in ("least", "most"):
                if k in item.properties and not (key == "after" and k == "most"):
                    self.diagnostics.add(
                        item.properties[k].key_offset,
                        "unknown-key",
                        f"{k!r} goes with a quantile, and {key!r} is a duration",
                    )
            return found
        if least and most and least > most:
            self.diagnostics.add(
                item.properties["least"].value_offset,
                "least-over-most",
                f"{item.name}: 'least' is over 'most'",
            )
            return None
        return AdaptiveDuration(quantile=found.quantile, least_ns=least or 0, most_ns=most or 0)

    def read_attempt(self, item: KdlNode) -> list[Said]:
        self.check_structure(item, 0, ("timeout", "least", "most"))
        moment = self.moment(item, "timeout", 'a time, as in attempt timeout="800ms"')
        return [("attempt", moment, item.offset)]

    def read_attempts(self, item: KdlNode) -> list[Said]:
        self.check_structure(item, 0, ("most", "on", "budget"))
        most = self.read_property(item, "most", lambda v: values.parse_count(v, 1, COUNT_MOST))
        on, budget = self.read_property(item, "on", self.outcomes), self.use(item)
        return [
            ("attempts", most, self.at(item, "most")),
            ("on", on, self.at(item, "on")),
            ("budget", budget, self.at(item, "budget")),
        ]

    def read_moves(self, item: KdlNode) -> list[Said]:
        self.check_structure(item, 0, ("most",))
        most = self.read_property(
            item, "most", lambda v: values.parse_count(v, 0, COUNT_MOST), "a count, as in most=3"
        )
        return [("moves", most, self.at(item, "most"))]

    def read_backoff(self, item: KdlNode) -> list[Said]:
        self.check_structure(item, 0, ("first", "most", "jitter"))

        def jitter(raw: Value) -> bool:
            if raw not in ("full", "none"):
                raise InvalidValue("unknown-word", f'jitter is "full" or "none", not {abbreviated(raw)}')
            return raw == "full"

        first = self.read_property(item, "first", values.parse_duration, 'a first wait, as in first="20ms"')
        most = self.read_property(item, "most", values.parse_duration)
        drawn = self.read_property(item, "jitter", jitter)
        if first is None:
            return []
        if most is not None and first > most:
            self.diagnostics.add(
                item.properties["first"].value_offset, "least-over-most", "backoff: 'first' is over 'most'"
            )
            return []
        return [("backoff", Backoff(first, most or first, bool(drawn)), item.offset)]

    def read_copies(self, item: KdlNode) -> list[Said]:
        self.check_structure(item, 0, ("most", "after", "least", "budget"))
        most = self.read_property(
            item, "most", lambda v: values.parse_count(v, 0, COUNT_MOST), "a count, as in most=1"
        )
        if most == 0:
            return [("copies", Hedging(0, AdaptiveDuration(ns=1)), item.offset)]
        after = self.moment(item, "after", 'a time, as in after="p95"')
        budget = self.use(item)
        return [("copies", Hedging(most, after, budget) if most and after else None, item.offset)]

    def read_limit(self, item: KdlNode) -> list[Said]:
        self.check_structure(item, 0, ("open",))
        read = lambda v: values.parse_count(v, 1, OPEN_MOST)  # noqa: E731
        return [("open", self.read_property(item, "open", read, "a count, as in open=400"), item.offset)]

    def read_pause(self, item: KdlNode) -> list[Said]:
        self.check_structure(item, 1, ())
        return [
            (
                "pause_ns",
                self.read_argument(item, values.parse_duration, 'a time, as in pause "300ms"'),
                item.offset,
            )
        ]

    @staticmethod
    def at(item: KdlNode, key: str) -> int:
        prop: KdlProperty | None = item.properties.get(key)
        return prop.value_offset if prop else item.offset

    @staticmethod
    def outcomes(raw: Value) -> frozenset[str]:
        found = values.parse_list(raw)
        for word in found:
            if word in NOT_RUN:
                raise InvalidValue(
                    "unknown-outcome",
                    f"{abbreviated(word)} proves that nothing ran; 'moves' bounds what follows it",
                )
            if word not in RETRYABLE_OUTCOMES:
                raise InvalidValue(
                    "unknown-outcome",
                    f"{abbreviated(word)} is no outcome{suggestion(word, RETRYABLE_OUTCOMES)}",
                )
        return frozenset(found)

    def use(self, item: KdlNode) -> str | None:
        """A budget that is named."""

        def read(raw: Value) -> str:
            return values.parse_text(raw, "a name")

        found: str | None = self.read_property(item, "budget", read)
        if found is not None:
            self.uses.append((found, item.properties["budget"].value_offset))
        return found

    def names_agree(self, file: OperatorFile) -> None:
        """Budgets that are used exist, and those that exist are used."""
        known = [budget.name for budget in file.budgets]
        for name, place in self.uses:
            if name not in known:
                self.diagnostics.add(
                    place,
                    "unknown-budget",
                    f"there is no budget {abbreviated(name)}{suggestion(name, known)}",
                )
        used = {name for name, _ in self.uses}
        for budget in file.budgets:
            if budget.name and budget.name not in used:
                self.diagnostics.add(
                    budget.position,
                    "unused-budget",
                    f"nobody uses budget {abbreviated(budget.name)}; "
                    "name it at 'attempts' or 'copies', or take it out",
                )
