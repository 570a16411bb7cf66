"""The event loop: waits for sockets, and keeps the order of a turn.

What an event on a connection means stands in the module of its kind: ``client_connections``,
``server_connections``, ``feed_client`` and ``control_endpoint``; what they share in ``transport``.  Nothing
is decided here: inputs go to the reducer (``kelpcroft.core.reducer``), and its effects are carried out by the
handlers that ``EventLoop._effect_handlers`` lists.
"""

from __future__ import annotations

import heapq
import selectors
import socket
from collections.abc import Callable
from typing import Any, Final

from kelpcroft.config import Config
from kelpcroft.core import effects, inputs, messages
from kelpcroft.core.descriptors import allocate_descriptors
from kelpcroft.core.shutdown import SHUTDOWN_LAST_STEP
from kelpcroft.log import EventLog
from kelpcroft.net.buffers import BUFFER_BYTES
from kelpcroft.net.client_acceptor import ClientAcceptor
from kelpcroft.net.client_connections import ClientConnection, ClientConnections
from kelpcroft.net.client_responses import ClientResponses
from kelpcroft.net.clock import Clock
from kelpcroft.net.connector import Connector
from kelpcroft.net.control_endpoint import ControlEndpoint
from kelpcroft.net.feed_client import FEED_ONLY_NS, FeedClient
from kelpcroft.net.listeners import Listener
from kelpcroft.net.predecessor_files import PredecessorFiles
from kelpcroft.net.server_connections import ServerConnection, ServerConnections
from kelpcroft.net.signals import ReadConfig, ReadOperatorFile, Signals
from kelpcroft.net.transport import SECOND, Connection, Transport

MAX_WAIT_S: Final = 1.0  # one turn waits so long at most
CLIENT_REQUESTS_TURN_NS: Final = 20_000_000  # new requests are taken for so long in one turn
# In a long turn, what is decided is written and disconnects are read so often.
LONG_TURN_FLUSH_INTERVAL_NS: Final = 25_000_000
MAX_PENDING_MESSAGES: Final = 64  # a client with so many to dispatch is not read for a disconnect
SWEEP_INTERVAL_NS: Final = SECOND // 10  # between looks for silent, idle, stalled and stuck connections
STALL_NS: Final = SECOND // 4  # a turn that comes so late: the machine or the process stood still
SHUTDOWN_DRAIN_TIMEOUT_NS: Final = SECOND  # requests that wait unread put the end off by this at most
SHUTDOWN_RETRY_NS: Final = SHUTDOWN_DRAIN_TIMEOUT_NS // 100  # and the end is tried again so often
SHUTDOWN_LINGER_NS: Final = SECOND // 5  # at the end, for clients to read what was written

Timer = tuple[int, int, messages.TimerKey]  # when, a number of its own, what for: the order of the heap
ReadyConnection = tuple[Connection, int]  # and the selector's events


class ReadyConnections:
    """What the selector reported in one turn, by the order in which it is handled."""

    def __init__(self) -> None:
        self.control: list[ReadyConnection] = []  # the feed and callers of the control address
        self.servers: list[ReadyConnection] = []
        self.clients: list[ReadyConnection] = []

    def add(self, connection: Connection, events: int) -> None:
        """Sorts one connection in."""
        if isinstance(connection, ClientConnection):
            self.clients.append((connection, events))
        elif isinstance(connection, ServerConnection):
            self.servers.append((connection, events))
        else:
            self.control.append((connection, events))


