"""The words of voters among themselves: msgpack, bounded, checked before anything is believed.

Each word names its sender, that one's identity and start, and the identity it is for: a word to a voter as it
was before it lost its folder is for nobody. The trust boundary is the network, as for membership.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from quincepier.consensus.errors import ConsensusError
from quincepier.errors import Inflicted
from quincepier.state.voter_records import Configuration, LogEntry, Name, Number, Snapshot

VERSION = 1
ENTRIES_MOST, BATCH_MOST = 64, 1 << 20  # entries of one word, and bytes after which no further one is added
MAX_MESSAGE_BYTES = (1 << 21) + 4096  # bytes
Any_ = Annotated[str, msgspec.Meta(max_length=32)]


class InvalidMessageError(Inflicted, ConsensusError, ValueError):
    """A word that is none of ours; it is dropped and counted."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """I am here under this identity, and these are the voters that I know (none: never told)."""

    roster: Configuration = ()


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Vote for me in `term`; `pre`: would you? (thesis 9.6)"""

    pre: bool
    term: Number
    last_index: Number
    last_term: Number


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    pre: bool
    term: Number  # of the question
    granted: bool


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Entries after (prev_index, prev_term); none: the leader's beat."""

    at: Number  # the leader's monotonic nanoseconds; comes back with the answer
    prev_index: Number
    prev_term: Number
    commit: Number
    lines: Annotated[tuple[LogEntry, ...], msgspec.Meta(max_length=ENTRIES_MOST)] = ()


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    at: Number
    taken: bool
    match: Number  # the log is the leader's up to here; not taken: try after this
    last: Number  # last index of the log
    number: Number  # of this answer, by the process that gives it: words may come in another order


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag=5):
    at: Number
    base: Snapshot


class StorageRollback(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """An older copy of your folder was put back: you forgot what you promised."""

    starts: Number
    nonce: Number


Body = (
    Hello
    | RequestVote
    | VoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | StorageRollback
)


class Message(msgspec.Struct, frozen=True, array_like=True):
    version: int
    name: Name
    identity: Any_
    starts: Number
    nonce: Number
    to: Any_  # identity of the receiver; "" for Hello
    term: Number  # the sender's
    body: Body


_decode = msgspec.msgpack.Decoder(Message).decode
encode = msgspec.msgpack.Encoder().encode


def decode(raw: bytes, sender: str) -> Message:
    """BadWord for anything that is not a whole word of this version by this sender."""
    if len(raw) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError("too long")
    try:
        word = _decode(raw)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise InvalidMessageError(str(error)[:100]) from None
    if word.version != VERSION or word.name != sender:
        raise InvalidMessageError("of another version or sender")
    if isinstance(word.body, AppendEntries):
        want = word.body.prev_index
        term = word.body.prev_term
        for line in word.body.lines:
            want += 1
            if line.index != want or line.term < term or line.term > word.term:
                raise InvalidMessageError("entries out of order")
            term = line.term
    return word
