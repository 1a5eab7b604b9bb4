"""Messages between fronts about rule versions, as msgpack arrays; undecodable messages are dropped.

A follower sends `ReportMessage`. The leader responds with `LeaseGranted`, including the newest version if the
follower lacks it; any other voter responds with `NotLeader`. When a version is committed, `VersionCommitted`
is sent to all fronts, so that adoption does not wait for the next report.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from quincepier.rules import LeaseGrant, LeaseRequest
from quincepier.rules.version import MAX_NAME_LENGTH, MAX_VERSION_BYTES

# Channels of the peer network: for messages between voters, the messages below, and digests of decisions.
CONSENSUS_CHANNEL = 1
RULES_CHANNEL = 2
CONSISTENCY_CHANNEL = 3
MAX_MESSAGE_BYTES = MAX_VERSION_BYTES + 4096
Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
OptionalName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class ReportMessage(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A follower's report and request for a lease."""

    request: LeaseRequest


class LeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The leader's response to a report.

    Attributes:
        term: The leader's term.
        grant: The lease.
        version_bytes: The encoded version that the grant names, if the report named another; otherwise
            empty.
    """

    term: Number
    grant: LeaseGrant
    version_bytes: bytes = b""


class NotLeader(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The response of a voter that does not lead.

    Attributes:
        token: The token of the request.
        leader: The leader known to this voter; "" if none is known.
    """

    token: Number
    leader: OptionalName


class VersionCommitted(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reports that a version was committed.

    Attributes:
        term: The term of the committed entry.
        version_bytes: The encoded version.
    """

    term: Number
    version_bytes: bytes


Message = ReportMessage | LeaseGranted | NotLeader | VersionCommitted
encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def decode(raw: bytes) -> Message | None:
    """Decode a message; return None for invalid bytes."""
    if len(raw) > MAX_MESSAGE_BYTES:
        return None
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
