"""Which part of the log is on disk, as writes complete in the order in which they were issued."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True)
class PendingWrite:
    """A write that is not known to be on disk.

    Attributes:
        ticket: Number of the write.
        durable_index: Log index that is durable once this write is; lowered where entries are replaced.
        issued_at_ns: When it was issued.
    """

    ticket: int
    durable_index: int
    issued_at_ns: int


class PersistenceProgress:
    """Tickets of writes, and the log index up to which everything is on disk."""

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
        """All writes up to `ticket` are on disk."""
        while self.pending and self.pending[0].ticket <= ticket:
            self.durable_index = self.pending.popleft().durable_index

    def truncate(self, last_index: int) -> None:
        """Entries after `last_index` were replaced: writes under way that hold them count for nothing."""
        for write in self.pending:
            write.durable_index = min(write.durable_index, last_index)
        self.durable_index = min(self.durable_index, last_index)

    def reset(self) -> None:
        """The whole log was replaced."""
        self.truncate(0)

    @property
    def required_ticket(self) -> int:
        """Ticket that a message which depends on earlier writes has to wait for; 0: none is pending."""
        return self.last_ticket if self.pending else 0

    def is_stalled(self, now_ns: int, timeout_ns: int) -> bool:
        """Whether the oldest write has been pending for `timeout_ns`."""
        return bool(self.pending) and now_ns - self.pending[0].issued_at_ns >= timeout_ns
