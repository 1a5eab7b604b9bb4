"""Actions that the Raft core returns for its caller to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.state.voter_records import Record


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send an encoded message to a voter once the writes that it depends on are on disk.

    Attributes:
        to: Name of the receiver.
        data: The encoded message.
        after_ticket: Ticket of the `PersistRecords` that must be on disk before the message is sent; 0 if
            there is none.
    """

    to: str
    data: bytes
    after_ticket: int


@dataclass(slots=True, frozen=True)
class PersistRecords:
    """Write records to disk, in the order of the tickets, and report the write with `Raft.on_persisted`."""

    ticket: int
    records: tuple[Record, ...]


@dataclass(slots=True, frozen=True)
class EntryCommitted:
    """Apply a committed entry. A snapshot is reported as one entry that holds its newest data."""

    index: int
    term: int
    data: bytes


@dataclass(slots=True, frozen=True)
class LeaderChanged:
    """The leader or the term known to this voter has changed; `leader` is None while no leader is known."""

    leader: str | None
    term: int


Action = SendMessage | PersistRecords | EntryCommitted | LeaderChanged
