"""The datagrams between fronts: msgpack arrays of at most 1,400 bytes, checked before anything is believed.

The trust boundary is the network: whoever may send from a listed network is believed. Words of another fleet
or version are refused here.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from quincepier.errors import Inflicted

VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # bytes: one frame of an Ethernet, with what goes round it
MAX_FULL_STATE_BYTES = 4 * 1024 * 1024  # bytes of a whole view, over TCP
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Millis = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
Address = tuple[Host, Port]


class InvalidMessageError(Inflicted, ValueError):
    """A datagram that is none of ours; it is dropped and counted."""

    code = "QP-MEMBERS"
    remedy = "check that `members.fleet` and the build are alike at all fronts, and who else sends there"


class MessageKind(IntEnum):
    PING = 0
    ASK = 1  # probe that member for me
    ACK = 2
    NACK = 3  # the member that you asked for does not answer me either
    LEAVE = 4


class MembershipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """One claim about a member. Its age travels, never a time."""

    name: Name
    address: Address
    incarnation: Number
    standing: Annotated[int, msgspec.Meta(ge=0, le=3)]
    age_ms: Millis  # of the accusation
    by: Annotated[str, msgspec.Meta(max_length=64)] = ""  # who accuses


class Message(msgspec.Struct, frozen=True, array_like=True):
    version: int
    fleet: Name
    kind: MessageKind
    number: Number  # of the probe
    name: Name  # the sender
    address: Address
    incarnation: Number
    about: Annotated[str, msgspec.Meta(max_length=64)] = ""  # of ASK, and of an ACK or NACK to it
    news: Annotated[tuple[MembershipUpdate, ...], msgspec.Meta(max_length=100)] = ()


class FullState(msgspec.Struct, frozen=True, array_like=True):
    """All that a front believes, for an exchange."""

    version: int
    fleet: Name
    news: Annotated[tuple[MembershipUpdate, ...], msgspec.Meta(max_length=100_000)]


_words, _whole = msgspec.msgpack.Decoder(Message), msgspec.msgpack.Decoder(FullState)
_encode = msgspec.msgpack.Encoder().encode


def encode(words: Message | FullState) -> bytes:
    return _encode(words)


def size_of(news: MembershipUpdate) -> int:
    return len(_encode(news))


def decode(raw: bytes, fleet: str) -> Message:
    """The words of a datagram; BadWords for anything that is not of this fleet and version."""
    if len(raw) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError("a datagram over 1,400 bytes")
    try:
        words = _words.decode(raw)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise InvalidMessageError(str(error)[:100]) from None
    if words.version != VERSION or words.fleet != fleet:
        raise InvalidMessageError("of another version or fleet")
    return words


def decode_full_state(raw: bytes, fleet: str) -> FullState:
    if len(raw) > MAX_FULL_STATE_BYTES:
        raise InvalidMessageError("a whole view over 4 MiB")
    try:
        whole = _whole.decode(raw)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise InvalidMessageError(str(error)[:100]) from None
    if whole.version != VERSION or whole.fleet != fleet:
        raise InvalidMessageError("of another version or fleet")
    return whole
