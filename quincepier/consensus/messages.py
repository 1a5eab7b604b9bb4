"""Messages between voters: msgpack, bounded, and validated before anything is believed.

Each message names its sender, the sender's identity and process start, and the identity that it is meant
for: a message to a voter as it was before it lost its folder is for nobody. The trust boundary is the
network between the voters, as for membership.

Structs are encoded as arrays: field order and tags are the wire format.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from quincepier.consensus.errors import ConsensusError
from quincepier.errors import PeerInputError
from quincepier.state.voter_records import (
    Configuration,
    LogEntry,
    OptionalIdentity,
    Snapshot,
    Unsigned,
    VoterName,
)

VERSION = 1
MAX_ENTRIES_PER_MESSAGE = 64
MAX_BATCH_BYTES = 1 << 20  # after these no further entry is added to a message
MAX_MESSAGE_BYTES = (1 << 21) + 4096


class InvalidMessageError(PeerInputError, ConsensusError, ValueError):
    """Bytes that are not a message of this version by their sender; they are dropped and counted."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Announces the sender under its identity, with the configuration that it knows (none: not yet any)."""

    configuration: Configuration = ()


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a vote, or in a pre-vote whether a vote would be given (Raft 5.2; thesis 9.6)."""

    is_pre_vote: bool
    term: Unsigned  # of the election
    last_log_index: Unsigned
    last_log_term: Unsigned


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers RequestVote."""

    is_pre_vote: bool
    term: Unsigned  # of the request
    granted: bool


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Replicates the entries after the previous one; without entries it is a heartbeat (Raft 5.3)."""

    sent_at_ns: Unsigned  # the leader's monotonic clock; the response repeats it
    prev_log_index: Unsigned
    prev_log_term: Unsigned
    leader_commit: Unsigned
    entries: Annotated[tuple[LogEntry, ...], msgspec.Meta(max_length=MAX_ENTRIES_PER_MESSAGE)] = ()


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers AppendEntries and InstallSnapshot, once what it confirms is on disk."""

    sent_at_ns: Unsigned  # of the message that is answered
    success: bool
    match_index: Unsigned  # the log is the leader's up to here; without success: try after this index
    last_log_index: Unsigned
    sequence: Unsigned  # of this response in its process: the network may reorder them


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Transfers the leader's snapshot to a follower whose next entry is compacted (Raft 7)."""

    sent_at_ns: Unsigned
    snapshot: Snapshot


class StorageRollback(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Tells a voter that its folder was put back to an older copy: it forgot what it promised."""

    start_count: Unsigned  # of the process that is meant
    start_nonce: Unsigned


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
    """The envelope of every message."""

    version: int
    sender_name: VoterName
    sender_identity: OptionalIdentity
    start_count: Unsigned  # of the sender's process
    start_nonce: Unsigned  # tells two starts with the same count apart
    receiver_identity: OptionalIdentity  # "" in Hello to a voter that is not known yet
    term: Unsigned  # the sender's
    body: Body


_decode = msgspec.msgpack.Decoder(Message).decode
encode = msgspec.msgpack.Encoder().encode


def decode(raw: bytes, sender: str) -> Message:
    """Decode and validate a message.

    Args:
        raw: The bytes as received.
        sender: Name of the voter that the transport received them from.

    Returns:
        The message.

    Raises:
        InvalidMessageError: If it is not a whole message of this version by that sender.
    """
    if len(raw) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError("too long")
    try:
        message = _decode(raw)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise InvalidMessageError(str(error)[:100]) from None
    if message.version != VERSION or message.sender_name != sender:
        raise InvalidMessageError("of another version or sender")
    if isinstance(message.body, AppendEntries):
        _check_entry_order(message.body, message.term)
    return message


def _check_entry_order(request: AppendEntries, leader_term: int) -> None:
    """Indexes follow one another; terms never fall nor exceed the leader's."""
    term = request.prev_log_term
    for index, entry in enumerate(request.entries, request.prev_log_index + 1):
        if entry.index != index or entry.term < term or entry.term > leader_term:
            raise InvalidMessageError("entries out of order")
        term = entry.term
