"""A bounded pool of equally sized buffers, and object bodies stored in them."""

from __future__ import annotations

from collections.abc import Callable, Iterator

BUFFER_SIZE = 16_384
"""Bytes of one buffer."""


class BufferPool:
    """Reusable buffers of `BUFFER_SIZE` bytes, with a hard limit on their number.

    Args:
        max_buffers: Limit on the buffers allocated at any time.
        reserved: Buffers of that limit which bodies may not use, so that connections can always read.

    Attributes:
        allocated: Buffers allocated so far, in use or free.
        on_release: Called after buffers were released, if set.
    """

    def __init__(self, max_buffers: int, reserved: int = 0) -> None:
        self.max_buffers = max_buffers
        self.reserved = reserved
        self.allocated = 0
        self.on_release: Callable[[], None] | None = None
        self._free: list[bytearray] = []

    @property
    def used(self) -> int:
        """Buffers that are in use now."""
        return self.allocated - len(self._free)

    def acquire(self, count: int = 1, reserved: int = 0) -> list[bytearray] | None:
        """Take buffers out of the pool, all or none.

        Args:
            count: Number of buffers.
            reserved: Buffers of the limit which must stay available to others.

        Returns:
            The buffers, or None if the limit does not allow that many.
        """
        if self.used + count > self.max_buffers - reserved:
            return None
        acquired = [self._free.pop() for _ in range(min(count, len(self._free)))]
        while len(acquired) < count:
            acquired.append(bytearray(BUFFER_SIZE))
            self.allocated += 1
        return acquired

    def release(self, buffers: list[bytearray]) -> None:
        """Give buffers back. The list is cleared, so releasing it again has no effect."""
        self._free += buffers
        if buffers and self.on_release is not None:
            self.on_release()
        buffers.clear()


class PooledBody:
    """The bytes of one object, in buffers of a pool that are acquired together."""

    def __init__(self, pool: BufferPool, buffers: list[bytearray]) -> None:
        self.pool = pool
        self.buffers = buffers
        self.length = 0

    @classmethod
    def allocate(cls, pool: BufferPool, length: int) -> PooledBody | None:
        """Return an empty body for up to `length` bytes, or None if the pool has too few free buffers."""
        buffers = pool.acquire(-(-length // BUFFER_SIZE), pool.reserved)
        return None if buffers is None else cls(pool, buffers)

    def append(self, data: bytes | memoryview) -> None:
        """Copy `data` to the end of the body."""
        copied = 0
        while copied < len(data):
            index, offset = divmod(self.length, BUFFER_SIZE)
            size = min(len(data) - copied, BUFFER_SIZE - offset)
            self.buffers[index][offset : offset + size] = data[copied : copied + size]
            self.length += size
            copied += size

    def take_chunks(self) -> Iterator[memoryview]:
        """Yield the bytes, one view a buffer; a buffer goes back to the pool when the next one is taken."""
        while self.length > 0:
            size = min(self.length, BUFFER_SIZE)
            yield memoryview(self.buffers[0])[:size]
            if not self.buffers:  # released in the meantime
                return
            self.length -= size
            self.pool.release([self.buffers.pop(0)])

    def release(self) -> None:
        """Give the buffers back to the pool; calling it again has no effect."""
        self.length = 0
        self.pool.release(self.buffers)
