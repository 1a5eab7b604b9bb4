"""Buffers of one size, used again, with a hard cap; and objects kept in them."""

from __future__ import annotations

from collections.abc import Callable, Iterator

BUFFER_SIZE = 16_384


class BufferPool:
    def __init__(self, most: int, reserve: int = 0) -> None:
        self.most, self.made = most, 0
        self.reserve = reserve  # left for connections to read into, whatever objects are held
        self.free: list[bytearray] = []
        self.on_free: Callable[[], None] | None = None  # told when buffers come back

    @property
    def used(self) -> int:
        return self.made - len(self.free)

    def take(self, count: int = 1, reserve: int = 0) -> list[bytearray] | None:
        """So many buffers, or None where the cap less the reserve leaves fewer."""
        if self.used + count > self.most - reserve:
            return None
        taken = [self.free.pop() for _ in range(min(count, len(self.free)))]
        while len(taken) < count:
            taken.append(bytearray(BUFFER_SIZE))
            self.made += 1
        return taken

    def give(self, buffers: list[bytearray]) -> None:
        self.free += buffers
        if buffers and self.on_free is not None:
            self.on_free()
        buffers.clear()


class PooledBody:
    """One object's bytes in buffers of the pool, all of them taken at once; given back by `release`."""

    def __init__(self, pool: BufferPool, buffers: list[bytearray]) -> None:
        self.pool, self.buffers, self.length = pool, buffers, 0

    @classmethod
    def of_length(cls, pool: BufferPool, length: int) -> PooledBody | None:
        """Room for so many bytes, or None where the pool has too little."""
        buffers = pool.take(-(-length // BUFFER_SIZE), pool.reserve)
        return None if buffers is None else cls(pool, buffers)

    def append(self, data: bytes | memoryview) -> None:
        at, size = 0, len(data)
        while at < size:
            buffer, inside = divmod(self.length, BUFFER_SIZE)
            part = min(size - at, BUFFER_SIZE - inside)
            self.buffers[buffer][inside : inside + part] = data[at : at + part]
            self.length += part
            at += part

    def chunks(self) -> Iterator[memoryview]:
        left = self.length
        for buffer in self.buffers:
            if left <= 0:
                break
            yield memoryview(buffer)[: min(left, BUFFER_SIZE)]
            left -= BUFFER_SIZE

    def release(self) -> None:
        self.length = 0
        self.pool.give(self.buffers)
