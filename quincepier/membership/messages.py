"""The protocol's messages: msgpack arrays in datagrams of at most 1,400 bytes, and the full state over TCP.

The trust boundary is the network: whoever can send from a listed network is believed. Messages of another
fleet or version, malformed or out of bounds, are rejected here, before anything is believed.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec

from quincepier.errors import PeerInputError

VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # one Ethernet frame, less the headers around it
MAX_FULL_STATE_BYTES = 4 * 1024 * 1024
MAX_REASON_LENGTH = 100  # characters of a decoder's own error text

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
OptionalName = Annotated[str, msgspec.Meta(max_length=64)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
Address = tuple[Host, Port]


class InvalidMessageError(PeerInputError, ValueError):
    """A datagram or full state that can't be used; it is dropped and counted."""

    code = "QP-MEMBERS"
    remedy = "check that `members.fleet` and the build are alike at all fronts, and who else sends there"


class MessageKind(IntEnum):
    """What a datagram asks for or answers; SWIM, section 3.1, and Lifeguard's nack."""

    PING = 0
    PING_REQUEST = 1  # probe the target on the sender's behalf
    ACK = 2
    NACK = 3  # the target of a ping request does not answer the sender either
    LEAVE = 4


class MembershipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """One assertion about a member, passed on by gossip. Ages travel, never times."""

    name: Name
    address: Address
    incarnation: Number
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]  # a MemberState
    suspected_for_ms: Milliseconds
    suspected_by: OptionalName = ""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One datagram: a probe message with membership updates piggybacked on it."""

    version: int
    fleet: Name
    kind: MessageKind
    sequence_number: Number  # of the probe
    sender: Name
    address: Address  # of the sender, as it announces it
    incarnation: Number  # of the sender
    target: OptionalName = ""  # whom a ping request, or the answer to one, is about
    updates: Annotated[tuple[MembershipUpdate, ...], msgspec.Meta(max_length=100)] = ()


class FullState(msgspec.Struct, frozen=True, array_like=True):
    """All that a member knows, exchanged over a stream (push/pull)."""

    version: int
    fleet: Name
    updates: Annotated[tuple[MembershipUpdate, ...], msgspec.Meta(max_length=100_000)]


_Decoded = TypeVar("_Decoded", Message, FullState)
_message_decoder = msgspec.msgpack.Decoder(Message)
_full_state_decoder = msgspec.msgpack.Decoder(FullState)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message | FullState) -> bytes:
    """Encodes a datagram or a full state."""
    return _encoder.encode(message)


def encoded_size(update: MembershipUpdate) -> int:
    """Returns the bytes that an update takes in a message."""
    return len(_encoder.encode(update))


def decode(data: bytes, fleet: str) -> Message:
    """Decodes a datagram.

    Args:
        data: The datagram.
        fleet: The name of the fleet that it must come from.

    Raises:
        InvalidMessageError: It is too long, malformed, or of another fleet or version.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError("a datagram over 1,400 bytes")
    return _decode(_message_decoder, data, fleet)


def decode_full_state(data: bytes, fleet: str) -> FullState:
    """Decodes a full state.

    Args:
        data: What came over the stream.
        fleet: The name of the fleet that it must come from.

    Raises:
        InvalidMessageError: It is too long, malformed, or of another fleet or version.
    """
    if len(data) > MAX_FULL_STATE_BYTES:
        raise InvalidMessageError("a full state over 4 MiB")
    return _decode(_full_state_decoder, data, fleet)


def _decode(decoder: msgspec.msgpack.Decoder[_Decoded], data: bytes, fleet: str) -> _Decoded:
    try:
        message = decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise InvalidMessageError(str(error)[:MAX_REASON_LENGTH]) from None
    if message.version != VERSION or message.fleet != fleet:
        raise InvalidMessageError("of another version or fleet")
    return message
