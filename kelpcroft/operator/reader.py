"""The tree of a file to its model.  Whatever is wrong is noted and left out; the rest is read on."""

from __future__ import annotations

import re
from collections.abc import Callable, Generator, Iterable
from typing import Any

from kelpcroft.operator import values
from kelpcroft.operator.faults import Faults, instead, shown
from kelpcroft.operator.model import (
    EFFECTS,
    GROUPS,
    OUTCOMES,
    PARTS,
    Backoff,
    Bounds,
    Budget,
    Copies,
    File,
    Match,
    Moment,
    Range,
    Replicas,
    Route,
    Wait,
)
from kelpcroft.operator.text import Item, Property, Value
from kelpcroft.operator.values import Unusable
from kelpcroft.start.begin import Begin

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


class Reader:
    """One file."""

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.uses: list[tuple[str, int]] = []  # budgets that are named, and where

    # What all nodes share ---------------------------------------------------------------------------------

    def form(self, item: Item, args: int, keys: tuple[str, ...], children: tuple[str, ...] = ()) -> None:
        """Complain of what a node may not hold."""
        for _, place in item.args[args:]:
            what = "one argument" if args == 1 else "no argument" if not args else f"{args} arguments"
            self.faults.add(place, "unknown-key", f"{item.name!r} takes {what}")
        for key, prop in item.props.items():
            if key not in keys:
                self.faults.add(
                    prop.key_place, "unknown-key", f"{item.name!r} has no {shown(key)}{instead(key, keys)}"
                )
        seen: set[str] = set()
        for child in item.children:
            if child.name not in children:
                self.faults.add(
                    child.place,
                    "unknown-node",
                    f"{item.name!r} holds no {shown(child.name)}{instead(child.name, children)}",
                )
            elif child.name in seen and child.name != "match":
                self.faults.add(
                    child.place, "duplicate-node", f"{child.name!r} stands twice in this {item.name!r}"
                )
            seen.add(child.name)

    def value(self, item: Item, place: int, raw: Value, read: Callable[[Value], Any]) -> Any:
        """A value, or None and a fault."""
        try:
            return read(raw)
        except Unusable as error:
            self.faults.add(place, error.code, f"{item.name}: {error.reason}")
            return None

    def argument(self, item: Item, read: Callable[[Value], Any], what: str) -> Any:
        """A node's one argument."""
        if not item.args:
            self.faults.add(item.place, "missing-value", f"{item.name!r} wants {what}")
            return None
        return self.value(item, item.args[0][1], item.args[0][0], read)

    def prop(self, item: Item, key: str, read: Callable[[Value], Any], need: str = "") -> Any:
        """A property; ``need`` says what is wanted where it is not optional."""
        prop = item.props.get(key)
        if prop is not None:
            return self.value(item, prop.place, prop.value, read)
        if need:
            self.faults.add(item.place, "missing-value", f"{item.name!r} wants {need}")
        return None

    def name(self, item: Item) -> str:
        """A name: some printable text of up to 64 characters."""

        def read(raw: Value) -> str:
            text = values.text_of(raw, "a name")
            if not text or len(text) > 64 or not text.isprintable():
                raise Unusable("bad-name", f"{shown(raw)} is no name; 1 to 64 printable characters")
            return text

        return self.argument(item, read, f'a name, as in {item.name} "orders"') or ""

    # The file ---------------------------------------------------------------------------------------------

    def file(self, items: Iterable[Item]) -> Generator[None, None, File]:
        """A whole file, a step for each node at its top."""
        defaults, budgets, found, state, begin = Bounds(), [], [], False, Begin()
        replicas = None
        first = True
        names: dict[tuple[str, str], int] = {}
        seen: dict[str, int] = {}
        for item in items:
            yield
            if first and item.name != "kelpcroft":
                self.faults.add(
                    item.place,
                    "no-version",
                    f"the first node is 'kelpcroft version={VERSION}', not {shown(item.name)}",
                )
            first = False
            if item.name not in TOP:
                self.faults.add(
                    item.place, "unknown-node", f"a file holds no {shown(item.name)}{instead(item.name, TOP)}"
                )
                continue
            if item.name in ("kelpcroft", "control", "start", "replicas", "defaults"):
                if item.name in seen:
                    self.faults.add(
                        item.place,
                        "duplicate-node",
                        f"{item.name!r} stands at line {self.line(seen[item.name])} already",
                    )
                    continue
                seen[item.name] = item.place
            if item.name == "kelpcroft":
                self.version(item)
            elif item.name == "control":
                self.form(item, 0, ("state",))
                state = bool(self.prop(item, "state", values.flag, "what it tells, as in state=#true"))
            elif item.name == "start":
                begin = self.start(item)
            elif item.name == "replicas":
                replicas = self.replicas(item)
            elif item.name == "defaults":
                self.form(item, 0, (), PARTS_OF_BOUNDS)
                defaults = self.bounds(item)
            else:
                name = self.name(item)
                if name and (item.name, name) in names:
                    self.faults.add(
                        item.place,
                        "duplicate-name",
                        f"{item.name} {shown(name)} stands at line "
                        f"{self.line(names[item.name, name])} already",
                    )
                names.setdefault((item.name, name), item.place)
                if item.name == "budget":
                    budgets.append(self.budget(item, name))
                else:
                    found.append(self.route(item, name))
        routes = tuple(Route(r.name, r.match, r.bounds.over(defaults), r.place, r.match_place) for r in found)
        file = File(
            routes, tuple(budgets), defaults, state, begin, replicas, self.faults.place(seen.get("start", 0))
        )
        self.names_agree(file)
        return file

    def line(self, at: int) -> int:
        """The line of an offset."""
        return self.faults.place(at).line

    def version(self, item: Item) -> None:
        self.form(item, 0, ("version",))
        prop = item.props.get("version")
        if prop is None:
            self.faults.add(item.place, "no-version", f"which version? write kelpcroft version={VERSION}")
        elif isinstance(prop.value, bool) or not isinstance(prop.value, int):
            self.faults.add(prop.place, "wrong-type", f"a version is a whole number, not {shown(prop.value)}")
        elif prop.value != VERSION:
            self.faults.add(
                prop.place,
                "unknown-version",
                f"version {shown(prop.value)} is not known here; version {VERSION} is",
            )

    def start(self, item: Item) -> Begin:
        """How routers begin beside each other."""
        self.form(item, 0, ("list-calls", "store", "count"))
        if not item.props:
            self.faults.add(
                item.place,
                "missing-value",
                "'start' wants list-calls=50, the calls a second "
                "that the list service bears of all routers, store=#true or count=#true",
            )
        calls = self.prop(item, "list-calls", lambda v: values.number(v, 0.1, 1e6, "bad-rate"))
        return Begin(calls or 0.0, *(bool(self.prop(item, key, values.flag)) for key in ("store", "count")))

    def replicas(self, item: Item) -> Replicas | None:
        """The control replicas that are watched."""
        self.form(item, REPLICAS_MOST, ("stale",))
        stale = self.prop(item, "stale", values.duration)
        if stale is not None and not STALE_LEAST_NS <= stale <= STALE_MOST_NS:
            self.faults.add(
                item.props["stale"].place,
                "bad-duration",
                f"'stale' is from {STALE_LEAST_NS // SECOND}s, as a replica hears from "
                f"upstream once a second, to {STALE_MOST_NS // SECOND}s",
            )
            stale = None
        found = self.addresses(item)
        if not found:
            return None
        return Replicas(found) if stale is None else Replicas(found, stale)

    def addresses(self, item: Item) -> tuple[tuple[str, int], ...]:
        """All arguments as addresses, each once; at least one."""
        found: dict[tuple[str, int], int] = {}
        for raw, place in item.args[:REPLICAS_MOST]:
            address = self.value(item, place, raw, values.address)
            if address in found:
                self.faults.add(place, "duplicate-name", f"{shown(raw)} stands there already")
            elif address is not None:
                found[address] = place
        if not item.args:
            self.faults.add(
                item.place,
                "missing-value",
                f'{item.name!r} wants addresses, as in {item.name} "10.0.0.1:7100"',
            )
        return tuple(found)

    def budget(self, item: Item, name: str) -> Budget:
        self.form(item, 1, ("ratio", "least", "burst"))
        ratio = self.prop(
            item, "ratio", lambda v: values.number(v, 0, 10, "bad-ratio"), "a ratio, as in ratio=0.2"
        )
        least = self.prop(item, "least", values.rate)
        burst = self.prop(item, "burst", lambda v: values.number(v, 1, values.BURST_MOST, "bad-ratio"))
        place = self.faults.place(item.place)
        return Budget(name, ratio or 0.0, least or 0.0, BURST if burst is None else burst, place)

    def route(self, item: Item, name: str) -> Route:
        self.form(item, 1, (), (*PARTS_OF_BOUNDS, "match"))
        matches = [child for child in item.children if child.name == "match"]
        match = Match()
        if not matches:
            self.faults.add(
                item.place, "missing-value", f"route {shown(name)} has no 'match'; an empty one takes all"
            )
        else:
            match = self.match(matches[0])
            for more in matches[1:]:
                self.faults.add(
                    more.place,
                    "duplicate-node",
                    f"route {shown(name)} has a 'match' already; one takes lists, such as class=\"a,b\"",
                )
        place = matches[0].place if matches else item.place
        return Route(name, match, self.bounds(item), self.faults.place(item.place), self.faults.place(place))

    def match(self, item: Item) -> Match:
        self.form(
            item,
            0,
            ("class", "group", "object", "part", "zone", "retry", "write", "effect", "through", "multipart"),
        )
        return Match(
            classes=tuple(self.prop(item, "class", values.words) or ()),
            groups=self.ranges(item, "group", GROUPS),
            parts=self.ranges(item, "part", PARTS),
            objects=tuple(self.prop(item, "object", self.objects) or ()),
            zones=tuple(self.prop(item, "zone", values.words) or ()),
            retry=self.prop(item, "retry", values.flag),
            write=self.prop(item, "write", values.flag),
            effects=tuple(self.prop(item, "effect", self.effects) or ()),
            through=self.prop(item, "through", values.flag),
            multipart=self.prop(item, "multipart", values.flag),
        )

    def ranges(self, item: Item, key: str, whole: Range) -> tuple[Range, ...]:
        def read(raw: Value) -> tuple[Range, ...]:
            if isinstance(raw, int) and not isinstance(raw, bool):
                return (values.span(raw, whole),)
            return tuple(values.span(word, whole) for word in values.words(raw, "a range"))

        return self.prop(item, key, read) or ()

    @staticmethod
    def effects(raw: Value) -> list[str]:
        found = values.words(raw)
        for word in found:
            if word not in EFFECTS:
                raise Unusable(
                    "unknown-effect",
                    f"there is no effect {shown(word)}{instead(word, EFFECTS)}; "
                    f"there are {', '.join(EFFECTS)}",
                )
        return found

    @staticmethod
    def objects(raw: Value) -> list[str]:
        found = values.words(raw, "hex digits")
        for word in found:
            if not HEX.fullmatch(word):
                raise Unusable("bad-object", f"{shown(word)} is not 1 to 16 hex digits in lower case")
        return found

    # What bounds a request --------------------------------------------------------------------------------

    def bounds(self, item: Item) -> Bounds:
        """What the children of a route or of the defaults say."""
        said: dict[str, Any] = {}
        places = {}
        for child in item.children:
            if child.name not in PARTS_OF_BOUNDS:
                continue
            for key, value, place in getattr(self, f"read_{child.name}")(child):
                if value is not None:
                    said[key], places[key] = value, self.faults.place(place)
        return Bounds(**said, places=places)

    def read_timeout(self, item: Item) -> list[Said]:
        self.form(item, 1, ())

        def read(raw: Value) -> Wait:
            part = values.share(raw)
            return Wait(ns=values.duration(raw, "a wait")) if part is None else Wait(share=part)

        return [("timeout", self.argument(item, read, 'a wait, as in timeout "2.5s"'), item.place)]

    def moment(self, item: Item, key: str, need: str) -> Moment | None:
        """A duration or a quantile under ``key``, with ``least`` and ``most``."""

        def read(raw: Value) -> Moment:
            part = values.quantile(raw)
            return Moment(ns=values.duration(raw, "a moment")) if part is None else Moment(quantile=part)

        found: Moment | None = self.prop(item, key, read, need)
        least = self.prop(item, "least", values.duration)
        most = self.prop(item, "most", values.duration) if key != "after" else None  # there it counts copies
        if found is None:
            return None
        if found.ns:
            for k in ("least", "most"):
                if k in item.props and not (key == "after" and k == "most"):
                    self.faults.add(
                        item.props[k].key_place,
                        "unknown-key",
                        f"{k!r} goes with a quantile, and {key!r} is a duration",
                    )
            return found
        if least and most and least > most:
            self.faults.add(
                item.props["least"].place, "least-over-most", f"{item.name}: 'least' is over 'most'"
            )
            return None
        return Moment(quantile=found.quantile, least_ns=least or 0, most_ns=most or 0)

    def read_attempt(self, item: Item) -> list[Said]:
        self.form(item, 0, ("timeout", "least", "most"))
        moment = self.moment(item, "timeout", 'a time, as in attempt timeout="800ms"')
        return [("attempt", moment, item.place)]

    def read_attempts(self, item: Item) -> list[Said]:
        self.form(item, 0, ("most", "on", "budget"))
        most = self.prop(item, "most", lambda v: values.count(v, 1, COUNT_MOST))
        on, budget = self.prop(item, "on", self.outcomes), self.use(item)
        return [
            ("attempts", most, self.at(item, "most")),
            ("on", on, self.at(item, "on")),
            ("budget", budget, self.at(item, "budget")),
        ]

    def read_moves(self, item: Item) -> list[Said]:
        self.form(item, 0, ("most",))
        most = self.prop(item, "most", lambda v: values.count(v, 0, COUNT_MOST), "a count, as in most=3")
        return [("moves", most, self.at(item, "most"))]

    def read_backoff(self, item: Item) -> list[Said]:
        self.form(item, 0, ("first", "most", "jitter"))

        def jitter(raw: Value) -> bool:
            if raw not in ("full", "none"):
                raise Unusable("unknown-word", f'jitter is "full" or "none", not {shown(raw)}')
            return raw == "full"

        first = self.prop(item, "first", values.duration, 'a first wait, as in first="20ms"')
        most = self.prop(item, "most", values.duration)
        drawn = self.prop(item, "jitter", jitter)
        if first is None:
            return []
        if most is not None and first > most:
            self.faults.add(item.props["first"].place, "least-over-most", "backoff: 'first' is over 'most'")
            return []
        return [("backoff", Backoff(first, most or first, bool(drawn)), item.place)]

    def read_copies(self, item: Item) -> list[Said]:
        self.form(item, 0, ("most", "after", "least", "budget"))
        most = self.prop(item, "most", lambda v: values.count(v, 0, COUNT_MOST), "a count, as in most=1")
        if most == 0:
            return [("copies", Copies(0, Moment(ns=1)), item.place)]
        after = self.moment(item, "after", 'a time, as in after="p95"')
        budget = self.use(item)
        return [("copies", Copies(most, after, budget) if most and after else None, item.place)]

    def read_limit(self, item: Item) -> list[Said]:
        self.form(item, 0, ("open",))
        read = lambda v: values.count(v, 1, OPEN_MOST)  # noqa: E731
        return [("open", self.prop(item, "open", read, "a count, as in open=400"), item.place)]

    def read_pause(self, item: Item) -> list[Said]:
        self.form(item, 1, ())
        return [("pause_ns", self.argument(item, values.duration, 'a time, as in pause "300ms"'), item.place)]

    @staticmethod
    def at(item: Item, key: str) -> int:
        prop: Property | None = item.props.get(key)
        return prop.place if prop else item.place

    @staticmethod
    def outcomes(raw: Value) -> frozenset[str]:
        found = values.words(raw)
        for word in found:
            if word in NOT_RUN:
                raise Unusable(
                    "unknown-outcome",
                    f"{shown(word)} proves that nothing ran; 'moves' bounds what follows it",
                )
            if word not in OUTCOMES:
                raise Unusable("unknown-outcome", f"{shown(word)} is no outcome{instead(word, OUTCOMES)}")
        return frozenset(found)

    def use(self, item: Item) -> str | None:
        """A budget that is named."""

        def read(raw: Value) -> str:
            return values.text_of(raw, "a name")

        found: str | None = self.prop(item, "budget", read)
        if found is not None:
            self.uses.append((found, item.props["budget"].place))
        return found

    def names_agree(self, file: File) -> None:
        """Budgets that are used exist, and those that exist are used."""
        known = [budget.name for budget in file.budgets]
        for name, place in self.uses:
            if name not in known:
                self.faults.add(
                    place, "unknown-budget", f"there is no budget {shown(name)}{instead(name, known)}"
                )
        used = {name for name, _ in self.uses}
        for budget in file.budgets:
            if budget.name and budget.name not in used:
                self.faults.add(
                    budget.place,
                    "unused-budget",
                    f"nobody uses budget {shown(budget.name)}; "
                    "name it at 'attempts' or 'copies', or take it out",
                )
