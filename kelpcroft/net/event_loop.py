"""The one loop: sockets, wake-ups, and the carrying out of what the reducer asks for."""

from __future__ import annotations

import errno
import heapq
import os
import selectors
import signal
import socket
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

from kelpcroft.config import Config
from kelpcroft.core import effects, inputs, messages
from kelpcroft.core.descriptors import allocate_descriptors
from kelpcroft.core.reducer import SHUTDOWN_LAST_STEP, Reducer
from kelpcroft.decision.interface import Settings
from kelpcroft.discovery.watch_timeouts import is_overdue
from kelpcroft.log import EventLog
from kelpcroft.net import (
    client_codec as client_codec,
)
from kelpcroft.net import (
    control_codec as control_codec,
)
from kelpcroft.net import (
    listeners,
)
from kelpcroft.net import (
    predecessor_files as predecessor_files,
)
from kelpcroft.net import (
    server_codec as server_codec,
)
from kelpcroft.net.buffers import BUFFER_BYTES, BufferPool
from kelpcroft.net.clock import Clock
from kelpcroft.net.connections import (
    ClientConnection,
    Connection,
    ControlConnection,
    FeedConnection,
    ServerConnection,
)
from kelpcroft.net.feed_codec import FeedError, encode_poll
from kelpcroft.net.memory import peak_kb

SECOND = 1_000_000_000
MAX_READS_PER_TURN = 2  # buffers read from one connection before the others have their turn
RESTED_NS = 20_000_000  # a server's connection is looked at before a write after so long a rest
MAX_ACCEPTS_PER_TURN = 64  # connections accepted before the others have their turn
MAX_UNREAD_BYTES_PER_CLIENT = 512 * 1024  # a client with so much unread sends nothing more until it has read
RULES_NS = 3_000_000  # the operator's file is read for so long in one turn
CLIENT_REQUESTS_TURN_NS = 20_000_000  # new requests are taken for so long in one turn
LONG_TURN_FLUSH_INTERVAL_NS = (
    25_000_000  # in a long turn, what is decided goes out and leavers are heard so often
)
GONE_NS = 50_000_000  # what waited so long unread may be from a client that has left: read to the end
WAITED_NS = 1_000_000  # from so much on, what a request waited here is taken off its patience
UNTAKEN_MOST = 64  # messages of one client that are read and not taken, before it is read on
SILENT_CLIENT_TIMEOUT_NS = (
    2 * SECOND
)  # a client has so long to say something, and for each message that it has begun
IDLE_CLIENT_TIMEOUT_NS = (
    5 * SECOND
)  # one with nothing open goes after so long; usual ones go by themselves after 4 s
SPARED_NS = SECOND // 10  # when clients are too many, one that was heard so lately does not go for another
PARTIAL_RESPONSE_TIMEOUT_NS = SECOND // 5  # the rest of a server's answer follows sooner, or does not come
CLEAN_NS = SECOND // 10  # between looks at silent, idle, stalled and stuck connections
MAX_MALFORMED_LOGS_PER_SWEEP = 2  # lines about bad clients between such looks: they come in hundreds
WRITE_STALL_TIMEOUT_NS = 10 * SECOND  # a connection that takes nothing for so long is closed
EMPTY = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # nothing is left to make a socket of
DOWN = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT)
POOL_SHARE = 3  # pooled buffers may take one part in so many of the memory
STALL_NS = SECOND // 4  # a look that comes so late: the machine or the process stood still
BLIND_NS = SECOND // 25  # after that the feed has so long to tell what is new, before all else
BLIND_EVERY_NS = SECOND  # between two such waits
LINGERING_CLOSE_TIMEOUT_NS = SECOND  # a client whose connection we have ended ends it by then ...
LINGERING_CLOSE_MAX_BYTES = 1 << 20  # ... and sends so much at the most that is read and thrown away
SHUTDOWN_DRAIN_TIMEOUT_NS = SECOND  # at the end, requests that wait unread put it off so long at most
SHUTDOWN_LINGER_NS = SECOND // 5  # at the end, for clients to read what was written
CALLER_NS = 5 * SECOND  # a caller has so long for its call and to read the answer
NEW_NS = SECOND  # in a drain, a client that has said nothing is let go after so long


