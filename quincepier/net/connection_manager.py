"""All client connections of a front: admission, readable sockets, timers and the drain.

One edge-triggered epoll, itself watched by the event loop, watches all client sockets;
`read_scheduler.py` decides when those that became readable are read.
"""

from __future__ import annotations

import asyncio
import random
import select
import socket
from collections.abc import Callable, Hashable
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.clients import AdmissionResult, ConnectionLimits, ConnectionRegistry
from quincepier.net.actor_dependencies import ActorDependencies
from quincepier.net.body_memory import BodyMemory
from quincepier.net.client_connection import ClientConnection
from quincepier.net.lingering_sockets import POLL_INTERVAL_S, SPARE_DESCRIPTORS, LingeringSockets
from quincepier.net.read_scheduler import ReadScheduler
from quincepier.net.sockets import is_readable, is_writable
from quincepier.timers import ActiveClock, TimerWheel
from quincepier.translate import make_class_table

if TYPE_CHECKING:  # imported only if the operators' file has a section `clients`
    from quincepier.clients.section import ClientNetworks

TIMER_TICK_NS = 20 * clock.MS  # resolution of the connections' timers
# Longest step of the active clock; more time between two readings is a process pause and not counted.
MAX_CLOCK_STEP_NS = clock.SECOND // 4
MAX_TIMERS_PER_SWEEP = 2000  # the rest is handled by the next sweep
# Time for reading the connections that could be closed for one new one.
MAX_EVICTION_NS = 2 * clock.MS
# Connections beyond the limit, whose requests are rejected; they use the descriptors of lingering sockets.
MAX_OVER_LIMIT = SPARE_DESCRIPTORS
MAX_EPOLL_EVENTS = 512  # readable connections handled in one turn of the event loop
FLUSH_TIMEOUT_S = 0.1  # at the end of the front, for responses that are being written
LINGER_TIMEOUT_S = 0.15  # after that, for clients to close their side
DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
# A connection whose client has read no bytes for this long may be closed to admit a new one, if no other
# connection can be closed, or to free the buffers that it holds.
MIN_STALL_S = 2.0
# Time without a byte read after which the responses of a client may fail if others wait for buffers.
MIN_BUFFER_STALL_S = 0.5
MIN_RETRY_AFTER_SHARE = 0.6  # of the longest retry time: rejected clients come back at different times


