"""The durable records of a Raft voter: hard state, log entries and snapshots (Raft, figure 2, section 7).

The field order and the tags of these structs are the stored format. This module does no I/O.

A voter is identified by its name together with an identity that is stored in its folder. A voter that lost
its folder starts under a new identity and is therefore a different server to all others (Ongaro's thesis,
chapter 4).
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

MAX_ENTRY_DATA_BYTES = (1 << 20) + 64  # an encoded rule version
MAX_VOTERS = 7
VoterName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
VoterIdentity = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
OptionalIdentity = Annotated[str, msgspec.Meta(max_length=32)]  # "" stands for none
Unsigned = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
EntryData = Annotated[bytes, msgspec.Meta(max_length=MAX_ENTRY_DATA_BYTES)]


class EntryKind(IntEnum):
    """The content of a log entry."""

    NO_OP = 0  # a leader's first entry of its term (Raft, section 8)
    DATA = 1
    CONFIGURATION = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One voter of a configuration."""

    name: VoterName
    identity: VoterIdentity


Configuration = Annotated[tuple[Member, ...], msgspec.Meta(max_length=MAX_VOTERS)]


class HardState(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Identity, term and vote. A record whose identity differs from the previous one starts an empty log."""

    identity: VoterIdentity
    start_count: Unsigned  # number of processes that have opened this folder; sent with each message
    term: Unsigned
    voted_for: OptionalIdentity = ""  # in `term`


class LogEntry(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An entry of the log. Writing one replaces the entry at its index and removes all after it."""

    index: Unsigned
    term: Unsigned
    kind: EntryKind
    data: EntryData = b""
    configuration: Configuration = ()  # set in entries of kind CONFIGURATION


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The committed log up to and including `index`, reduced to its newest data and configuration."""

    index: Unsigned
    term: Unsigned
    configuration: Configuration
    data_index: Unsigned = 0  # index of the newest committed data; 0 if none was committed yet
    data_term: Unsigned = 0
    data: EntryData = b""


Record = HardState | LogEntry | Snapshot


class VoterState(msgspec.Struct, frozen=True, array_like=True, tag="voter"):
    """The whole durable state of a voter."""

    hard_state: HardState
    snapshot: Snapshot | None = None  # None: this voter has never learned a configuration
    entries: tuple[LogEntry, ...] = ()


def apply_records(saved: VoterState | None, records: tuple[Record, ...]) -> VoterState | None:
    """Return the stored state after `records` are written; the only definition of a record's effect.

    Args:
        saved: The state before the records; None for an empty folder.
        records: The records in the order in which they were issued.

    Returns:
        The state after the records; None if no hard state has been written yet.
    """
    hard_state = saved.hard_state if saved else None
    snapshot = saved.snapshot if saved else None
    entries = list(saved.entries) if saved else []
    for record in records:
        match record:
            case HardState():
                if hard_state is not None and hard_state.identity != record.identity:
                    snapshot = None
                    entries = []
                hard_state = record
            case LogEntry():
                entries = [entry for entry in entries if entry.index < record.index]
                entries.append(record)
            case Snapshot():
                entries = _entries_after_snapshot(record, snapshot, entries)
                snapshot = record
    return None if hard_state is None else VoterState(hard_state, snapshot, tuple(entries))


def _entries_after_snapshot(
    snapshot: Snapshot, previous: Snapshot | None, entries: list[LogEntry]
) -> list[LogEntry]:
    """Return the remaining entries: all after the snapshot, if the log had the snapshot's last entry.

    Otherwise the log conflicts with the snapshot and is discarded (Raft, figure 13, steps 6 and 7).
    """
    known_term = next((entry.term for entry in entries if entry.index == snapshot.index), None)
    if previous is not None and previous.index == snapshot.index:
        known_term = previous.term
    if known_term != snapshot.term:
        return []
    return [entry for entry in entries if entry.index > snapshot.index]
