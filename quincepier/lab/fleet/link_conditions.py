"""Effects of network faults on one direction of a path, for streams and datagrams. No I/O and no clock."""

from __future__ import annotations

import random
from dataclasses import dataclass

MS, SECOND = 1_000_000, 1_000_000_000
MAX_REORDER_DELAY_NS = 50 * MS


@dataclass(slots=True)
class LinkConditions:
    """Current conditions of one direction.

    Attributes:
        delay_ns: Least added delay; the delay drawn is up to 1.5 times as long.
        rate_bytes_per_s: Throughput limit of a stream, 0 without limit.
        is_held: Nothing passes. Stream data is kept until the fault ends, as TCP retransmits it.
        loss: Share of datagrams lost, from 0 to 1.
        repeat: Share of datagrams duplicated.
        shuffle: Share of datagrams delayed at random, so that they are reordered.
        last_due_ns: When the previous bytes were due; a stream keeps its order.
    """

    delay_ns: int = 0
    rate_bytes_per_s: float = 0.0
    is_held: bool = False
    loss: float = 0.0
    repeat: float = 0.0
    shuffle: float = 0.0
    last_due_ns: int = 0

    @property
    def is_transparent(self) -> bool:
        """Whether stream bytes pass at once."""
        return not (self.delay_ns or self.rate_bytes_per_s or self.is_held)

    def schedule_bytes(self, now: int, size: int, chance: random.Random) -> int:
        """Return when stream bytes that arrive now are delivered, in ns; only valid if not held."""
        due = now + (int(self.delay_ns * chance.uniform(1, 1.5)) if self.delay_ns else 0)
        if self.rate_bytes_per_s:
            due = max(due, self.last_due_ns + int(size / self.rate_bytes_per_s * SECOND))
        self.last_due_ns = max(due, self.last_due_ns)
        return self.last_due_ns

    def schedule_datagram(self, now: int, chance: random.Random) -> list[int]:
        """Return when a datagram that arrives now is delivered, in ns: no time if lost, two if duplicated."""
        if self.is_held or chance.random() < self.loss:
            return []
        due = [now + (int(self.delay_ns * chance.uniform(1, 1.5)) if self.delay_ns else 0)]
        if chance.random() < self.shuffle:
            due[0] += int(chance.uniform(0, 1) * MAX_REORDER_DELAY_NS)
        if chance.random() < self.repeat:
            due.append(due[0] + int(chance.uniform(0, 1) * MS))
        return due
