"""What fronts say to each other about rule versions, as msgpack; a word that can't be read is dropped.

A follower says `Report`; whoever leads answers `Granted`, with the newest version where the follower lacks
it; any other voter answers `Turn`. `Told` goes to all as a version is agreed: adoption waits for no report.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from quincepier.rules import Ask, Grant
from quincepier.rules.version import VERSION_MOST

AGREEMENT, RULES, ALIKE = 1, 2, 3  # channels: voters among themselves, these words, digests
WORD_MOST = VERSION_MOST + 4096
Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Name = Annotated[str, msgspec.Meta(max_length=64)]


class Report(msgspec.Struct, frozen=True, array_like=True, tag=1):
    ask: Ask


class Granted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    term: Number
    grant: Grant
    raw: bytes = b""  # the version that the grant names, where the report was of another


class Turn(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Not here: `leader` leads as far as known, "" for nobody."""

    token: Number
    leader: Name


class Told(msgspec.Struct, frozen=True, array_like=True, tag=4):
    term: Number
    raw: bytes


Word = Report | Granted | Turn | Told
encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Word] = msgspec.msgpack.Decoder(Word)


def decode(raw: bytes) -> Word | None:
    if len(raw) > WORD_MOST:
        return None
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
