"""What a voter keeps: who it is and voted for, the newest committed whole, and the log after that. No I/O.

A voter of one name that lost its folder begins under a new identity, so to all others it is another voter
(Ongaro's thesis, chapter 4: servers of a changed configuration are other servers).
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

DATA_MOST = (1 << 20) + 64  # bytes of one entry: an encoded rule version
VOTERS_MOST = 7
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Identity = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
Data = Annotated[bytes, msgspec.Meta(max_length=DATA_MOST)]


class EntryKind(IntEnum):
    NOTHING = 0  # a leader's first entry of its term
    DATA = 1
    VOTERS = 2  # a change of the roster, of one voter


class Member(msgspec.Struct, frozen=True, array_like=True):
    name: Name
    identity: Identity


Configuration = Annotated[tuple[Member, ...], msgspec.Meta(max_length=VOTERS_MOST)]


class HardState(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Who this voter is and what it promised. A mark of another identity begins an empty log."""

    identity: Identity
    starts: Number  # how often a process took this folder up; told with each word
    term: Number
    vote: Annotated[str, msgspec.Meta(max_length=32)] = ""  # identity that was voted for in this term


class LogEntry(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An entry of the log; a line at an index takes the place of that one and of all after it."""

    index: Number
    term: Number
    kind: EntryKind
    data: Data = b""
    roster: Configuration = ()  # of VOTERS


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A snapshot: everything up to `index` is committed, and `data` is what was committed last in it."""

    index: Number
    term: Number
    roster: Configuration
    data_index: Number = 0  # 0: nothing was committed yet but the voters
    data_term: Number = 0
    data: Data = b""


Record = HardState | LogEntry | Snapshot


class VoterState(msgspec.Struct, frozen=True, array_like=True, tag="voter"):
    mark: HardState
    base: Snapshot | None = None  # None: this voter was never told who the voters are
    lines: tuple[LogEntry, ...] = ()


def merged(saved: VoterState | None, records: tuple[Record, ...]) -> VoterState | None:
    """What is kept once these are written: the one meaning of records, on the disk and in the laboratory."""
    mark, base = (saved.mark, saved.base) if saved else (None, None)
    lines = list(saved.lines) if saved else []
    for record in records:
        match record:
            case HardState():
                if mark is not None and mark.identity != record.identity:
                    base, lines = None, []
                mark = record
            case LogEntry():
                lines = [line for line in lines if line.index < record.index]
                lines.append(record)
            case Snapshot():
                # lines after a snapshot that this voter took over whole may be of another history
                known = next((line.term for line in lines if line.index == record.index), None)
                if base is not None and base.index == record.index:
                    known = base.term
                lines = [line for line in lines if line.index > record.index] if known == record.term else []
                base = record
    return None if mark is None else VoterState(mark, base, tuple(lines))
