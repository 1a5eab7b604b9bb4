"""Tracks which part of the log is on disk. Writes complete in the order in which they are issued."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True)
class PendingWrite:
    """A write that is not yet known to be on disk.

    Attributes:
        ticket: Number of the write.
        durable_index: Log index up to which the log is durable once this write is; lowered when entries are
            replaced.
        issued_at_ns: Monotonic time at which it was issued.
    """

    ticket: int
    durable_index: int
    issued_at_ns: int


class PersistenceProgress:
    """Tickets of writes, and the log index up to which everything is on disk.

    Attributes:
        durable_index: Log index up to which all entries are on disk.
        last_ticket: Ticket of the newest write.
        pending: Writes that are not yet known to be on disk, oldest first.
    """

    def __init__(self, durable_index: int) -> None:
        self.durable_index = durable_index
        self.last_ticket = 0
        self.pending = deque[PendingWrite]()

    def issue(self, last_index: int, now_ns: int) -> int:
        """Return the ticket of a new write, after which the log is on disk up to `last_index`."""
        self.last_ticket += 1
        self.pending.append(PendingWrite(self.last_ticket, last_index, now_ns))
        return self.last_ticket

    def complete(self, ticket: int) -> None:
        """Record that all writes up to `ticket` are on disk."""
        while self.pending and self.pending[0].ticket <= ticket:
            self.durable_index = self.pending.popleft().durable_index

    def truncate(self, last_index: int) -> None:
        """Record that entries after `last_index` were replaced, so pending writes of them are void."""
        for write in self.pending:
            write.durable_index = min(write.durable_index, last_index)
        self.durable_index = min(self.durable_index, last_index)

    def reset(self) -> None:
        """Record that the whole log was replaced."""
        self.truncate(0)

    @property
    def required_ticket(self) -> int:
        """Ticket that a message which depends on all earlier writes must wait for; 0 if none is pending."""
        return self.last_ticket if self.pending else 0

    def is_stalled(self, now_ns: int, timeout_ns: int) -> bool:
        """Whether the oldest pending write was issued at least `timeout_ns` ago."""
        return bool(self.pending) and now_ns - self.pending[0].issued_at_ns >= timeout_ns
