"""Hands out the buffers of response bodies in the order of requests, so that no size of body is starved.

A response that finds too few free buffers waits, and nothing more is read from its connection meanwhile: the
cache is slowed down by TCP's flow control until clients have taken enough of the earlier responses.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from quincepier.checks import Checks
from quincepier.memory.buffer_pool import BufferPool, PooledBody

BodyFuture = asyncio.Future[PooledBody | None]


class BodyAllocator:
    """Allocates bodies from the buffer pool; callers wait in order while the pool has too few buffers.

    Args:
        pool: The buffer pool.
        checks: Counts the waits.

    Attributes:
        length_by_waiter: The length that each waiting caller needs, bytes, by its future, in their order.
    """

    def __init__(self, pool: BufferPool, checks: Checks) -> None:
        self.pool, self.checks = pool, checks
        self.length_by_waiter: OrderedDict[BodyFuture, int] = OrderedDict()
        pool.on_release = self._on_buffers_released

    @property
    def is_short(self) -> bool:
        """Whether a caller waits for buffers."""
        return bool(self.length_by_waiter)

    def try_allocate(self, length: int) -> PooledBody | None:
        """Return an empty body for up to `length` bytes, or None if the caller has to wait.

        It also has to wait while others do, so that small bodies don't overtake large ones for good.
        """
        return None if self.is_short else PooledBody.allocate(self.pool, length)

    def enqueue(self, length: int) -> BodyFuture:
        """Return a future of a body for `length` bytes; `withdraw` ends the wait without one."""
        self.checks.count("buffer_waits")
        waiter: BodyFuture = asyncio.get_running_loop().create_future()
        self.length_by_waiter[waiter] = length
        return waiter

    def withdraw(self, waiter: BodyFuture) -> None:
        """End a wait: the future's result is None, unless it has its body already."""
        self.length_by_waiter.pop(waiter, None)
        if not waiter.done():
            waiter.set_result(None)
        self._on_buffers_released()  # the next caller may need fewer buffers

    async def wait(self, waiter: BodyFuture) -> PooledBody | None:
        """Return the body of a waiting caller, or None if it was withdrawn.

        A caller that is cancelled keeps no buffers.
        """
        try:
            return await waiter
        except asyncio.CancelledError:
            self.withdraw(waiter)
            if not waiter.cancelled() and (body := waiter.result()) is not None:
                body.release()
            raise

    def _on_buffers_released(self) -> None:
        """Give each waiting caller its body, in order, as far as the free buffers go."""
        while self.length_by_waiter:
            waiter, length = next(iter(self.length_by_waiter.items()))
            if not waiter.done():
                body = PooledBody.allocate(self.pool, length)
                if body is None:
                    return
                waiter.set_result(body)
            self.length_by_waiter.pop(waiter, None)
