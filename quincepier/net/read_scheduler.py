"""Decides which readable client connections are read in which turn of the event loop.

A turn is bounded in reads and in time, so that responses of caches, timers and the module get the event loop
in between. Connections that send more than is read from them in one turn have a queue of their own: however
many there are, they delay the ordinary ones by `MAX_BULK_READS` reads only.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.checks import Checks
from quincepier.clients import ReadyQueue

if TYPE_CHECKING:
    from quincepier.net.client_connection import ClientConnection

# Connections read in one turn of the event loop: active ones, ones that have been idle for long, and ones
# with more data than is read in one turn.
MAX_ACTIVE_READS, MAX_WAKING_READS, MAX_BULK_READS = 64, 4, 2
# Reads of active connections end after this time; some are read even if the process was not scheduled in it.
MAX_TURN_NS, MIN_ACTIVE_READS = 10 * clock.MS, 16
ACTIVE_WITHIN_NS = 5 * clock.SECOND  # time since the last byte in which a connection counts as active


class ReadScheduler:
    """Queues readable connections and reads a bounded number of them in each turn.

    Args:
        checks: Counts the reads that were deferred.

    Attributes:
        active: Active connections that wait to be read.
        waking: Connections that wait to be read after having been idle for long.
        bulk: Connections that were not found empty in an earlier turn.
        is_turn_scheduled: Whether a turn of queued reads is scheduled.
        turn_ends_ns: When the present turn ends for active connections.
    """

    def __init__(self, checks: Checks) -> None:
        self.checks = checks
        self.active: ReadyQueue[ClientConnection] = ReadyQueue(MAX_ACTIVE_READS)
        self.waking: ReadyQueue[ClientConnection] = ReadyQueue(MAX_WAKING_READS)
        self.bulk: ReadyQueue[ClientConnection] = ReadyQueue(MAX_BULK_READS)
        self.is_turn_scheduled = False
        self.turn_ends_ns = 0

    def may_read_now(self, connection: ClientConnection) -> bool:
        """Return whether a readable connection is read in this turn; else it is queued."""
        self._schedule_turn()
        queue = self._queue_for(connection)
        if queue is self.active and clock.now() >= self.turn_ends_ns:
            queue.end_turn()
        return queue.serve_or_enqueue(connection)

    def enqueue(self, connection: ClientConnection) -> None:
        """Queue a connection to be read in a later turn."""
        self._schedule_turn()
        queue = self._queue_for(connection)
        for other in (self.active, self.waking, self.bulk):
            if other is not queue:
                other.remove(connection)
        queue.enqueue(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection from the queue that it is in, if any."""
        for queue in (self.active, self.waking, self.bulk):
            queue.remove(connection)

    def count_waiting(self) -> int:
        """Return how many connections wait to be read."""
        return len(self.active.waiting) + len(self.waking.waiting) + len(self.bulk.waiting)

    def _queue_for(self, connection: ClientConnection) -> ReadyQueue[ClientConnection]:
        """Return the connection's queue, so that none of the three kinds starves another."""
        if connection.has_backlog:
            return self.bulk
        is_active = (
            connection.session is not None or clock.now() - connection.last_activity_ns < ACTIVE_WITHIN_NS
        )
        return self.active if is_active else self.waking

    def _schedule_turn(self) -> None:
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            self.turn_ends_ns = clock.now() + MAX_TURN_NS
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self.turn_ends_ns = clock.now() + MAX_TURN_NS
        self._read_active()
        for connection in self.waking.start_turn() + self.bulk.start_turn():
            connection.receive()
        if waiting := self.count_waiting():
            self.checks.count("reads_deferred", waiting)
            asyncio.get_running_loop().call_soon(self._run_turn)
        else:
            self.is_turn_scheduled = False

    def _read_active(self) -> None:
        ready, read_count = deque(self.active.start_turn()), 0
        while ready:
            ready.popleft().receive()
            read_count += 1
            if ready and read_count >= MIN_ACTIVE_READS and clock.now() >= self.turn_ends_ns:
                self.active.end_turn(ready)
                return
