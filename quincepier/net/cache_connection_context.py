"""What the actors of all caches use, and who of them waits for buffers or a descriptor."""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from quincepier.config import FrontConfig
from quincepier.memory.buffer_pool import PooledBody
from quincepier.net.means import Means
from quincepier.net.sockets import close_at_once

if TYPE_CHECKING:
    from quincepier.net.cache import CacheActor
    from quincepier.net.connection import Connection
    from quincepier.net.dialer import Dialer  # imported only where machines have several addresses


class CacheConnectionContext:
    """What all cache actors use, and who waits for buffers."""

    def __init__(self, means: Means, make_room: Callable[[], None]) -> None:
        self.means, self.checks, self.pool = means, means.checks, means.pool
        self.descriptors, self.module_mailbox, self.free_buffers = means.descriptors, means.module, make_room
        self.buffer_waiters: deque[asyncio.Future[None]] = deque()
        self.actor_by_number: dict[int, CacheActor] = {}
        self.connected_actors: set[CacheActor] = set()  # those that have connections; thousands may be listed
        self.connections_by_last_use: OrderedDict[Connection, None] = (
            OrderedDict()
        )  # all connections, unused for longest first
        self.dialer: Dialer | None = None  # where the operators' file has several addresses a machine
        self.are_decisions_stale: Callable[[], bool] | None = (
            None  # whether what was decided before may not hold any more
        )
        self.pool.on_release = self.on_buffers_released

    @property
    def config(self) -> FrontConfig:
        return self.means.config

    def on_buffers_released(self) -> None:
        while self.buffer_waiters:
            room = self.buffer_waiters.popleft()
            if not room.done():
                room.set_result(None)

    def connection_limit(self) -> int:
        """How many connections one machine may have while others have some too."""
        return max(self.descriptors.max_caches // (len(self.connected_actors) + 1), 1)

    def ensure_descriptor(self) -> bool:
        """Whether there is one for a connection more; the one unused for longest goes where there is none."""
        if self.descriptors.caches < self.descriptors.max_caches:
            return True
        oldest = next(
            (connection for connection in self.connections_by_last_use if connection.is_unused), None
        )
        if oldest is None:
            return False
        at_once = oldest.is_idle  # else its writer waits for the socket
        oldest.close()
        if at_once and oldest.sock is not None:  # its tasks end after the new one is dialled
            oldest.has_reader = False
            close_at_once(oldest.sock)
        return True

    async def allocate_body(self, length: int) -> PooledBody:
        """Buffers for so many bytes; nothing more is read from the connection until they are there."""
        while (body := PooledBody.allocate(self.pool, length)) is None:
            self.checks.count("buffer_waits")
            self.free_buffers()
            freed = asyncio.get_running_loop().create_future()
            self.buffer_waiters.append(freed)
            await freed
        return body
