"""What all client connections use: who may stay, who is read in which turn, timers, and the drain.

One epoll, itself a reader of the loop, watches all sockets: who wakes is told there once, and is read
in turns.
"""

from __future__ import annotations

import asyncio
import random
import select
import socket
from collections.abc import Callable, Hashable
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.clients import Caps, ConnectionRegistry, Turns, Verdict
from quincepier.net.client import ClientConnection
from quincepier.net.lingering import LOOK_EVERY, Lingering
from quincepier.net.means import Means
from quincepier.timers import ActiveClock, Wheel
from quincepier.translate import make_class_table
from quincepier.wire.errors import ProtocolError

if TYPE_CHECKING:  # imported only where the operators' file tells of clients
    from quincepier.clients.section import Places

GRAIN = 20 * clock.MS  # of the timers of connections
LATE = clock.SECOND // 4  # between looks at them; more than that is the front's own standstill
SWEPT = 2000  # timers looked at in one sweep; what is left is due at the next
READS, WAKES = 64, 4  # connections read in one turn of the loop: at work, and such as rested for long
RUNG = 512  # of those that woke told of in one turn
ACTIVE_FOR = 5 * clock.SECOND  # since bytes last came or went, for a connection to count as at work
# Seconds at the front's end: for answers on their way out, then for clients to close their side too.
FLUSH, LAST = 0.1, 0.15
GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
STALLED_FOR = 2.0  # seconds in which a client took nothing, to go for a new one where nobody else can
HALF_SENT = 0.5  # of the bodies' bytes, beside as many whole ones as there may be
WAIT_LEAST = 0.6  # part of the longest wait that a refused client is told at least: not all come back at once