class EventLoop:
    """Owns every socket.  Inputs go to the reducer, its effects are carried out here."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        reload: Callable[[], inputs.ConfigFileRead] | None = None,
        rules: Callable[[Settings], Iterator[inputs.OperatorFileRead | None]] | None = None,
        events: EventLog | None = None,
    ) -> None:
        self.config, self.clock = config, clock
        self.reload = reload or (lambda: inputs.ConfigFileRead("", None, "there is no file"))
        self.rules = rules  # reads the operator's file in steps
        self.reading: Iterator[inputs.OperatorFileRead | None] | None = None
        self.events = events or EventLog(config.name)
        self.feed_address = config.feed_address
        self.reducer = Reducer(config)
        self.selector = selectors.DefaultSelector()
        self.pool = BufferPool(
            config.memory_mb * 1024 * 1024 // POOL_SHARE // BUFFER_BYTES
        )  # of unwritten bytes
        self.scratch = bytearray(BUFFER_BYTES)  # what is read, one connection at a time
        self.clients: dict[int, ClientConnection] = {}
        self.parting: dict[int, ClientConnection] = {}  # being ended, longest first
        self.servers: dict[int, ServerConnection] = {}
        self.feed: FeedConnection | None = None
        self.shares = allocate_descriptors(config.max_descriptors)
        self.listener: socket.socket | None = None
        self.heeded: set[socket.socket] = set()  # listening sockets that are watched
        self.mgmt: socket.socket | None = None  # the control address
        self.callers: dict[int, ControlConnection] = {}
        self.releasing = False  # clients go once nothing is owed them
        self.made = 0
        self.timers: list[tuple[int, int, messages.TimerKey]] = []
        self.dirty: dict[Connection, None] = {}
        self.lost: list[tuple[Connection, str]] = []
        self.hung: list[tuple[ClientConnection, str]] = []  # to be let go, by the reducer's word
        self.undialled: list[
            inputs.ServerConnectionLost | inputs.WatchFailed
        ] = []  # connections that could not even be begun
        self.is_stopping = False
        self.untaken: dict[ClientConnection, None] = {}  # clients with something read and not told
        self.paced_ns = 0  # when leavers were last heard
        self.unheard_ns = 0  # the end is put off until then at most, for requests that wait unread
        self.cleaned_ns = self.complaints = 0
        self.last_select_ns = clock.now()
        self.stalled_ns = 0  # when it was last seen to have stood still
        self.blind_ns = 0  # until then nothing but the feed is read: the list is as old as a stall
        self.waited_ns = 0  # the longest that what is being read from a client may have waited
        self.exposed = self.identified = False  # calls for the state are taken; what it is has been told
        self.signals: int | None = None  # the reading end of the pipe that signals write to

    # Start and end ----------------------------------------------------------------------------------------

    def run(
        self,
        signals: int | None = None,
        first: inputs.OperatorFileRead | None = None,
        listener: socket.socket | None = None,
        mgmt: socket.socket | None = None,
        handed: inputs.PredecessorState | None = None,
        gentle_ns: int = 0,
    ) -> None:
        """Serve until the reducer asks for the end, by the rules that are first given, on a listening socket
        that is handed over or else bound here to the address of the configuration; calls on the control
        address come on ``mgmt``, bound here where the configuration names one and none is given.  The first
        call of the list waits ``gentle_ns`` more, where the router starts again and again."""
        self.start(signals, first, listener, mgmt, handed, gentle_ns)
        while not self.is_stopping:
            self.run_turn()
        self.flush_and_close()

    def start(
        self,
        signals: int | None = None,
        first: inputs.OperatorFileRead | None = None,
        listener: socket.socket | None = None,
        mgmt: socket.socket | None = None,
        handed: inputs.PredecessorState | None = None,
        gentle_ns: int = 0,
    ) -> None:
        """All of ``run`` before its first turn."""
        self.signals = signals
        if signals is not None:
            self.selector.register(signals, selectors.EVENT_READ, None)
        file = first.file if first is not None else None
        begin, replicas = (file.start_options, file.control_replicas) if file is not None else (None, None)
        self.perform_effects(self.reducer.start(self.clock.now(), begin, gentle_ns, replicas))
        if handed is not None:
            self.handle_input(handed)
        if mgmt is None and self.config.control_address is not None:
            mgmt = listeners.bind_listener("mgmt", self.config.control_address)
        if mgmt is not None:
            self.mgmt = mgmt
            self.heed(mgmt, True)
            at = listeners.listening_address(mgmt)
            self.log("control.listens", f"control address on {at}", {"at": at})
        self.listen(listener)
        if first is not None:
            self.handle_input(first)
        self.handle_input(inputs.ListenersReady())
        self.last_select_ns = self.clock.now()

    def listen(self, listener: socket.socket | None) -> None:
        """Take clients on the socket handed over, or at the one address that was named."""
        self.listener = listener or listeners.bind_listener("listen", self.config.listen_address)
        self.heed(self.listener, True)
        at, how = (
            listeners.listening_address(self.listener),
            "bound" if self.config.inherited_listener_fd is None else "inherited",
        )
        self.log("router.listens", f"{self.config.name} listens on {at} ({how})", {"at": at, "socket": how})

    def heed(self, listener: socket.socket | None, on: bool) -> None:
        """Watch a listening socket or leave it alone: one that has callers and cannot accept is ready in
        every turn, and the loop would spin on it.  ``clean`` tries it again."""
        if listener is None or on == (listener in self.heeded):
            return
        if on:
            self.heeded.add(listener)
            self.selector.register(listener, selectors.EVENT_READ, None)
        else:
            self.heeded.discard(listener)
            self.selector.unregister(listener)

    def flush_and_close(self) -> None:
        """Flush, then let clients read to the end: a close with input unread would reset the connection.
        What comes after this is thrown away: nothing of it is sent on."""
        for client in self.clients.values():
            try:
                client.backlog.write(client.sock)
                client.sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass
        until = self.clock.now() + SHUTDOWN_LINGER_NS
        while (self.clients or self.parting) and self.clock.now() < until:
            for key, _ in self.selector.select((until - self.clock.now()) / SECOND):
                if isinstance(key.data, ClientConnection):
                    try:
                        ended = not key.data.sock.recv(BUFFER_BYTES)
                    except BlockingIOError:
                        ended = False
                    except OSError:
                        ended = True
                    if ended:
                        self.close(key.data)
                else:
                    self.selector.unregister(key.fileobj)

    # One turn ---------------------------------------------------------------------------------------------

    def run_turn(self) -> None:
        """Wait, read, let what is due come due, write."""
        now = self.clock.now()
        wait = max(0, self.timers[0][0] - now) / SECOND if self.timers else 1.0
        if self.reading is not None:
            self.read_on(now + RULES_NS)
            wait = 0.0
        if self.blind_ns:
            wait = min(wait, BLIND_NS / SECOND / 8)
        if self.untaken:
            wait = 0.0
        ready = self.selector.select(min(wait, 1.0))
        before, self.last_select_ns = self.last_select_ns, self.clock.now()
        if now - before > STALL_NS or self.last_select_ns - now - int(min(wait, 1.0) * SECOND) > STALL_NS:
            self.look_first()
        turns: tuple[list[tuple[Connection, int]], ...] = ([], [], [])
        for key, events in ready:
            peer = key.data
            if peer is not None:
                turns[peer.order].append((peer, events))
            elif key.fileobj is self.listener:
                self.accept()
            elif key.fileobj is self.mgmt:
                self.accept_callers()
            elif self.signals is not None:
                try:
                    self.handle_signals(os.read(self.signals, BUFFER_BYTES))
                except BlockingIOError:
                    pass
        # News of the list and of purges before answers, answers before new requests.
        for peer, events in turns[0]:
            self.serve(peer, events)
        if self.blind_ns > self.clock.now():
            for peer, _ in turns[2]:
                peer.unread_since_ns = peer.unread_since_ns or before
            self.flush()
            return
        self.blind_ns = 0
        # Who has left is heard before anything that could be sent for them.
        self.paced_ns = self.clock.now()
        self.hear_leavers(turns[2], before)
        for peer, events in turns[1]:
            self.serve(peer, events)
            self.pace()
        self.take_requests(turns[2], before)
        now = self.clock.now()
        while self.timers and self.timers[0][0] <= now and not self.is_stopping:
            due = heapq.heappop(self.timers)[2]
            if due[0] is messages.TimerKind.SHUTDOWN and due[1] == SHUTDOWN_LAST_STEP and self.unheard(now):
                self.made += 1  # no two entries of the heap may be compared by their keys
                heapq.heappush(self.timers, (now + SHUTDOWN_DRAIN_TIMEOUT_NS // 100, self.made, due))
            else:
                self.handle_input(inputs.TimerFired(due))
                self.pace()
        feed = self.feed
        if feed and feed.waits and is_overdue(now, feed.polled_ns, feed.heard_ns, feed.wait_ns, feed.late_ns):
            self.lose(feed, "no answer in time")
        if now - self.cleaned_ns > CLEAN_NS:
            self.clean(now)
        self.flush()

    def unheard(self, now: int) -> bool:
        """Whether a request waits unread while nothing else keeps the process: it has been taken, and gets
        its answer before the end."""
        if not self.reducer.is_shutting_down or self.reducer.state.requests:
            return False
        self.unheard_ns = self.unheard_ns or now + SHUTDOWN_DRAIN_TIMEOUT_NS
        return now < self.unheard_ns and (bool(self.untaken) or any(map(self.unread, self.clients.values())))

    def look_first(self) -> None:
        """The process stood still: what the feed has told meanwhile counts as told, and what it answered was
        asked before.  So it is asked anew, with no wait, and nothing else is read, sent or let come due until
        it answers, or for BLIND_NS."""
        now = self.clock.now()
        if now - self.stalled_ns < BLIND_EVERY_NS or self.feed is None or not self.feed.waits:
            return
        self.stalled_ns, self.blind_ns = now, now + BLIND_NS
        self.close(self.feed)  # the call that is out on it waits for news, and its answer is from before
        self.handle_input(inputs.ProcessStalled())

    def handle_signals(self, numbers: bytes) -> None:
        """SIGHUP has the configuration read again, the others end the program."""
        if signal.SIGHUP in numbers:
            self.handle_input(self.reload())
            # Checked against the classes now in use: those of a configuration just read are among them.
            self.reading = self.rules(self.reducer.state.settings) if self.rules else None
        if any(number != signal.SIGHUP for number in numbers):
            self.handle_input(inputs.ShutdownRequested())

    def read_on(self, until: int) -> None:
        """A few steps of the operator's file: a large one takes a second, in which drains and purges come."""
        for rules in self.reading or ():
            if rules is not None:
                self.reading = None
                self.handle_input(rules)
                return
            if self.clock.now() > until:
                return

    def serve(self, peer: Connection, events: int) -> None:
        """What the selector said of one connection, unless what came before it has closed it."""
        if events & selectors.EVENT_WRITE and peer.sock.fileno() >= 0:
            self.writable(peer)
        if events & selectors.EVENT_READ and peer.sock.fileno() >= 0:
            self.read(peer)

    def hear_leavers(self, ready: list[tuple[Connection, int]], before: int) -> None:
        """Read clients that have something open, before anything is sent for them: a close or a cancel counts
        at once, requests wait for ``take_requests``.  Closes used to wait behind answers, time-outs and
        others' requests, and a router short of CPU went on for clients that were long gone."""
        for at, (peer, events) in enumerate(ready):
            if (
                isinstance(peer, ClientConnection)
                and events & selectors.EVENT_READ
                and peer.sock.fileno() >= 0
                and peer.number in self.reducer.state.requests_by_client
                and len(peer.pending_messages) < UNTAKEN_MOST
            ):
                self.waited_ns = self.clock.now() - (peer.unread_since_ns or before)
                peer.unread_since_ns = 0
                self.read(peer)
                ready[at] = peer, events & ~selectors.EVENT_READ

    def pace(self) -> None:
        """Within a long turn: what is decided goes out, and who has left meanwhile is heard."""
        now = self.clock.now()
        if now - self.paced_ns < LONG_TURN_FLUSH_INTERVAL_NS:
            return
        self.flush()
        looked = self.selector.select(0)
        clients = [found for found in looked if isinstance(found[0].data, ClientConnection)]
        self.hear_leavers([(key.data, events) for key, events in clients], self.paced_ns)
        self.paced_ns = now

    def take_requests(self, ready: list[tuple[Connection, int]], before: int) -> None:
        """New requests, for a bounded time: the rest wait where they are, so that a router short of CPU still
        hears the feed and passes answers on.  What has waited may have come since the last look before."""
        until = self.last_select_ns + CLIENT_REQUESTS_TURN_NS
        left = [(peer, 0) for peer in self.untaken]
        for at, (peer, events) in enumerate(left + ready):
            if events and not peer.unread_since_ns:
                peer.unread_since_ns = before
            if self.clock.now() > until:
                for rest, waits in ready[max(0, at + 1 - len(left)) :]:
                    rest.unread_since_ns = rest.unread_since_ns or (before if waits else 0)
                return
            if events:
                self.waited_ns = self.clock.now() - peer.unread_since_ns
                peer.unread_since_ns = 0
                self.serve(peer, events)
            if isinstance(peer, ClientConnection):
                self.take(peer)
            self.pace()

    def take(self, client: ClientConnection) -> None:
        """Tell what a client has sent, in its order."""
        while client.pending_messages and not client.is_closing:
            read_ns, message = client.pending_messages.popleft()
            waited = self.clock.now() - read_ns
            if waited > WAITED_NS and isinstance(message, inputs.ClientRequest):
                message = replace(
                    message,
                    remaining_time_ns=message.remaining_time_ns - waited,
                    queued_ns=message.queued_ns + waited,
                )
            self.handle_input(message)
        client.pending_messages.clear()
        self.untaken.pop(client, None)

    def flush(self) -> None:
        """Write what this turn asked for; a failed write is an input, and may ask for more."""
        while self.dirty or self.lost or self.hung or self.undialled:
            dirty, self.dirty = self.dirty, {}
            for peer in dirty:
                if (
                    isinstance(peer, ServerConnection)
                    and peer.unsent_attempts
                    and peer.is_connected
                    and peer.sock.fileno() >= 0
                ):
                    # One that rested may have been ended by its server since the selector was asked.
                    if self.clock.now() - max(peer.read_ns, peer.moved_ns) > RESTED_NS:
                        self.read(peer)
                if peer.is_connected and peer.sock.fileno() >= 0:
                    self.write(peer)
            lost, self.lost = self.lost, []
            for peer, why in lost:
                self.lose(peer, why)
            hung, self.hung = self.hung, []
            for client, why in hung:
                self.part(client, why)
            undialled, self.undialled = self.undialled, []
            for message in undialled:
                self.handle_input(message)

    def handle_input(self, message: inputs.Input) -> None:
        """One input to the reducer, and what it asks for."""
        self.perform_effects(self.reducer.handle(self.clock.now(), message))

    # Effects ----------------------------------------------------------------------------------------------

    def perform_effects(self, effect_list: list[effects.Effect]) -> None:
        for e in effect_list:
            if isinstance(e, effects.ScheduleTimer):
                self.made += 1
                heapq.heappush(self.timers, (e.at_ns, self.made, e.key))
            elif isinstance(e, effects.SendResponse):
                self.answer(e.client, client_codec.encode_response(e.request_number, e.body, e.not_modified))
            elif isinstance(e, effects.SendAttempt):
                self.send(e.connection, server_codec.encode_attempt(e), e.attempt_id)
            elif isinstance(e, effects.CancelAttempt):
                self.send(e.connection, server_codec.encode_cancel(e))
            elif isinstance(e, effects.RejectRequest):
                self.answer(e.client, (client_codec.encode_rejection(e.request_number, e.retry_after_ns),))
            elif isinstance(e, effects.FailRequest):
                self.answer(e.client, (client_codec.encode_failure(e.request_number),))
            elif isinstance(e, effects.SendHealth):
                self.answer(e.client, (client_codec.encode_health(e.request_number, e.is_ready),))
            elif isinstance(e, effects.OpenServerConnection):
                self.dial(e)
            elif isinstance(e, effects.CloseServerConnection):
                server = self.servers.get(e.connection)
                if server:
                    self.close(server)
            elif isinstance(e, effects.SendHealthCheck):
                self.send(e.connection, server_codec.encode_health_check(e))
            elif isinstance(e, effects.PollFeed):
                self.poll(e)
            elif isinstance(e, effects.SwitchFeed):
                self.feed_address = e.address
                if self.feed:
                    self.close(self.feed)
            elif isinstance(e, effects.CloseClient):
                client = self.clients.get(e.client)
                if client:
                    client.is_closing = True
                    self.hung.append((client, e.reason))
            elif isinstance(e, effects.LogEvent):
                self.events.write(self.clock.now(), e)
            elif isinstance(e, effects.ControlResponse):
                caller = self.callers.get(e.caller)
                if caller:
                    fields = e.fields
                    if "instance" in fields:
                        fields = {**fields, "memory_kb": peak_kb()}
                    self.reply(caller, control_codec.reply(e.ok, fields, caller.codec.head_only))
            elif isinstance(e, effects.PersistServiceState):
                self.keep(e)
            elif isinstance(e, effects.ReadPredecessorState):
                left = predecessor_files.read_handover(self.config.state_dir, self.config.name)
                if left is not None and left.ended_at_ns:
                    self.handle_input(inputs.PredecessorEnded(left.ended_at_ns))
            elif isinstance(e, effects.SetStateEndpoint):
                self.expose(e.is_enabled)
            elif isinstance(e, effects.DrainClients):
                self.releasing = e.is_enabled
                for client in list(self.clients.values()):
                    self.let_go(client)
            elif isinstance(e, effects.StopAccepting):
                self.stop_accepting()
            else:
                self.flush()
                self.is_stopping = True

    def answer(self, number: int, pieces: tuple[messages.Body, ...]) -> None:
        client = self.clients.get(number)
        if client:
            client.backlog.add(pieces)
            self.dirty[client] = None

    def send(self, number: int, pieces: list[messages.Body], id: str = "") -> None:
        """Bytes for a server; with ``id`` they are an attempt."""
        server = self.servers.get(number)
        if server:
            server.backlog.add(pieces)
            server.put += sum(map(len, pieces))
            if id:
                server.unsent_attempts.append((server.put, id))
            self.dirty[server] = None

    def connect(self, address: tuple[str, int]) -> socket.socket:
        """A connection under way.  OSError where even that cannot be had."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            # The shares were reckoned from a limit that no longer holds: one that rests goes for it.
            if error.errno not in EMPTY or not self.free_one():
                raise
            sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, errno.errorcode.get(code, "?"))
        return sock

    def dial(self, e: effects.OpenServerConnection) -> None:
        host, _, port = e.address.rpartition(":")
        now = self.clock.now()
        try:
            sock = self.connect((host, int(port)))
        except OSError as error:
            # Said once what asked for it is carried out.  Nothing was opened, so nothing is to be closed.
            self.undialled.append(inputs.ServerConnectionLost(e.connection, str(error)))
            return
        self.servers[e.connection] = ServerConnection(e.connection, sock, self.pool, now)
        self.watch(self.servers[e.connection], selectors.EVENT_WRITE)

    def poll(self, e: effects.PollFeed) -> None:
        now = self.clock.now()
        if self.feed is not None and self.feed.waits:
            return  # one poll at a time: a wake-up from before a move may ask for a second
        if self.feed is None:
            try:
                self.feed = FeedConnection(
                    self.connect(self.feed_address), self.pool, now, e.log_fingerprint is not None
                )
            except OSError as error:
                self.undialled.append(inputs.WatchFailed(str(error)))
                return
            self.watch(self.feed, selectors.EVENT_WRITE)
        feed = self.feed
        feed.polled_ns, feed.waits = now, True
        feed.wait_ns, feed.late_ns = e.wait_ms * 1_000_000, e.response_timeout_ns
        feed.backlog.add((encode_poll(self.feed_address, e.after_event, e.wait_ms, e.log_fingerprint),))
        self.dirty[feed] = None

    # Sockets ----------------------------------------------------------------------------------------------

    def watch(self, peer: Connection, events: int) -> None:
        """What the selector is to say of a connection."""
        if events == peer.interest:
            return
        if not peer.interest:
            self.selector.register(peer.sock, events, peer)
        elif events:
            self.selector.modify(peer.sock, events, peer)
        else:
            self.selector.unregister(peer.sock)
        peer.interest = events

    def wanted(self, peer: Connection) -> int:
        """Read, unless it is a client that does not read itself; write, where something waits."""
        waits = peer.backlog.size()
        return (
            0
            if isinstance(peer, ClientConnection) and waits > MAX_UNREAD_BYTES_PER_CLIENT
            else selectors.EVENT_READ
        ) | (selectors.EVENT_WRITE if waits else 0)

    def stop_accepting(self) -> None:
        """Close the listening socket.  Whoever waits on one of our own has connected: the close would reset
        them, so they are taken first.  On a shared one another process takes them."""
        if self.listener is None:
            return
        if self.config.inherited_listener_fd is None:
            for _ in range(listeners.BACKLOG // MAX_ACCEPTS_PER_TURN):
                if not self.accept():
                    break
        self.heed(self.listener, False)
        self.listener.close()
        self.listener = None

    def accept(self) -> bool:
        """Take clients that wait.  Whether more may wait."""
        assert self.listener
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if len(self.clients) >= self.shares.clients and not self.make_room():
                self.heed(self.listener, False)
                return False
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno in EMPTY and self.free_one():
                    continue
                self.not_accepted("accept", error)
                if error.errno in EMPTY:
                    self.heed(self.listener, False)
                    return False
                continue  # the one that waited has gone: the next may be well
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.made += 1
            client = self.clients[self.made] = ClientConnection(self.made, sock, self.pool, self.clock.now())
            self.watch(client, selectors.EVENT_READ)
            self.handle_input(inputs.ClientConnected(client.number))
        return True

    def not_accepted(self, what: str, error: OSError) -> None:
        self.log("accept.failed", f"{what}: {error}", {"why": str(error)}, "warning")

    def writable(self, peer: Connection) -> None:
        if not peer.is_connected:
            code = peer.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.lose(peer, errno.errorcode.get(code, str(code)), code in DOWN)
                return
            peer.is_connected = True
            if isinstance(peer, ServerConnection):
                self.handle_input(inputs.ServerConnected(peer.number))
        self.write(peer)

    def write(self, peer: Connection) -> None:
        before = peer.backlog.size()
        try:
            room = peer.backlog.write(peer.sock)
        except OSError as error:
            self.lost.append((peer, f"write: {error.strerror}"))
            return
        after = peer.backlog.size()
        if not after or after < before:
            peer.moved_ns = self.clock.now()
        if isinstance(peer, ServerConnection):
            while peer.unsent_attempts and peer.unsent_attempts[0][0] <= peer.backlog.sent_bytes:
                peer.unsent_attempts.popleft()
        if not room:
            self.lost.append((peer, "no buffers left for what it does not read"))
            return
        self.watch(peer, self.wanted(peer))
        if not after:
            if isinstance(peer, ControlConnection):
                self.ended(peer)
            elif isinstance(peer, ClientConnection):
                if peer.is_closing:
                    self.shut(peer)
                elif self.releasing:
                    self.let_go(peer)

    def read(self, peer: Connection) -> None:
        """A few buffers from one connection."""
        if isinstance(peer, ControlConnection):
            self.hear(peer)
            return
        if isinstance(peer, ClientConnection) and peer.is_closing:
            self.throw_away(peer)
            return
        # One buffer of the loop's own: codecs copy what they keep, so it is free again when this returns, and
        # clients that do not read, whose answers hold the pool, cannot keep anyone from being read.
        buffer = self.scratch
        try:
            for _ in range(MAX_READS_PER_TURN):
                got = peer.sock.recv_into(buffer)
                if not got:
                    self.lose(peer, "")
                    return
                self.take_in(peer, memoryview(buffer)[:got])
                waited = isinstance(peer, ClientConnection) and self.waited_ns > GONE_NS
                if got < BUFFER_BYTES and not waited or peer.sock.fileno() < 0:
                    return
        except BlockingIOError:
            pass
        except (client_codec.ClientProtocolError, FeedError) as error:
            if isinstance(peer, ClientConnection):
                self.part(peer, f"malformed: {error}")
            else:
                self.lose(peer, f"malformed: {error}")
        except OSError as error:
            self.lose(peer, error.strerror or str(error))

    def take_in(self, peer: Connection, data: memoryview) -> None:
        """Bytes to their codec, what it makes of them to the reducer."""
        if isinstance(peer, FeedConnection):
            peer.heard_ns = self.clock.now()
            try:
                found = peer.codec.receive_data(data)
            except FeedError:
                for news in peer.codec.completed:  # whole events before the fault
                    self.handle_input(news)
                raise
            for news in found:
                if not news.has_more:
                    peer.waits, self.blind_ns = False, 0
                    if not peer.codec.keeps_alive:
                        self.close(peer)
                self.handle_input(news)
        elif isinstance(peer, ServerConnection):
            peer.read_ns = self.clock.now()
            for answer in peer.codec.receive_data(data):
                self.handle_input(answer)
            if peer.codec.error:
                self.lose(peer, f"malformed: {peer.codec.error}")
            elif peer.has_partial_response != peer.codec.has_partial_message():
                peer.has_partial_response = not peer.has_partial_response
                self.handle_input(inputs.PartialResponse(peer.number, peer.has_partial_response))
        elif isinstance(peer, ClientConnection):
            message_list, now = peer.codec.receive_data(data, self.waited_ns), self.clock.now()
            if message_list:
                peer.has_sent_message, peer.last_message_ns, peer.partial_since_ns = True, now, 0
            if not peer.codec.has_partial_message():
                peer.partial_since_ns = 0
            elif not peer.partial_since_ns:
                peer.partial_since_ns = now
            for message in message_list:
                if isinstance(message, inputs.CancelRequest):
                    # One that was not told yet is never sent on, and nothing is owed.
                    kept = [
                        one
                        for one in peer.pending_messages
                        if one[1].request_number != message.request_number
                    ]
                    if len(kept) == len(peer.pending_messages):
                        self.handle_input(message)
                    peer.pending_messages = deque(kept)
                else:
                    peer.pending_messages.append((now, message))
                    self.untaken[peer] = None

    # The control address ------------------------------------------------------------------------------------

    def accept_callers(self) -> None:
        """Callers of the control address; past their bound the longest open goes for a new one."""
        assert self.mgmt
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, _ = self.mgmt.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # Callers go after CALLER_NS at the latest, each by itself: the oldest makes room at once.
                self.not_accepted("control accept", error)
                if error.errno not in EMPTY:
                    continue
                if self.callers:
                    self.close(min(self.callers.values(), key=lambda c: c.opened_ns))
                elif not self.free_one():
                    self.heed(self.mgmt, False)
                    return
                continue
            if len(self.callers) >= self.shares.control_callers:
                self.close(min(self.callers.values(), key=lambda c: c.opened_ns))
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # a close takes along what waits
            self.made += 1
            caller = ControlConnection(self.made, sock, self.pool, self.clock.now(), self.exposed)
            self.callers[self.made] = caller
            self.watch(caller, selectors.EVENT_READ)

    def expose(self, on: bool) -> None:
        """Calls for the state.  What this program is, is read once, when first asked for: nothing is read and
        nothing imported where no file switches it on."""
        self.exposed = on
        if on and not self.identified:
            from kelpcroft.store.identity import program_digest

            self.identified = True
            instance = f"{os.getpid()}-{self.clock.now():x}"
            self.handle_input(inputs.ProcessIdentity(program_digest(Path(__file__).parent.parent), instance))

    def hear(self, caller: ControlConnection) -> None:
        """What a caller sent: a whole call goes to the reducer; what is no call is answered here."""
        try:
            data = caller.sock.recv(control_codec.READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close(caller)
            return
        if not data:
            self.close(caller)
        elif not caller.answered:
            said = caller.codec.receive_data(data)
            if isinstance(said, inputs.ControlVerb):
                caller.answered = True
                self.handle_input(inputs.ControlRequest(caller.number, said))
            elif said is not None:
                self.reply(caller, said)

    def reply(self, caller: ControlConnection, answer: bytes) -> None:
        """Write the one answer; the connection ends once it is out."""
        caller.answered = True
        caller.backlog.add((answer,))
        self.dirty[caller] = None

    def ended(self, caller: ControlConnection) -> None:
        """The answer is out: no more is written, and the caller's close, or the time of callers, ends it."""
        try:
            caller.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(caller)

    def keep(self, e: effects.PersistServiceState) -> None:
        """The state of service for the router's next process: written whole, then put in place."""
        if not self.config.state_dir:
            return
        try:
            predecessor_files.write_handover(self.config.state_dir, self.config.name, self.clock.now(), e)
        except OSError as error:
            self.log(
                "handover.unwritten",
                f"state of service not left for the next process: {error}",
                {"why": str(error)},
                "warning",
            )

    # Draining ---------------------------------------------------------------------------------------------

    def let_go(self, client: ClientConnection) -> None:
        """In a drain, close a client's connection once nothing is owed on it, nothing of it is half read,
        and nothing waits unread in the socket: a request that crosses the close is sent again by the
        client, and goes to another router."""
        if (
            not self.releasing
            or client.is_closing
            or client.unread_since_ns
            or client.codec.has_partial_message()
        ):
            return
        if not client.has_sent_message and self.clock.now() - client.last_message_ns < NEW_NS:
            return  # new: its first request is on the way
        if self.spare(client) and not self.unread(client):  # else it is read soon, then let go
            self.part(client)

    def part(self, client: ClientConnection, why: str = "") -> None:
        """The one way to end a client's connection.  Nothing more is taken from it and what it has open is
        given up; what was answered is written, then our side ends, and then the client's, or its time is
        over.  Until then what it sends is read and thrown away: a close over unread bytes resets the
        connection, and an answer just written goes with it."""
        if client.number not in self.clients:
            return
        client.is_closing, client.parted_ns = True, self.clock.now()
        self.untaken.pop(client, None)
        self.parting[client.number] = self.clients.pop(client.number)
        self.heed(self.listener, True)
        if why and self.complaints < MAX_MALFORMED_LOGS_PER_SWEEP:
            self.complaints += 1
            self.log(
                "client.lost",
                f"client {client.number}: {why}",
                {"client": client.number, "why": why},
                "warning",
            )
        if len(self.parting) > self.shares.draining_clients:
            self.close(next(iter(self.parting.values())))
        self.shut(client)
        self.handle_input(inputs.ClientDisconnected(client.number))

    def shut(self, client: ClientConnection) -> None:
        """End our side of a leaving client's connection, once what was answered is written."""
        if not client.backlog.size() and client not in self.dirty and client.sock.fileno() >= 0:
            try:
                client.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close(client)

    def throw_away(self, client: ClientConnection) -> None:
        """Input of a client that is leaving."""
        try:
            for _ in range(MAX_READS_PER_TURN):
                got = client.sock.recv_into(self.scratch)
                client.thrown += got
                if not got:
                    self.lose(client, "")
                    return
                if client.thrown > LINGERING_CLOSE_MAX_BYTES:
                    self.close(client)
                    return
        except BlockingIOError:
            pass
        except OSError:
            self.lose(client, "")

    @staticmethod
    def unread(client: ClientConnection) -> bool:
        """Whether something that the client sent waits to be read."""
        try:
            return bool(client.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def lose(self, peer: Connection, why: str, down: bool = False) -> None:
        """A connection has ended: its socket goes, and the reducer hears of it."""
        if isinstance(peer, ClientConnection):
            if peer.number in self.clients:
                self.close(peer)
                if why and self.complaints < MAX_MALFORMED_LOGS_PER_SWEEP:
                    self.complaints += 1
                    self.log(
                        "client.lost",
                        f"client {peer.number}: {why}",
                        {"client": peer.number, "why": why},
                        "warning",
                    )
                self.handle_input(inputs.ClientDisconnected(peer.number))
            elif peer.number in self.parting:
                self.close(peer)
        elif isinstance(peer, ServerConnection) and peer.number in self.servers:
            unsent = frozenset(id for end, id in peer.unsent_attempts if end > peer.backlog.sent_bytes)
            self.close(peer)
            self.handle_input(
                inputs.ServerConnectionLost(peer.number, why or "closed by the server", down, unsent)
            )
        elif isinstance(peer, FeedConnection) and peer is self.feed:
            self.blind_ns = 0
            self.close(peer)
            self.handle_input(
                inputs.WatchFailed(why or "closed", peer.codec.retry_after_ns, peer.codec.body_bytes_read)
            )

    def close(self, peer: Connection) -> None:
        if peer.interest:
            self.watch(peer, 0)
        peer.backlog.clear()
        self.dirty.pop(peer, None)
        peer.sock.close()
        if isinstance(peer, ClientConnection):
            self.untaken.pop(peer, None)
            peer.pending_messages.clear()
            self.clients.pop(peer.number, None)
            self.parting.pop(peer.number, None)
            if len(self.clients) < self.shares.clients:
                self.heed(self.listener, True)
        elif isinstance(peer, ServerConnection):
            self.servers.pop(peer.number, None)
        elif isinstance(peer, ControlConnection):
            self.callers.pop(peer.number, None)
        elif peer is self.feed:
            self.feed = None

    def clean(self, now: int) -> None:
        """Connections that take nothing any more give their buffers back; clients that say nothing, or have
        nothing open for long, make room: some keep their connection for good, and would hold every place."""
        self.cleaned_ns, self.complaints = now, 0
        self.heed(self.listener, True)
        self.heed(self.mgmt, True)
        for caller in [c for c in self.callers.values() if now - c.opened_ns > CALLER_NS]:
            self.close(caller)
        for client in [c for c in self.parting.values() if now - c.parted_ns > LINGERING_CLOSE_TIMEOUT_NS]:
            self.close(client)
        if self.releasing:
            for client in list(self.clients.values()):
                self.let_go(client)
        for peer in [*self.clients.values(), *self.servers.values()]:
            if peer.backlog.size() and now - peer.moved_ns > WRITE_STALL_TIMEOUT_NS:
                self.lose(peer, "takes nothing any more")
            elif isinstance(peer, ServerConnection):
                if peer.codec.has_partial_message() and now - peer.read_ns > PARTIAL_RESPONSE_TIMEOUT_NS:
                    self.lose(peer, "an answer has stopped short")
            elif isinstance(peer, ClientConnection) and not peer.unread_since_ns:
                silent = peer.partial_since_ns or (0 if peer.has_sent_message else peer.last_message_ns)
                idle = now - peer.last_message_ns > IDLE_CLIENT_TIMEOUT_NS and self.spare(peer)
                if (silent and now - silent > SILENT_CLIENT_TIMEOUT_NS or idle) and not self.unread(peer):
                    self.part(peer)

    def spare(self, client: ClientConnection) -> bool:
        """Whether nothing is owed on a client's connection and nothing waits to be written."""
        waits = client.backlog.size() or client in self.dirty or client.pending_messages
        return not waits and client.number not in self.reducer.state.requests_by_client

    def make_room(self) -> bool:
        """One client goes for another: the longest silent that never asked, else the longest idle."""
        latest = self.clock.now() - SPARED_NS
        found = [
            c
            for c in self.clients.values()
            if c.last_message_ns < latest and not c.unread_since_ns and self.spare(c)
        ]
        for client in sorted(found, key=lambda c: (c.has_sent_message, c.last_message_ns)):
            if not self.unread(client):
                self.part(client)
                return True
        return False

    def free_one(self) -> bool:
        """A descriptor at once: of a client whose connection we have ended, else of one that rests."""
        if self.parting or self.make_room():
            for client in list(self.parting.values())[:1]:
                self.close(client)
            return True
        return False

    def log(self, event: str, text: str, fields: dict[str, object], level: str = "info") -> None:
        self.events.write(self.clock.now(), effects.LogEvent(event, text, level, fields))
