"""Messages between voters: msgpack of bounded size, validated before use.

Each message names its sender, the sender's identity and process start, and the identity of its receiver. A
message to the identity that a voter had before it lost its folder is dropped. The trust boundary is the
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
MAX_BATCH_BYTES = 1 << 20  # of entry data in one message; only a single entry may be larger
MAX_MESSAGE_BYTES = (1 << 21) + 4096


class InvalidMessageError(PeerInputError, ConsensusError, ValueError):
    """Not a valid message of this version from the expected sender; it is dropped and counted."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Announces the sender under its identity, with the configuration that it knows (empty if none yet)."""

    configuration: Configuration = ()


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests a vote, or asks in a pre-vote whether a vote would be granted (Raft 5.2; thesis 9.6)."""

    is_pre_vote: bool
    term: Unsigned  # of the election that the vote is for
    last_log_index: Unsigned
    last_log_term: Unsigned


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers RequestVote."""

    is_pre_vote: bool
    term: Unsigned  # as in the request
    granted: bool


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Replicates the entries after the previous one; without entries it is a heartbeat (Raft 5.3)."""

    sent_at_ns: Unsigned  # the leader's monotonic clock; the response repeats it
    prev_log_index: Unsigned
    prev_log_term: Unsigned
    leader_commit: Unsigned
    entries: Annotated[tuple[LogEntry, ...], msgspec.Meta(max_length=MAX_ENTRIES_PER_MESSAGE)] = ()


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answers AppendEntries and InstallSnapshot, once the entries that it confirms are on disk."""

    sent_at_ns: Unsigned  # as in the answered message
    success: bool
    match_index: Unsigned  # the log matches the leader's up to here; without success: retry after this index
    last_log_index: Unsigned
    sequence: Unsigned  # counts the responses of this process, as the network may reorder them


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Transfers the leader's snapshot to a follower whose next entry is compacted (Raft 7)."""

    sent_at_ns: Unsigned
    snapshot: Snapshot


class StorageRollback(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Notifies a voter that its folder was replaced by an older copy, so its votes may be lost."""

    start_count: Unsigned  # of the process start that uses the older copy
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
    start_nonce: Unsigned  # distinguishes two starts with the same count
    receiver_identity: OptionalIdentity  # "" in Hello to a voter whose identity is not known yet
    term: Unsigned  # the sender's
    body: Body


_decode = msgspec.msgpack.Decoder(Message).decode
encode = msgspec.msgpack.Encoder().encode


def decode(raw: bytes, sender: str) -> Message:
    """Decode and validate a message.

    Args:
        raw: The bytes as received.
        sender: Name of the voter that sent them, by the transport.

    Returns:
        The message.

    Raises:
        InvalidMessageError: If it is not a valid message of this version from that sender.
    """
    if len(raw) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError("message too long")
    try:
        message = _decode(raw)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise InvalidMessageError(str(error)[:100]) from None
    if message.version != VERSION or message.sender_name != sender:
        raise InvalidMessageError("message of another version or from another sender")
    if isinstance(message.body, AppendEntries):
        _check_entry_order(message.body, message.term)
    return message


def _check_entry_order(request: AppendEntries, leader_term: int) -> None:
    """Check that indexes are consecutive and that terms neither decrease nor exceed the leader's."""
    term = request.prev_log_term
    for index, entry in enumerate(request.entries, request.prev_log_index + 1):
        if entry.index != index or entry.term < term or entry.term > leader_term:
            raise InvalidMessageError("log entries out of order")
        term = entry.term