class ConnectionManager:
    """Admits client connections, schedules their reads and timers, and closes them.

    Attributes:
        checks: Counters and log events.
        pool: The buffer pool of response bodies.
        body_allocator: Tells whether responses of caches wait for buffers.
        descriptors: The count of open descriptors.
        module: The module's mailbox.
        is_ready: Returns whether the front is ready to serve; used to answer `/ping`.
        pauses: The detector of process pauses.
        classes: Index and deadline of each request class, by name.
        connections: All connections whose socket is not closed yet.
        busy_connections: The connections that have a session: they are not idle.
        stalled: Connections whose socket takes no bytes: the time of their last byte, ns, and since when they
            have been seen stalled, by the active clock, ns.
        networks: Connection limits by client network; None without the section `clients` of the operators'
            file.
        over_limit: Connections accepted beyond the limit, whose requests are rejected.
        awaiting_place: Those of them that are not read yet, as another may be closed for them soon.
        eviction_until_ns: Until when connections are read to find one that can be closed for a new one.
        registry: Decides on admission and on the connections to close for new ones.
        bodies: Accounts for the bodies of requests and enforces their limit.
        read_buffer: One buffer into which all connections are read; its content is decoded at once.
        lingering: Sockets closed for writing that still wait for the client's close.
        active_clock: A clock that does not count process pauses.
        timers: Deadline checks of the connections, each with whether reading resumes.
        reads: Decides which readable connections are read in which turn of the event loop.
        epoll: Watches all client sockets; created with the first connection.
        connection_by_fd: The watched connections by descriptor.
        random: Source of retry times, seeded by the configuration.
        is_draining: Connections close once they owe no response; see `drain`.
        is_rejecting: New requests are rejected at once.
    """

    def __init__(
        self,
        dependencies: ActorDependencies,
        is_ready: Callable[[], bool],
        networks: ClientNetworks | None = None,
    ) -> None:
        self.checks, self.pool, self.descriptors = (
            dependencies.checks,
            dependencies.buffer_pool,
            dependencies.descriptors,
        )
        self.body_allocator = dependencies.body_allocator
        self.module, self.is_ready, self.pauses = (
            dependencies.module_mailbox,
            is_ready,
            dependencies.pause_detector,
        )
        self.dependencies, self.classes = dependencies, make_class_table(dependencies.config)
        self.connections: set[ClientConnection] = set()
        self.busy_connections: set[ClientConnection] = set()
        self.stalled: dict[ClientConnection, tuple[int, int]] = {}
        self.networks = networks
        self.over_limit: set[ClientConnection] = set()
        self.awaiting_place: set[ClientConnection] = set()
        self.eviction_until_ns = 0
        limit = self.descriptors.max_clients
        limits = ConnectionLimits(limit) if networks is None else networks.make_limits(limit)
        self.registry: ConnectionRegistry[ClientConnection] = ConnectionRegistry(limits, self._is_evictable)
        self.bodies = BodyMemory(dependencies.memory_budget.max_body_bytes, self.checks)
        buffers = dependencies.buffer_pool.acquire()
        assert buffers is not None, "the buffer pool has no buffer to read into"
        self.read_buffer = memoryview(buffers[0])
        self.lingering = LingeringSockets(self.checks, self.descriptors, self.read_buffer)
        now = clock.now()
        self.active_clock = ActiveClock(now, MAX_CLOCK_STEP_NS)
        self.timers: TimerWheel[tuple[ClientConnection, bool]] = TimerWheel(now, TIMER_TICK_NS)
        self.reads = ReadScheduler(self.checks)
        self.epoll: select.epoll | None = None
        self.connection_by_fd: dict[int, ClientConnection] = {}
        self.random = random.Random(dependencies.config.seed)
        self.is_draining = self.is_rejecting = False

    def configure(self, networks: ClientNetworks | None) -> None:
        """Put other limits in force; they apply to new and to idle connections."""
        self.networks = networks
        limit = self.descriptors.max_clients
        self.registry.limits = ConnectionLimits(limit) if networks is None else networks.make_limits(limit)

    def find_network(self, host: str) -> tuple[Hashable, int]:
        """Return the network of an address and its cap on connections.

        Without the section `clients` of the operators' file all addresses belong to one network. A cap of 0
        means that `max_per_network` applies.
        """
        return ("", 0) if self.networks is None else self.networks.find_network(host)

    def admit(self, sock: socket.socket, host: str = "") -> ClientConnection | None:
        """Admit a new client, if need be by closing others; else close its socket and return None."""
        connection = ClientConnection(self, sock)
        result = self._register(connection, host)
        is_over_limit = result is AdmissionResult.LIMIT_REACHED and len(self.over_limit) < MAX_OVER_LIMIT
        if not (result is AdmissionResult.ADMITTED or is_over_limit):
            is_full = result is AdmissionResult.LIMIT_REACHED
            limit = "descriptor_limit" if is_full else "network_cap"
            self.checks.event(f"new_client_closed_{limit}", "" if is_full else host)
            self.lingering.add(sock)
            return None
        self.descriptors.add_clients(1)
        self.lingering.close_excess()
        self.connections.add(connection)
        if not is_over_limit:
            return self._start(connection)
        connection.is_over_limit = True
        self.over_limit.add(connection)
        if len(self.awaiting_place) < self.registry.count_closable():
            self.awaiting_place.add(connection)
            connection.set_earliest_arrival(clock.now())
            wait_s = self.registry.limits.min_new_time / clock.SECOND
            asyncio.get_running_loop().call_later(wait_s, self._start_over_limit, connection, host)
            return connection
        self.checks.event("new_client_rejected_descriptor_limit")
        return self._start(connection)

    def _register(self, connection: ClientConnection, host: str) -> AdmissionResult:
        """Find a place for a connection, and close those that have to go for it."""
        if len(self.registry) >= self.registry.limits.max_connections:
            self.handle_readable()  # closes the connections whose clients have gone
        self.eviction_until_ns = clock.now() + MAX_EVICTION_NS
        result, evicted = self.registry.admit(connection, *self._registry_arguments(host))
        if result is AdmissionResult.LIMIT_REACHED and (stalled := self._find_longest_stalled()) is not None:
            self.checks.event("slow_client_closed_descriptor_limit")
            stalled.close()
            result, evicted = self.registry.admit(connection, *self._registry_arguments(host))
        for idle in evicted:
            if not idle.is_closed:
                self.checks.event("idle_client_closed_descriptor_limit")
                idle.close(linger=True)
        return result

    def _start(self, connection: ClientConnection) -> ClientConnection | None:
        try:
            connection.start()
        except OSError as error:  # epoll can't watch the socket
            self.checks.event("new_client_closed_watch_failed", str(error))
            connection.close(linger=True)
            return None
        return connection

    def _start_over_limit(self, connection: ClientConnection, host: str) -> None:
        """Give a connection beyond the limit the place of one that can be closed by now; else reject it.

        No other is closed for one that has sent nothing in its wait; it is closed itself.
        """
        self.awaiting_place.discard(connection)
        if connection.is_closed:
            return
        has_place = len(self.registry) < self.registry.limits.max_connections
        if not (has_place or is_readable(connection.sock)):
            connection.close_gracefully()
            return
        if self._register(connection, host) is AdmissionResult.ADMITTED:
            connection.is_over_limit = False
            self.over_limit.discard(connection)
        else:
            self.checks.event("new_client_rejected_descriptor_limit")
        self._start(connection)

    def is_full(self) -> bool:
        """Whether a new client would be closed unread, so that it had better wait in the backlog."""
        return (
            len(self.over_limit) >= MAX_OVER_LIMIT
            and len(self.registry) >= self.registry.limits.max_connections
        )

    def _is_evictable(self, connection: ClientConnection, spares_partial: bool) -> bool:
        """Return whether a connection may be closed for a new one; it is read before, if there is time.

        With `spares_partial` one that has just begun a request may not.
        """
        if connection.has_unread_data and clock.now() >= self.eviction_until_ns:
            return False
        return connection.is_idle_after_reading(spares_partial)

    def _registry_arguments(self, host: str) -> tuple[Hashable, int, int]:
        name, cap = self.find_network(host)
        return name, self.active_clock.read(clock.now()), cap

    def draw_retry_after_ms(self) -> int | None:
        """Return a random retry time for a client that the front itself rejects; None if none is set."""
        limit = self.dependencies.config.retry_after_ms
        return None if limit is None else max(int(self.random.uniform(MIN_RETRY_AFTER_SHARE, 1) * limit), 1)

    def _find_longest_stalled(self) -> ClientConnection | None:
        """Return the connection that has been stalled longest, for `MIN_STALL_S` at least.

        Connections with a request that has no response yet are left out.
        """
        return next(
            (
                c
                for c in self._find_stalled(MIN_STALL_S)
                if c.session and all(r.is_finished for r in c.session.request_by_stream.values())
            ),
            None,
        )

    def _find_stalled(self, min_stall_s: float) -> list[ClientConnection]:
        """Return the connections that have been stalled for `min_stall_s` at least, the longest first."""
        latest = self.active_clock.time - int(min_stall_s * clock.SECOND)
        stalled = [c for c, (_, since) in self.stalled.items() if since <= latest and not c.is_closed]
        return sorted(stalled, key=lambda c: self.stalled[c][1])

    def _find_unread(self, now: int) -> list[ClientConnection]:
        """Return the connections whose socket took no byte for `MIN_BUFFER_STALL_S` nor takes any now.

        The system is asked, since this front may have come late to write. Each was stalled earlier, too.
        """
        latest = now - int(MIN_BUFFER_STALL_S * clock.SECOND)
        unread = [
            connection
            for connection, (last_sent_ns, since) in self.stalled.items()
            if last_sent_ns <= latest and since < self.active_clock.time
            if not connection.is_closed and not is_writable(connection.sock)
        ]
        return sorted(unread, key=lambda connection: connection.last_sent_ns)

    def free_buffers(self, now: int) -> None:
        """Release buffers that stalled clients hold, as long as responses of caches wait for some.

        Called at short intervals while such responses wait.

        First the unstarted responses of clients that have been stalled for `MIN_BUFFER_STALL_S` are replaced
        by failures. If that is not enough, connections stalled for `MIN_STALL_S` are closed, which cuts their
        responses off. A client that reads is waited for, however slowly this front comes to write to it.
        """
        self._update_stalled(self.active_clock.read(now))
        for connection in self._find_unread(now):
            if self.body_allocator.is_short and connection.fail_unstarted_responses():
                self.checks.event("responses_failed_buffer_limit")
        while self.body_allocator.is_short and (stalled := self._find_longest_stalled()) is not None:
            self.checks.event("slow_client_closed_buffer_limit")
            stalled.close()

    def sweep(self, now: int) -> None:
        """Handle the timers that are due and update `stalled`.

        Time beyond `MAX_CLOCK_STEP_NS` between two readings of the active clock is a process pause and does
        not count.
        """
        time = self.active_clock.read(now)
        for _ in range(MAX_TIMERS_PER_SWEEP):
            timer = self.timers.take_due(time)
            if timer is None:
                break
            connection, resume = timer.payload
            try:
                connection.on_timer(time, resume)
            except Exception as error:
                self.checks.exception("exception_in_client_actor", error)
                connection.close()
        self._update_stalled(time)

    def _update_stalled(self, time: int) -> None:
        stalled = {c: (c.last_sent_ns, time) for c in self.busy_connections if c.write_task is not None}
        kept = {c: seen for c, seen in self.stalled.items() if c in stalled and seen[0] == c.last_sent_ns}
        self.stalled = kept | {c: seen for c, seen in stalled.items() if c not in kept}

    # Readable sockets

    def watch(self, connection: ClientConnection) -> None:
        """Watch a connection's socket; epoll reports once for all data that is there. Raises OSError."""
        if self.epoll is None:
            self.epoll = select.epoll()
            asyncio.get_running_loop().add_reader(self.epoll.fileno(), self.handle_readable)
        self.epoll.register(connection.sock, select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET)
        self.connection_by_fd[connection.sock.fileno()] = connection

    def unwatch(self, connection: ClientConnection) -> None:
        """Stop watching a connection's socket."""
        if self.epoll is not None and self.connection_by_fd.pop(connection.sock.fileno(), None) is not None:
            self.epoll.unregister(connection.sock)

    def handle_readable(self) -> None:
        """Close the connections whose clients have gone; read those that became readable, or queue them.

        Up to `MAX_EPOLL_EVENTS` are handled; the event loop calls again if there are more.
        """
        if self.epoll is not None:
            for fd, mask in self.epoll.poll(0, MAX_EPOLL_EVENTS):
                connection = self.connection_by_fd.get(fd)
                if connection is not None:
                    connection.on_readable(is_disconnected=bool(mask & DISCONNECT_EVENTS))

    # End of the front

    def drain(self) -> None:
        """Close connections from now on as soon as they owe no response.

        Otherwise a client that sends without a break would prolong the drain to its deadline and lose its
        last requests. A connection without a request yet stays open: its first request is served.
        """
        self.is_draining = True
        for connection in [c for c in self.connections if c.has_requested]:
            connection.close_gracefully()

    async def close_all(self) -> None:
        """Close all connections and their sockets, at the end of the front.

        Each connection is read a last time; requests read then, and those the module has not taken yet, are
        rejected. Responses that are being written get `FLUSH_TIMEOUT_S`.
        """
        self.is_draining = self.is_rejecting = True
        for connection in list(self.connections):
            connection.reject_queued_requests()
            connection.close_gracefully()
        until = clock.now() + int(FLUSH_TIMEOUT_S * clock.SECOND)
        while not self.is_quiescent() and clock.now() < until:
            await asyncio.sleep(POLL_INTERVAL_S)
        for connection in list(self.connections):
            connection.close(linger=True)
        await asyncio.sleep(0)  # cancelled write tasks end, and their sockets are closed
        await self.lingering.wait_until_closed(LINGER_TIMEOUT_S)

    def is_quiescent(self) -> bool:
        """Whether no connection owes a response."""
        return not any(connection.owes_responses for connection in self.busy_connections)