class EventLoop:
    """One router's event loop, in one thread."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        reload: ReadConfig | None = None,
        rules: ReadOperatorFile | None = None,
        events: EventLog | None = None,
    ) -> None:
        """Builds the loop; nothing is opened before ``start``.

        Args:
            config: the router's configuration.
            clock: the time.
            reload: reads the configuration file again (SIGHUP).
            rules: reads the operator's file again in steps, None for each but the last.
            events: the log; standard error by default.
        """
        self.clock = clock
        self.transport = Transport(config, clock, events or EventLog(config.name))
        self.reducer = self.transport.reducer
        budget = allocate_descriptors(config.max_descriptors)
        listener = Listener(self.transport)
        self.clients = ClientConnections(self.transport, listener, budget.clients, budget.draining_clients)
        self.acceptor = ClientAcceptor(self.transport, listener, self.clients)
        connector = Connector(self.acceptor)
        self.servers = ServerConnections(self.transport, connector)
        self.feed = FeedClient(self.transport, connector)
        self.control = ControlEndpoint(self.transport, self.acceptor, budget.control_callers)
        self.predecessor = PredecessorFiles(self.transport)
        self.signals = Signals(self.transport, reload, rules)
        self.transport.effect_handlers = self._effect_handlers()
        self.timers: list[Timer] = []  # a heap
        self.is_stopping = False
        self.last_flush_ns = 0  # in this turn, when disconnects were last read
        self.shutdown_put_off_until_ns = 0  # at most, for requests that wait unread
        self.last_sweep_ns = 0
        self.last_select_ns = clock.now()

    def _effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Who carries out which effect of the reducer."""
        responses = ClientResponses(self.clients)
        return {
            effects.ScheduleTimer: self.schedule_timer,
            effects.SendResponse: responses.send_response,
            effects.RejectRequest: responses.reject_request,
            effects.FailRequest: responses.fail_request,
            effects.SendHealth: responses.send_health,
            effects.CloseClient: self.clients.close_client,
            effects.DrainClients: self.clients.drain,
            effects.StopAccepting: self.acceptor.stop_accepting,
            effects.OpenServerConnection: self.servers.open_connection,
            effects.CloseServerConnection: self.servers.close_connection,
            effects.SendAttempt: self.servers.send_attempt,
            effects.CancelAttempt: self.servers.cancel_attempt,
            effects.SendHealthCheck: self.servers.send_health_check,
            effects.PollFeed: self.feed.poll,
            effects.SwitchFeed: self.feed.switch_feed,
            effects.ControlResponse: self.control.respond,
            effects.SetStateEndpoint: self.control.set_state_endpoint,
            effects.PersistServiceState: self.predecessor.persist_service_state,
            effects.ReadPredecessorState: self.predecessor.read_predecessor_state,
            effects.LogEvent: self.transport.write_log_event,
            effects.Exit: self._exit,
        }

    @property
    def selector(self) -> selectors.DefaultSelector:
        """What the loop waits on."""
        return self.transport.selector

    @property
    def feed_address(self) -> tuple[str, int]:
        """Where the feed is found now."""
        return self.feed.address

    # Start and end ----------------------------------------------------------------------------------------

    def start(
        self,
        signals: int | None = None,
        first: inputs.OperatorFileRead | None = None,
        listener: socket.socket | None = None,
        control_listener: socket.socket | None = None,
        predecessor: inputs.PredecessorState | None = None,
        crash_loop_delay_ns: int = 0,
    ) -> None:
        """Opens the listening sockets and starts the reducer.

        Args:
            signals: the reading end of the pipe that signals write to.
            first: the operator's file as it was read at the start.
            listener: the clients' listening socket, bound here where none is given.
            control_listener: the control address, bound here where the configuration names one.
            predecessor: what the router's last process left.
            crash_loop_delay_ns: the first call of the list waits so much more, where the router starts again
                and again.
        """
        transport = self.transport
        self.signals.fd = signals
        if signals is not None:
            transport.selector.register(signals, selectors.EVENT_READ, None)
        start_options, replicas = None, None
        if first is not None and first.file is not None:
            start_options = first.file.start_options
            replicas = first.file.control_replicas
        transport.perform_effects(
            self.reducer.start(self.clock.now(), start_options, crash_loop_delay_ns, replicas)
        )
        if predecessor is not None:
            transport.handle_input(predecessor)
        self.control.listen(control_listener)
        self.acceptor.listen(listener)
        if first is not None:
            transport.handle_input(first)
        transport.handle_input(inputs.ListenersReady())
        self.last_select_ns = self.clock.now()

    def run(self) -> None:
        """Serves, once started, until the reducer asks for the end."""
        while not self.is_stopping:
            self.run_turn()
        self.flush_and_close()

    def flush_and_close(self) -> None:
        """Writes what is left, then lets clients read to the end.

        A close with input unread would reset their connections.  What they send after this is
        discarded: nothing of it is sent on.
        """
        for client in self.clients.open.values():
            try:
                client.write_buffer.write(client.sock)
                client.sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass
        end_ns = self.clock.now() + SHUTDOWN_LINGER_NS
        selector = self.transport.selector
        while (self.clients.open or self.clients.lingering.clients) and self.clock.now() < end_ns:
            for key, _ in selector.select((end_ns - self.clock.now()) / SECOND):
                client = key.data
                if not isinstance(client, ClientConnection):
                    selector.unregister(key.fileobj)
                elif _has_ended(client):
                    self.clients.close(client)

    # One turn ---------------------------------------------------------------------------------------------

    def run_turn(self) -> None:
        """One turn: waits, reads, lets timers fire, writes.

        Its order matters: news of the list and of purges before responses, disconnects before anything that
        could be sent for those clients, responses before new requests.  After a stall of the process the turn
        ends behind the control connections until the feed has answered (``FeedClient.refresh_after_stall``).
        """
        started_ns = self.clock.now()
        wait_s = self._wait_s(started_ns)
        if self.signals.is_reading_operator_file():
            self.signals.read_operator_file_on(started_ns)
            wait_s = 0.0
        reported = self.transport.selector.select(wait_s)
        previous_ns = self.last_select_ns  # input that is found now came after this
        self.last_select_ns = self.clock.now()
        late_ns = self.last_select_ns - started_ns - int(wait_s * SECOND)
        if started_ns - previous_ns > STALL_NS or late_ns > STALL_NS:
            self.feed.refresh_after_stall()
        ready = self._sort_ready(reported)
        for connection, events in ready.control:
            self.handle_ready(connection, events)
        if self.feed.feed_only_until_ns > self.clock.now():
            for connection, _ in ready.clients:
                connection.unread_since_ns = connection.unread_since_ns or previous_ns
            self.flush()
            return
        self.feed.feed_only_until_ns = 0
        self.last_flush_ns = self.clock.now()
        self.read_disconnects(ready.clients, previous_ns)
        for connection, events in ready.servers:
            self.handle_ready(connection, events)
            self._flush_in_long_turn()
        self.dispatch_requests(ready.clients, previous_ns)
        now = self.clock.now()
        self._fire_timers(now)
        self.feed.give_up_if_overdue(now)
        if now - self.last_sweep_ns > SWEEP_INTERVAL_NS:
            self.sweep(now)
        self.flush()

    def _wait_s(self, now: int) -> float:
        """How long the selector may wait, in seconds."""
        if self.clients.with_pending:
            return 0.0
        wait_s = MAX_WAIT_S
        if self.timers:
            wait_s = min(wait_s, max(0, self.timers[0][0] - now) / SECOND)
        if self.feed.feed_only_until_ns:
            wait_s = min(wait_s, FEED_ONLY_NS / SECOND / 8)
        return wait_s

    def _sort_ready(self, reported: list[tuple[selectors.SelectorKey, int]]) -> ReadyConnections:
        """Takes new connections and signals at once; all else is sorted by its order in the turn."""
        ready = ReadyConnections()
        for key, events in reported:
            if key.data is not None:
                ready.add(key.data, events)
            elif key.fileobj is self.acceptor.listener.sock:
                self.acceptor.accept()
            elif key.fileobj is self.control.listener.sock:
                self.control.accept()
            else:
                self.signals.read()
        return ready

    def handle_ready(self, connection: Connection, events: int) -> None:
        """What the selector reported of one connection, unless what came before it has closed it."""
        if events & selectors.EVENT_WRITE and connection.is_open():
            self.transport.writable(connection)
        if events & selectors.EVENT_READ and connection.is_open():
            connection.handler.read(connection)

    def read_disconnects(self, ready: list[ReadyConnection], previous_ns: int) -> None:
        """Reads clients that have something open, before anything is sent for them.

        A close or a cancel counts at once, requests wait for ``dispatch_requests``.  Closes used to wait
        behind responses, timers and others' requests, and a router short of CPU went on for clients that were
        long gone.  ``ready`` is left without what was read.
        """
        for index, (connection, events) in enumerate(ready):
            if (
                isinstance(connection, ClientConnection)
                and events & selectors.EVENT_READ
                and connection.is_open()
                and connection.number in self.reducer.state.requests_by_client
                and len(connection.pending_messages) < MAX_PENDING_MESSAGES
            ):
                self.clients.unread_ns = self.clock.now() - (connection.unread_since_ns or previous_ns)
                connection.unread_since_ns = 0
                self.clients.read(connection)
                ready[index] = connection, events & ~selectors.EVENT_READ

    def dispatch_requests(self, ready: list[ReadyConnection], previous_ns: int) -> None:
        """Takes new requests, for a bounded time.

        The rest wait where they are, so that a router short of CPU still hears the feed and passes responses
        on.  What has waited may have come since ``previous_ns``, when the selector was last asked before.
        """
        until_ns = self.last_select_ns + CLIENT_REQUESTS_TURN_NS
        left_over: list[ReadyConnection] = [(client, 0) for client in self.clients.with_pending]
        for index, (connection, events) in enumerate(left_over + ready):
            if events and not connection.unread_since_ns:
                connection.unread_since_ns = previous_ns
            if self.clock.now() > until_ns:
                for waiting, waiting_events in ready[max(0, index + 1 - len(left_over)) :]:
                    if waiting_events and not waiting.unread_since_ns:
                        waiting.unread_since_ns = previous_ns
                return
            if events:
                self.clients.unread_ns = self.clock.now() - connection.unread_since_ns
                connection.unread_since_ns = 0
                self.handle_ready(connection, events)
            if isinstance(connection, ClientConnection):
                self.clients.dispatch_pending(connection)
            self._flush_in_long_turn()

    def _flush_in_long_turn(self) -> None:
        """Within a long turn: writes what is decided, and reads who has left meanwhile."""
        now = self.clock.now()
        if now - self.last_flush_ns < LONG_TURN_FLUSH_INTERVAL_NS:
            return
        self.flush()
        ready = ReadyConnections()
        for key, events in self.transport.selector.select(0):
            if key.data is not None:
                ready.add(key.data, events)
        self.read_disconnects(ready.clients, self.last_flush_ns)
        self.last_flush_ns = now

    def flush(self) -> None:
        """Writes what this turn asked for; a failed write is an input, and may ask for more."""
        transport = self.transport
        while transport.has_pending_work() or self.clients.decided_closes:
            transport.write_pending()
            transport.report_failed_writes()
            self.clients.close_as_decided()
            transport.report_failed_opens()

    def sweep(self, now: int) -> None:
        """Ends connections that hold a place and do nothing, and takes new ones where there is room again."""
        self.last_sweep_ns = now
        self.acceptor.listener.set_listening(True)
        self.control.listener.set_listening(True)
        self.control.sweep(now)
        self.clients.sweep(now)
        self.servers.sweep(now)

    # Timers -----------------------------------------------------------------------------------------------

    def schedule_timer(self, effect: effects.ScheduleTimer) -> None:
        """Lets the reducer know at a time."""
        # The number keeps two entries of the heap from being compared by their keys.
        heapq.heappush(self.timers, (effect.at_ns, self.transport.next_number(), effect.key))

    def _fire_timers(self, now: int) -> None:
        """Tells the reducer of the timers that are due; the end is put off for requests that wait unread."""
        while self.timers and self.timers[0][0] <= now and not self.is_stopping:
            key = heapq.heappop(self.timers)[2]
            is_the_end = key[0] is messages.TimerKind.SHUTDOWN and key[1] == SHUTDOWN_LAST_STEP
            if is_the_end and self._has_unread_requests(now):
                self.schedule_timer(effects.ScheduleTimer(now + SHUTDOWN_RETRY_NS, key))
            else:
                self.transport.handle_input(inputs.TimerFired(key))
                self._flush_in_long_turn()

    def _has_unread_requests(self, now: int) -> bool:
        """Whether a request waits unread while nothing else keeps the process.

        It has been taken by the system, and gets its answer before the end.
        """
        if not self.reducer.is_shutting_down or self.reducer.state.requests:
            return False
        if not self.shutdown_put_off_until_ns:
            self.shutdown_put_off_until_ns = now + SHUTDOWN_DRAIN_TIMEOUT_NS
        if now >= self.shutdown_put_off_until_ns:
            return False
        return bool(self.clients.with_pending) or any(
            client.has_unread_input() for client in self.clients.open.values()
        )

    def _exit(self, _effect: effects.Exit) -> None:
        """Writes what is queued by now; ``run`` ends with this turn."""
        self.flush()
        self.is_stopping = True


def _has_ended(client: ClientConnection) -> bool:
    """Whether a client has ended its side, or its connection is lost; what it sent is discarded."""
    try:
        return not client.sock.recv(BUFFER_BYTES)
    except BlockingIOError:
        return False
    except OSError:
        return True
