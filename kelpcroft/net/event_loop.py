"""The event loop: waits for sockets, and defines the order of the steps of an iteration.

The module of each kind of connection handles the events of its connections: ``client_connections``,
``server_connections``, ``feed_client`` and ``control_endpoint``; their shared code is in ``transport``.  The
loop makes no decisions: inputs go to the reducer (``kelpcroft.core.reducer``), and its effects are carried
out by the handlers that ``EventLoop._effect_handlers`` lists.
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
from kelpcroft.net.client_acceptor import ClientAcceptor
from kelpcroft.net.client_connections import ClientConnection, ClientConnections
from kelpcroft.net.client_responses import ClientResponses
from kelpcroft.net.clock import Clock
from kelpcroft.net.connector import Connector
from kelpcroft.net.control_endpoint import ControlEndpoint
from kelpcroft.net.fair_turns import in_turn
from kelpcroft.net.feed_client import FEED_ONLY_NS, FeedClient
from kelpcroft.net.final_flush import flush_and_close
from kelpcroft.net.listeners import Listener
from kelpcroft.net.memory_log import MemoryLog
from kelpcroft.net.predecessor_files import PredecessorFiles, PredecessorRecords
from kelpcroft.net.ready_connections import Arrival, ReadyConnection, ReadyConnections
from kelpcroft.net.server_connections import ServerConnections
from kelpcroft.net.signals import ReadConfig, ReadOperatorFile, Signals
from kelpcroft.net.transport import (
    MAX_QUEUED_BYTES,
    RESUME_INTERVAL_NS,
    SECOND,
    Connection,
    Transport,
)

MAX_WAIT_S: Final = 1.0  # maximum time that one iteration waits for the selector
# In each iteration, new requests are dispatched for at most this long after the selector returned.
MAX_DISPATCH_NS: Final = 20_000_000
# They are dispatched for at least this long, however long servers and disconnects were read before.
MIN_DISPATCH_NS: Final = 5_000_000
MAX_SERVER_READ_NS: Final = 20_000_000  # servers are read for at most this long in an iteration
# Clients with open requests are read for at most this long in a row.
MAX_DISCONNECT_READ_NS: Final = 10_000_000
# In a long iteration, queued output is written and disconnects are read at this interval.
LONG_ITERATION_FLUSH_INTERVAL_NS: Final = 25_000_000
SWEEP_INTERVAL_NS: Final = SECOND // 10  # time between sweeps for silent, idle, stalled and stuck connections
# An iteration that starts this long after the previous select returned, or a select that returns this long
# after its timeout, counts as a process stall: the process or the machine was suspended or not scheduled.
PROCESS_STALL_THRESHOLD_NS: Final = SECOND // 4
# A select that returns later than this has waited: nothing was ready when it began.
MIN_SELECT_WAIT_NS: Final = SECOND // 1_000
MAX_SHUTDOWN_DELAY_NS: Final = SECOND  # unread requests delay the exit by at most this long
# Responses that clients may not have read delay the exit by at most this long, so that it precedes the
# SIGKILL that the platform sends 3.7 s after SIGTERM.
MAX_RESPONSE_DELAY_NS: Final = 2_400_000_000
# Interval at which a delayed exit is retried.
SHUTDOWN_RETRY_INTERVAL_NS: Final = MAX_SHUTDOWN_DELAY_NS // 100

# Due time, unique number, key of the timer; the heap is ordered by the first two.
Timer = tuple[int, int, messages.TimerKey]


class EventLoop:
    """One router's event loop, in one thread."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        read_config: ReadConfig | None = None,
        read_operator_file: ReadOperatorFile | None = None,
        event_log: EventLog | None = None,
    ) -> None:
        """Builds the loop; no listening socket is opened before ``start``.

        Args:
            config: The router's configuration.
            clock: The clock of the process.
            read_config: Reads the configuration file again (SIGHUP).
            read_operator_file: Reads the operator's file again in steps; yields None for each step except the
                last.
            event_log: The log; standard error by default.
        """
        self.clock = clock
        self.transport = Transport(config, clock, event_log or EventLog(config.name))
        self.reducer = self.transport.reducer
        budget = allocate_descriptors(config.max_descriptors)
        listener = Listener(self.transport)
        self.clients = ClientConnections(self.transport, listener, budget.clients, budget.draining_clients)
        self.acceptor = ClientAcceptor(self.transport, listener, self.clients)
        connector = Connector(self.acceptor)
        self.servers = ServerConnections(self.transport, connector)
        self.feed = FeedClient(self.transport, connector)
        self.memory_log = MemoryLog(self.transport)
        self.control = ControlEndpoint(
            self.transport, self.acceptor, budget.control_clients, self.memory_log.state
        )
        self.predecessor = PredecessorFiles(self.transport)
        self.signals = Signals(self.transport, read_config, read_operator_file)
        self.transport.effect_handlers = self._effect_handlers()
        self.timers: list[Timer] = []  # a heap
        self.is_stopping = False
        self.last_flush_ns = 0  # when this iteration last read disconnects
        # Latest time to which unread requests delay the exit; 0 = they have not delayed it yet.
        self.shutdown_delay_limit_ns = 0
        # Latest time to which unread responses delay the exit; 0 = the last step has not been due yet.
        self.response_delay_limit_ns = 0
        self.last_sweep_ns = 0
        self.last_select_ns = clock.now()

    def _effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Returns the handler of each type of effect."""
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
            effects.SendWatchRequest: self.feed.send_watch_request,
            effects.SwitchFeed: self.feed.switch_feed,
            effects.ControlResponse: self.control.respond,
            effects.SetStateEndpoint: self.control.set_state_endpoint,
            effects.PersistServiceState: self.predecessor.persist_service_state,
            effects.ReadPredecessorState: self.predecessor.read_predecessor_state,
            effects.PersistFeedRecord: self.predecessor.persist_feed_record,
            effects.TouchFeedRecord: self.predecessor.touch_feed_record,
            effects.ReadPredecessorFeed: self.predecessor.read_predecessor_feed,
            effects.PersistReplacedSettings: self.predecessor.persist_replaced_settings,
            effects.PersistAcceptedConfig: self.predecessor.persist_accepted_config,
            effects.LimitUnsentOutput: self.limit_unsent_output,
            effects.LogEvent: self.transport.write_log_event,
            effects.Exit: self._exit,
        }

    @property
    def selector(self) -> selectors.DefaultSelector:
        """The selector on which the loop waits."""
        return self.transport.selector

    @property
    def feed_address(self) -> tuple[str, int]:
        """The feed's current address."""
        return self.feed.address

    # Start and exit ---------------------------------------------------------------------------------------

    def start(
        self,
        signals: int | None = None,
        operator_file: inputs.OperatorFileRead | None = None,
        listener: socket.socket | None = None,
        control_listener: socket.socket | None = None,
        predecessor: PredecessorRecords | None = None,
        crash_loop_delay_ns: int = 0,
        measure_memory: Callable[[], int] | None = None,
    ) -> None:
        """Opens the listening sockets and starts the reducer.

        Args:
            signals: Read end of the pipe to which signal numbers are written.
            operator_file: The operator's file as it was read at the start.
            listener: The clients' listening socket; None binds one at the configured address.
            control_listener: The listening socket of the control address; None binds one if the
                configuration names an address.
            predecessor: What the router's predecessor process left.
            crash_loop_delay_ns: Extra delay of the first list request, for a router that restarts repeatedly.
            measure_memory: Returns the resident memory of the process in bytes; None = it is not measured.
        """
        transport = self.transport
        predecessor = predecessor or PredecessorRecords()
        self.signals.pipe_fd = signals
        if signals is not None:
            transport.selector.register(signals, selectors.EVENT_READ, None)
        start_options, replicas = None, None
        if operator_file is not None and operator_file.file is not None:
            start_options = operator_file.file.start_options
            replicas = operator_file.file.control_replicas
        transport.perform_effects(
            self.reducer.start(
                self.clock.now(), start_options, crash_loop_delay_ns, replicas, predecessor.feed
            )
        )
        if measure_memory is not None:
            transport.handle_input(inputs.IdleMemory(measure_memory()))
        if predecessor.service_state is not None:
            transport.handle_input(predecessor.service_state)
        if predecessor.settings is not None:
            transport.handle_input(predecessor.settings)
        self.control.listen(control_listener)
        self.acceptor.listen(listener)
        if operator_file is not None:
            transport.handle_input(operator_file)
        transport.handle_input(inputs.ListenersReady())
        self.last_select_ns = self.clock.now()

    def run(self) -> None:
        """Runs iterations until the reducer requests the exit; call ``start`` first."""
        while not self.is_stopping:
            self.run_iteration()
        self.flush_and_close()

    def flush_and_close(self) -> None:
        """Writes the remaining output, and gives clients a little time to read it."""
        flush_and_close(self.transport, self.clients)

    # One iteration ----------------------------------------------------------------------------------------

    def run_iteration(self) -> None:
        """Runs one iteration: waits, reads, fires timers, writes.

        The order matters: updates of the endpoint list and purges come before responses, disconnects before
        any output caused by those clients' requests, and responses before new requests.  After a process
        stall, each iteration ends after the control connections are handled, until the feed's response has
        arrived or ``FEED_ONLY_NS`` has passed (``FeedClient.refresh_after_stall``).
        """
        started_ns = self.clock.now()
        self.transport.resume_reading(started_ns)
        wait_s = self._wait_s(started_ns)
        if self.signals.is_reading_operator_file():
            self.signals.continue_reading_operator_file(started_ns)
            wait_s = 0.0
        reported = self.transport.selector.select(wait_s)
        previous_select_ns = self.last_select_ns  # input reported now arrived after this
        self.last_select_ns = self.clock.now()
        select_delay_ns = self.last_select_ns - started_ns - int(wait_s * SECOND)
        has_stalled = (
            started_ns - previous_select_ns > PROCESS_STALL_THRESHOLD_NS
            or select_delay_ns > PROCESS_STALL_THRESHOLD_NS
        )
        if has_stalled:
            self.feed.refresh_after_stall()
        has_waited = self.last_select_ns - started_ns > MIN_SELECT_WAIT_NS and not has_stalled
        arrival = Arrival(previous_select_ns, self.last_select_ns if has_waited else previous_select_ns)
        ready = self._group_ready(reported)
        for connection, events in ready.control:
            self.handle_ready(connection, events)
        if self.feed.feed_only_until_ns > self.clock.now():
            for connection, _ in ready.clients:
                connection.unread_since_ns = connection.unread_since_ns or previous_select_ns
            self.flush()
            return
        self.feed.feed_only_until_ns = 0
        self.last_flush_ns = self.clock.now()
        self.read_disconnects(ready.clients, arrival)
        self.read_servers(ready.servers)
        self.dispatch_requests(ready.clients, arrival)
        now = self.clock.now()
        self._fire_timers(now)
        self.feed.fail_if_overdue(now)
        if now - self.last_sweep_ns > SWEEP_INTERVAL_NS:
            self.sweep(now)
        self.flush()

    def _wait_s(self, now: int) -> float:
        """Returns how long the selector may wait, in seconds."""
        if self.clients.clients_with_pending:
            return 0.0
        wait_s = MAX_WAIT_S
        if self.timers:
            wait_s = min(wait_s, max(0, self.timers[0][0] - now) / SECOND)
        if self.feed.feed_only_until_ns:
            wait_s = min(wait_s, FEED_ONLY_NS / SECOND / 8)
        if self.transport.paused:
            wait_s = min(wait_s, RESUME_INTERVAL_NS / SECOND)
        return wait_s

    def _group_ready(self, reported: list[tuple[selectors.SelectorKey, int]]) -> ReadyConnections:
        """Accepts connections and reads signals immediately; groups the rest by its order of handling."""
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
        """Handles the events of one connection, unless an earlier event has closed the connection."""
        if events & selectors.EVENT_WRITE and connection.is_open():
            self.transport.handle_writable(connection)
        if events & selectors.EVENT_READ and connection.is_open():
            connection.handler.read(connection)

    def read_disconnects(self, ready: list[ReadyConnection], arrival: Arrival) -> None:
        """Reads the clients that have open requests, before any output caused by those requests.

        A disconnect or a cancel takes effect immediately; requests wait for ``dispatch_requests``.  If
        disconnects waited behind responses, timers and other clients' requests, a router short of CPU would
        continue to work for clients that have long disconnected.  The clients get turns for a bounded time,
        and ``dispatch_requests`` reads the others.  The read event of each client that is read here is
        cleared in ``ready``.
        """
        deadline_ns = self.clock.now() + MAX_DISCONNECT_READ_NS
        ready.sort(key=_last_early_turn)
        for index, (connection, events) in enumerate(ready):
            if (
                isinstance(connection, ClientConnection)
                and events & selectors.EVENT_READ
                and connection.is_open()
                and connection.number in self.reducer.state.requests_by_client
                and not connection.has_full_backlog()
                and self.clients.memory.may_read_early(connection)
            ):
                connection.last_early_turn = self.transport.next_turn()
                self._record_unread_time(connection, arrival)
                self.clients.read(connection)
                ready[index] = connection, events & ~selectors.EVENT_READ
                if self.clock.now() > deadline_ns:
                    return

    def read_servers(self, ready: list[ReadyConnection]) -> None:
        """Handles the events of servers' connections in turns, for a bounded time.

        The remaining responses stay in their sockets, so that a server that sends without end delays neither
        clients nor the feed.
        """
        deadline_ns = self.clock.now() + MAX_SERVER_READ_NS
        for connection, events in in_turn(ready):
            connection.last_turn = self.transport.next_turn()
            self.handle_ready(connection, events)
            self._flush_in_long_iteration()
            if self.clock.now() > deadline_ns:
                return

    def _record_unread_time(self, connection: Connection, arrival: Arrival) -> None:
        """Tells the clients' handler how long the input that is read next has waited in its socket."""
        now = self.clock.now()
        unread_since_ns = connection.unread_since_ns or arrival.assumed_ns
        connection.unread_since_ns = 0
        self.clients.queued_ns = now - unread_since_ns
        self.clients.max_unread_ns = now - min(unread_since_ns, arrival.earliest_ns)

    def dispatch_requests(self, ready: list[ReadyConnection], arrival: Arrival) -> None:
        """Reads and dispatches new requests in turns, for a bounded time.

        The remaining requests stay in their sockets and queues, so that a router short of CPU still reads
        the feed and forwards responses.
        """
        deadline_ns = max(self.last_select_ns + MAX_DISPATCH_NS, self.clock.now() + MIN_DISPATCH_NS)
        clients: dict[Connection, int] = dict.fromkeys(self.clients.clients_with_pending, 0)
        clients.update(ready)
        for connection, events in clients.items():
            if events and not connection.unread_since_ns:
                connection.unread_since_ns = arrival.assumed_ns
        for connection, events in in_turn(clients.items()):
            if self.clock.now() > deadline_ns:
                return
            connection.last_turn = self.transport.next_turn()
            self._read_and_dispatch(connection, events, arrival)
            self._flush_in_long_iteration()

    def _read_and_dispatch(self, connection: Connection, events: int, arrival: Arrival) -> None:
        """Gives a client its turn: handles its events, and dispatches its pending messages."""
        if not isinstance(connection, ClientConnection):
            return
        if connection.has_full_backlog():
            events &= ~selectors.EVENT_READ
        if events:
            self._record_unread_time(connection, arrival)
            self.handle_ready(connection, events)
        self.clients.dispatch_pending(connection)

    def _flush_in_long_iteration(self) -> None:
        """In a long iteration, writes queued output and reads disconnects at a fixed interval.

        Much queued output is written at once, as it is in memory until then.
        """
        if self.transport.queued_bytes > MAX_QUEUED_BYTES:
            self.flush()
        now = self.clock.now()
        if now - self.last_flush_ns < LONG_ITERATION_FLUSH_INTERVAL_NS:
            return
        self.flush()
        ready = ReadyConnections()
        for key, events in self.transport.selector.select(0):
            if key.data is not None:
                ready.add(key.data, events)
        self.read_disconnects(ready.clients, Arrival(self.last_flush_ns, self.last_flush_ns))
        self.last_flush_ns = now

    def flush(self) -> None:
        """Writes queued output; a failed write is an input, whose effects may queue more output."""
        transport = self.transport
        while transport.has_pending_work() or self.clients.requested_closes:
            transport.write_pending()
            transport.report_failed_writes()
            self.clients.close_requested()
            transport.report_failed_opens()

    def sweep(self, now: int) -> None:
        """Closes inactive connections, and accepts new ones again if there is room for them."""
        self.last_sweep_ns = now
        self.acceptor.listener.set_registered(True)
        self.control.listener.set_registered(True)
        self.control.sweep(now)
        self.clients.sweep(now)
        self.servers.sweep(now)
        self.memory_log.sweep(now)

    # Timers -----------------------------------------------------------------------------------------------

    def schedule_timer(self, effect: effects.ScheduleTimer) -> None:
        """Adds a timer; when it is due, the reducer receives ``TimerFired``."""
        # The unique number prevents the heap from comparing two entries by their keys.
        heapq.heappush(self.timers, (effect.at_ns, self.transport.next_number(), effect.key))

    def _fire_timers(self, now: int) -> None:
        """Delivers the timers that are due; unread requests and responses delay the last shutdown step."""
        while self.timers and self.timers[0][0] <= now and not self.is_stopping:
            key = heapq.heappop(self.timers)[2]
            is_last_step = key[0] is messages.TimerKind.SHUTDOWN and key[1] == SHUTDOWN_LAST_STEP
            if is_last_step and (self._has_unread_requests(now) or self._has_unread_responses(now)):
                self.schedule_timer(effects.ScheduleTimer(now + SHUTDOWN_RETRY_INTERVAL_NS, key))
            else:
                self.transport.handle_input(inputs.TimerFired(key))
                self._flush_in_long_iteration()

    def _has_unread_requests(self, now: int) -> bool:
        """Whether a request waits unread while nothing else delays the exit.

        The kernel has already acknowledged the request's bytes, so its client gets a response before the
        exit.
        """
        if not self.reducer.is_shutting_down or self.reducer.state.requests:
            return False
        if not self.shutdown_delay_limit_ns:
            self.shutdown_delay_limit_ns = now + MAX_SHUTDOWN_DELAY_NS
        if now >= self.shutdown_delay_limit_ns:
            return False
        return bool(self.clients.clients_with_pending) or any(
            client.has_unread_input() for client in self.clients.open.values()
        )

    def _has_unread_responses(self, now: int) -> bool:
        """Whether the exit waits for clients that may not have read all their responses."""
        if not self.response_delay_limit_ns:
            self.response_delay_limit_ns = now + MAX_RESPONSE_DELAY_NS
        return now < self.response_delay_limit_ns and self.clients.has_unread_responses(now)

    def limit_unsent_output(self, effect: effects.LimitUnsentOutput) -> None:
        """Bounds the pooled buffers."""
        self.transport.pool.set_limit(effect.byte_count)

    def _exit(self, _effect: effects.Exit) -> None:
        """Writes all queued output; ``run`` ends after this iteration."""
        self.flush()
        self.is_stopping = True


def _last_early_turn(ready: ReadyConnection) -> int:
    connection = ready[0]
    return connection.last_early_turn if isinstance(connection, ClientConnection) else 0
