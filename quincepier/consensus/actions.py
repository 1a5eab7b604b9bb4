"""What the Raft core asks its caller to do."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.state.voter_records import Record


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send an encoded message to a voter, once the write that it depends on is on disk.

    Attributes:
        to: Name of the receiver.
        data: The encoded message.
        after_ticket: Ticket of the `PersistRecords` that must be on disk before; 0: none.
    """

    to: str
    data: bytes
    after_ticket: int


@dataclass(slots=True, frozen=True)
class PersistRecords:
    """Write records to disk, in the order of the tickets, and report it with `Raft.on_persisted`."""

    ticket: int
    records: tuple[Record, ...]


@dataclass(slots=True, frozen=True)
class EntryCommitted:
    """Apply a committed entry; of a snapshot only its newest data is given."""

    index: int
    term: int
    data: bytes


@dataclass(slots=True, frozen=True)
class LeaderChanged:
    """The leader or the term that this voter knows has changed; `leader` is None while it knows none."""

    leader: str | None
    term: int


Action = SendMessage | PersistRecords | EntryCommitted | LeaderChanged