class ConnectionManager:
    """What all client connections use."""

    def __init__(self, means: Means, standing: Callable[[], bool], places: Places | None = None) -> None:
        self.checks, self.pool, self.descriptors = means.checks, means.pool, means.descriptors
        self.module, self.standing, self.pauses = means.module, standing, means.pauses
        self.means, self.classes = means, make_class_table(means.config)
        self.connections: set[ClientConnection] = set()
        self.in_session: set[ClientConnection] = set()  # those that are not at rest
        # who does not take what it is owed: when bytes last went, and since when by the active clock
        self.stalled: dict[ClientConnection, tuple[int, int]] = {}
        self.places = places
        most = self.descriptors.clients_most
        caps = Caps(most) if places is None else places.caps(most)
        self.registry: ConnectionRegistry[ClientConnection] = ConnectionRegistry(caps)
        self.bodies, self.bodies_most = 0, means.budget.max_body_bytes
        buffers = means.pool.acquire()
        assert buffers is not None, "the first buffer of the pool is there"
        self.scratch = memoryview(buffers[0])  # all connections are read into it, each for a moment
        self.lingering = Lingering(self.checks, self.descriptors, self.scratch)
        now = clock.now()
        self.active_clock = ActiveClock(now, LATE)
        self.wheel: Wheel[tuple[ClientConnection, bool]] = Wheel(now, GRAIN)
        self.active: Turns[ClientConnection] = Turns(READS)
        self.waking: Turns[ClientConnection] = Turns(WAKES)
        self.turning = False
        self.epoll: select.epoll | None = None  # made with the first connection
        self.by_fd: dict[int, ClientConnection] = {}
        self.random = random.Random(means.config.seed)
        self.draining = self.refusing = False  # see drain; what comes is answered with a refusal at once

    def follow(self, places: Places | None) -> None:
        """The operators tell other limits: they hold for who comes from now on, and for who rests."""
        self.places = places
        most = self.descriptors.clients_most
        self.registry.caps = Caps(most) if places is None else places.caps(most)

    def network(self, host: str) -> tuple[Hashable, int]:
        """Whose connection it is, and how many it may have (0: as all); one network for all by default."""
        return ("", 0) if self.places is None else self.places.network(host)

    def admit(self, sock: socket.socket, host: str = "") -> ClientConnection | None:
        """A connection for a new client's socket; closed where there is no room, or who goes for it is."""
        connection = ClientConnection(self, sock)
        verdict, gone = self.registry.came(connection, *self._network(host))
        if verdict is Verdict.FULL and (stalled := self._stalled_longest()) is not None:
            self.checks.event("slow_client_closed_descriptor_limit")
            stalled.close()
            verdict, gone = self.registry.came(connection, *self._network(host))
        if verdict is not Verdict.STAYS:
            full = verdict is Verdict.FULL
            limit = "descriptor_limit" if full else "network_cap"
            self.checks.event(f"new_client_closed_{limit}", "" if full else host)
            self.lingering.add(sock)
            return None
        for other in gone:
            self.checks.event("idle_client_closed_descriptor_limit")
            other.close(linger=True)
        self.descriptors.client(1)
        self.lingering.make_room()
        self.connections.add(connection)
        try:
            connection.start()
        except OSError as error:  # it can't be watched
            self.checks.event("new_client_closed_watch_failed", str(error))
            connection.close(linger=True)
            return None
        return connection

    def _network(self, host: str) -> tuple[Hashable, int, int]:
        name, cap = self.network(host)
        return name, self.active_clock.read(clock.now()), cap

    def wait_ms(self) -> int | None:
        """What a client is told whom the front itself refuses: spread, so that not all come back together."""
        most = self.means.config.retry_after_ms
        return None if most is None else max(int(self.random.uniform(WAIT_LEAST, 1) * most), 1)

    def _stalled_longest(self) -> ClientConnection | None:
        """Who has taken nothing of its answers for longest, and for long, with none still to be made."""
        latest = self.active_clock.time - int(STALLED_FOR * clock.SECOND)
        found = [c for c, (_, since) in self.stalled.items() if since <= latest and not c.closed]
        done = [c for c in found if c.session and all(r.is_finished for r in c.session.open.values())]
        return min(done, key=lambda c: self.stalled[c][1]) if done else None

    def make_room(self) -> None:
        """The pool is used up. Of the client that has taken nothing for longest, answers not begun become
        failures; where there are none, what has begun is cut by closing its connection.
        """
        held = sorted((c for c in self.in_session if c.session and c.session.sending), key=lambda c: c.moved)
        for connection in held:
            if connection.fail_unbegun():
                self.checks.event("responses_failed_buffer_limit")
                return
        if held:
            self.checks.event("slow_client_closed_buffer_limit")
            held[0].close()

    def hold(self, connection: ClientConnection, held: int) -> None:
        """Account for what a connection has sent of requests not whole yet; the one that holds most goes."""
        self.bodies += held - connection.held
        connection.held = held
        if self.bodies <= self.bodies_most or not held:
            return
        # whole bodies alone are no fault of who is half way: what comes beside those is refused once whole
        if sum(c.held for c in self.in_session) > self.bodies_most * HALF_SENT:
            self.checks.event("client_closed_partial_request_limit")
            most = max(self.in_session, key=lambda c: c.held)
            most.stop_reading(ProtocolError(f"{most.held} bytes of requests that are not whole"))

    def sweep(self, now: int) -> None:
        """Look at the timers that are due. Time in which nobody looked is the front's and does not count."""
        time = self.active_clock.read(now)
        for _ in range(SWEPT):
            timer = self.wheel.take(time)
            if timer is None:
                break
            connection, resume = timer.what
            try:
                connection.due(time, resume)
            except Exception as error:
                self.checks.exception("exception_in_client_actor", error)
                connection.close()
        stalled = {c: (c.moved, time) for c in self.in_session if c.writer is not None}
        kept = {c: told for c, told in self.stalled.items() if c in stalled and told[0] == c.moved}
        self.stalled = kept | {c: told for c, told in stalled.items() if c not in kept}

    # Turns of the loop

    def watch(self, connection: ClientConnection) -> None:
        """From now on who has something to read is told of it, once for all that is there."""
        if self.epoll is None:
            self.epoll = select.epoll()
            asyncio.get_running_loop().add_reader(self.epoll.fileno(), self._rung)
        self.epoll.register(connection.sock, select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET)
        self.by_fd[connection.sock.fileno()] = connection

    def unwatch(self, connection: ClientConnection) -> None:
        if self.epoll is not None and self.by_fd.pop(connection.sock.fileno(), None) is not None:
            self.epoll.unregister(connection.sock)

    def _rung(self) -> None:
        """A part of those that woke; the loop rings again where there are more."""
        if self.epoll is not None:
            for fd, mask in self.epoll.poll(0, RUNG):
                connection = self.by_fd.get(fd)
                if connection is not None:
                    connection.ready(gone=bool(mask & GONE))

    def may_read(self, connection: ClientConnection) -> bool:
        """Whether a connection that is ready is read in this turn; else it is read when its turn comes."""
        self._turn_comes()
        return self._lane(connection).may(connection)

    def read_on(self, connection: ClientConnection) -> None:
        """It has more to read than its part of a turn."""
        self._turn_comes()
        self._lane(connection).wait(connection)

    def _lane(self, connection: ClientConnection) -> Turns[ClientConnection]:
        """Who rested for long does not come before those who are at work, nor do these keep it out."""
        busy = connection.session is not None or clock.now() - connection.moved < ACTIVE_FOR
        return self.active if busy else self.waking

    def leave_line(self, connection: ClientConnection) -> None:
        self.active.leave(connection)
        self.waking.leave(connection)

    def _turn_comes(self) -> None:
        if not self.turning:
            self.turning = True
            asyncio.get_running_loop().call_soon(self._turn)

    def _turn(self) -> None:
        for connection in self.active.turn() + self.waking.turn():
            connection.receive()
        if waiting := len(self.active.line) + len(self.waking.line):
            self.checks.count("reads_deferred", waiting)
            asyncio.get_running_loop().call_soon(self._turn)
        else:
            self.turning = False

    def drain(self) -> None:
        """The front ends: from now on a connection goes with the last answer owed there.

        Else a client that sends row after row would hold the drain up to its end, and lose its last row.
        Who has asked for nothing yet stays: that first request is answered.
        """
        self.draining = True
        for connection in [c for c in self.connections if c.asked]:
            connection.close_gracefully()

    async def close_all(self) -> None:
        """The front's end: every connection left is closed, and its socket let go of.

        Each is read a last time; what comes then or waits for the module is refused at once. Answers on their
        way out get a moment.
        """
        self.draining = self.refusing = True
        for connection in list(self.connections):
            connection.refuse_waiting()
            connection.close_gracefully()
        until = clock.now() + int(FLUSH * clock.SECOND)
        while not self.quiet() and clock.now() < until:
            await asyncio.sleep(LOOK_EVERY)
        for connection in list(self.connections):
            connection.close(linger=True)
        await asyncio.sleep(0)  # those whose answer is cut let go of their sockets
        await self.lingering.end(LAST)

    def quiet(self) -> bool:
        """Nothing that was asked here whole is unanswered or on its way out."""
        return not any(connection.owed for connection in self.in_session)
