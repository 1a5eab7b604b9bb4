"""Messages between fronts about rule versions, as msgpack arrays; one that can't be decoded is dropped.

A follower sends `ReportMessage`; the leader answers `LeaseGranted`, with the newest version where the
follower lacks it; any other voter answers `NotLeader`. `VersionCommitted` goes to all as a version is
committed: adoption waits for no report.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from quincepier.rules import LeaseGrant, LeaseRequest
from quincepier.rules.version import MAX_NAME_LENGTH, MAX_VERSION_BYTES

# Channels of the peer network: between voters, the messages below, and digests of decisions.
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
    """The leader's answer to a report.

    Attributes:
        term: Of the leader.
        grant: The lease.
        version_bytes: The version that the grant names, where the report was of another; else empty.
    """

    term: Number
    grant: LeaseGrant
    version_bytes: bytes = b""


class NotLeader(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The answer of a voter that does not lead.

    Attributes:
        token: Of the request.
        leader: Who leads as far as it knows, "" for nobody.
    """

    token: Number
    leader: OptionalName


class VersionCommitted(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A version was committed in a term."""

    term: Number
    version_bytes: bytes


Message = ReportMessage | LeaseGranted | NotLeader | VersionCommitted
encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def decode(raw: bytes) -> Message | None:
    """Decode a message; None for bytes that are none."""
    if len(raw) > MAX_MESSAGE_BYTES:
        return None
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
