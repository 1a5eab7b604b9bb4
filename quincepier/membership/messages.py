"""The protocol's messages: msgpack arrays in datagrams of at most 1,400 bytes, and the full state over TCP.

The trust boundary is the network: senders within a listed network are trusted. Messages that are malformed,
out of bounds, or from another fleet or version are rejected here, before their content is used.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec

from quincepier.errors import PeerInputError

VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # one Ethernet frame, less the headers around it
MAX_FULL_STATE_BYTES = 4 * 1024 * 1024
MAX_REASON_LENGTH = 100  # characters of the decoder's error text that are kept

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
OptionalName = Annotated[str, msgspec.Meta(max_length=64)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
Address = tuple[Host, Port]


class InvalidMessageError(PeerInputError, ValueError):
    """A datagram or full state is invalid; it is dropped and counted."""

    code = "QP-MEMBERS"
    remedy = "check that `members.fleet` and the build are alike at all fronts, and who else sends there"


class MessageKind(IntEnum):
    """The kind of a datagram: SWIM, section 3.1, and Lifeguard's nack."""

    PING = 0
    PING_REQUEST = 1  # probe the target on the sender's behalf
    ACK = 2
    NACK = 3  # the target of a ping request did not answer the helper either
    LEAVE = 4  # the sender leaves the fleet


class MembershipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An assertion about a member, spread by gossip. It carries ages rather than times, as clocks differ."""

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
    sequence_number: Number  # identifies the probe
    sender: Name
    address: Address  # the address that the sender announces
    incarnation: Number  # of the sender
    target: OptionalName = ""  # the member to be probed, in a ping request or the answer to it
    updates: Annotated[tuple[MembershipUpdate, ...], msgspec.Meta(max_length=100)] = ()


class FullState(msgspec.Struct, frozen=True, array_like=True):
    """The complete member table of a front, exchanged over a stream (push/pull)."""

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
    """Returns the encoded size of an update in bytes."""
    return len(_encoder.encode(update))


def decode(data: bytes, fleet: str) -> Message:
    """Decodes a datagram.

    Args:
        data: The datagram.
        fleet: The expected fleet name.

    Raises:
        InvalidMessageError: It is too long, malformed, or from another fleet or version.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError("datagram exceeds 1,400 bytes")
    return _decode(_message_decoder, data, fleet)


def decode_full_state(data: bytes, fleet: str) -> FullState:
    """Decodes a full state.

    Args:
        data: The bytes received over the stream.
        fleet: The expected fleet name.

    Raises:
        InvalidMessageError: It is too long, malformed, or from another fleet or version.
    """
    if len(data) > MAX_FULL_STATE_BYTES:
        raise InvalidMessageError("full state exceeds 4 MiB")
    return _decode(_full_state_decoder, data, fleet)


def _decode(decoder: msgspec.msgpack.Decoder[_Decoded], data: bytes, fleet: str) -> _Decoded:
    try:
        message = decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise InvalidMessageError(str(error)[:MAX_REASON_LENGTH]) from None
    if message.version != VERSION or message.fleet != fleet:
        raise InvalidMessageError("message has another version or fleet name")
    return message
