"""One direction of a path: what a fault of the net does to bytes and datagrams. No I/O, no clock, seeded."""

from __future__ import annotations

import random
from dataclasses import dataclass

MS, SECOND = 1_000_000, 1_000_000_000
SHUFFLED = 50 * MS  # the most that a datagram of changed order is late


@dataclass(slots=True)
class Way:
    """Times in nanoseconds; `rate` in bytes a second, 0 without bound; parts of datagrams from 0 to 1."""

    delay: int = 0
    rate: float = 0.0
    held: bool = False  # nothing goes through; of a connection it goes on at the heal, as TCP sends again
    loss: float = 0.0
    repeat: float = 0.0
    shuffle: float = 0.0
    last: int = 0  # when the bytes before these went on: a stream keeps its order

    @property
    def plain(self) -> bool:
        return not (self.delay or self.rate or self.held)

    def bytes_due(self, now: int, size: int, chance: random.Random) -> int:
        """When bytes of a connection that come now go on. Not to be asked of a way that is held."""
        due = now + (int(self.delay * chance.uniform(1, 1.5)) if self.delay else 0)
        if self.rate:
            due = max(due, self.last + int(size / self.rate * SECOND))
        self.last = max(due, self.last)
        return self.last

    def datagrams(self, now: int, chance: random.Random) -> list[int]:
        """When a datagram that comes now goes on: none where it is lost, two where it is repeated."""
        if self.held or chance.random() < self.loss:
            return []
        due = [now + (int(self.delay * chance.uniform(1, 1.5)) if self.delay else 0)]
        if chance.random() < self.shuffle:
            due[0] += int(chance.uniform(0, 1) * SHUFFLED)
        if chance.random() < self.repeat:
            due.append(due[0] + int(chance.uniform(0, 1) * MS))
        return due
