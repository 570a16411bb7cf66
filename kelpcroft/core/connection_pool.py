"""Connections to servers as the reducer keeps them: which stand, and what is out on each."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpcroft.core.inputs import EndpointRecord
from kelpcroft.decision.statistics import mix64

ATTEMPTS_BEFORE_NEW_CONNECTION = 8  # attempts that one connection carries, before one more is opened
MAX_CONNECTIONS_PER_SERVER = 8  # connections to one server, before they carry more
REFUSAL_BACKOFF_NS = (
    100_000_000  # a server without a place is dialled again after so long, doubling with each ...
)
MAX_REFUSAL_BACKOFF_NS = 6_400_000_000  # ... refusal in a row up to this, half more or less by chance


@dataclass(slots=True)
class PooledConnection:
    """One connection to a server.  Ids on it are the clients' trace ids, or a probe's own."""

    number: int
    server: str
    up: bool = False
    waiting: dict[str, int] = field(default_factory=dict)  # not written, as it does not stand yet
    out: dict[str, int] = field(default_factory=dict)  # written and unanswered
    spent: dict[str, int] = field(default_factory=dict)  # ids that ended without a final answer, and when
    heard_ns: int = 0  # last answer
    idle_ns: int = 0  # when it last had something out
    shunned: bool = False  # takes nothing new; closed once empty
    asked_ns: int = 0  # when it was last asked whether it answers at all
    watched: bool = False  # a wake-up looks whether it has gone quiet
    alone: bool = False  # carries one that must not fail with others
    has_partial_response: bool = False  # part of an answer has come

    def load(self) -> int:
        """Attempts that it carries."""
        return len(self.waiting) + len(self.out)

    def takes(self, id: str, most: int, alone: bool) -> bool:
        """Whether one more may go out here.  An id that was given up or answered here must not be used here
        again: an answer that crossed the KILL, or a second copy, would be taken for the second attempt's.  On
        one that is idle with half an answer, nothing goes out: the rest may never come."""
        load = self.load()
        return (
            not self.shunned
            and load < most
            and not (load and (alone or self.alone))
            and not (self.has_partial_response and not load)
            and id not in self.waiting
            and id not in self.out
            and id not in self.spent
        )


class ConnectionPool:
    """All connections to servers, by number and by server."""

    def __init__(self, most: int, streams: int, seed: int = 0) -> None:
        """``seed``: the router's own, so that no two of them dial again in step."""
        self.most, self.streams, self.seed = most, streams, seed
        self.full: dict[str, tuple[int, int]] = {}  # servers without a place: until when, and the last wait
        self.by_number: dict[int, PooledConnection] = {}
        self.by_server: dict[str, list[PooledConnection]] = {}
        self.made = 0

    def record_refusal(self, server: str, now: int) -> None:
        """A server that answers on other connections has refused one more: its places are taken."""
        _, last = self.full.get(server, (0, 0))
        wait = min(2 * last, MAX_REFUSAL_BACKOFF_NS) if last else REFUSAL_BACKOFF_NS
        chance = mix64(self.seed ^ mix64(self.made)) / 2**64
        self.full[server] = now + int(wait * (0.5 + chance)), wait

    def may_connect(self, server: str, now: int) -> bool:
        """Whether one more connection may be dialled there."""
        return now >= self.full.get(server, (0, 0))[0]

    def find(self, server: str, id: str, exclusive: bool = False, now: int = 0) -> PooledConnection | None:
        """A connection with room: one that stands before one that is being opened, the fullest first, so that
        few are open and the rest fall idle.  None where one more is to be opened.

        Few attempts share one: an answer that cannot be read fails all that are out on its connection."""
        best = full = None
        links = self.by_server.get(server, ())
        for link in links:
            if not link.takes(id, self.streams, exclusive):
                continue
            if link.load() >= ATTEMPTS_BEFORE_NEW_CONNECTION:
                if full is None or link.load() < full.load():
                    full = link
            elif best is None or (link.up, link.load()) > (best.up, best.load()):
                best = link
        more = (
            len(links) < MAX_CONNECTIONS_PER_SERVER
            and len(self.by_number) < self.most
            and self.may_connect(server, now)
        )
        return best if best or more else full

    def add(self, endpoint: EndpointRecord) -> PooledConnection | None:
        """A new one, to be opened; None when there are too many."""
        if len(self.by_number) >= self.most:
            return None
        self.made += 1
        link = self.by_number[self.made] = PooledConnection(self.made, endpoint.name)
        self.by_server.setdefault(endpoint.name, []).append(link)
        return link

    def remove(self, number: int) -> PooledConnection | None:
        """One that has ended."""
        link = self.by_number.pop(number, None)
        if link:
            rest = self.by_server[link.server]
            rest.remove(link)
            if not rest:
                del self.by_server[link.server]
        return link
