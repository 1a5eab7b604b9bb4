"""What fronts say to each other about rule versions, as msgpack; a word that can't be read is dropped.

A follower says `Report`; whoever leads answers `Granted`, with the newest version where the follower lacks
it; any other voter answers `Turn`. `Told` goes to all as a version is agreed: adoption waits for no report.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from quincepier.rules import LeaseGrant, LeaseRequest
from quincepier.rules.version import MAX_VERSION_BYTES

CONSENSUS_CHANNEL, RULES_CHANNEL, CONSISTENCY_CHANNEL = (
    1,
    2,
    3,
)  # channels: voters among themselves, these words, digests
MAX_MESSAGE_BYTES = MAX_VERSION_BYTES + 4096
Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Name = Annotated[str, msgspec.Meta(max_length=64)]


class ReportMessage(msgspec.Struct, frozen=True, array_like=True, tag=1):
    request: LeaseRequest


class LeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    term: Number
    grant: LeaseGrant
    version_bytes: bytes = b""  # the version that the grant names, where the report was of another


class NotLeader(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Not here: `leader` leads as far as known, "" for nobody."""

    token: Number
    leader: Name


class VersionCommitted(msgspec.Struct, frozen=True, array_like=True, tag=4):
    term: Number
    version_bytes: bytes


Message = ReportMessage | LeaseGranted | NotLeader | VersionCommitted
encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def decode(raw: bytes) -> Message | None:
    if len(raw) > MAX_MESSAGE_BYTES:
        return None
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
