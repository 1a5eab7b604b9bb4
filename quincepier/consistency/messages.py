"""What fronts say to each other about their decisions: msgpack, small, checked before anything is believed.

The trust boundary is the network, as for membership: whoever may send as a member is believed.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from quincepier.consistency.errors import ConsistencyError

WORD_MOST = 16 * 1024  # bytes
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Digest = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
Label = Annotated[str, msgspec.Meta(max_length=200)]
Path = Annotated[str, msgspec.Meta(max_length=32, pattern="^[0-9a-f]*$")]
About = Literal["version", "settings", "lines", "decisions"]


class DigestRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """From who collects: compute the keys that version and round draw, and tell their digest."""

    round: Number
    number: Number
    size: Annotated[int, msgspec.Meta(ge=1, le=4096)]  # keys; of who collects, as files may differ


class DigestResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What a front decided, and by which inputs. All of one moment."""

    round: Number
    number: Number  # of the front's own version
    version: Digest
    revision: Number
    lines: Digest
    settings: Digest
    build: Annotated[str, msgspec.Meta(max_length=64)]
    hash: Digest
    floats: Digest
    decisions: Digest
    breaches: Number = 0  # that its witness met since its last answer
    stale: Number = 0  # rankings in its module's memory that are not what the list gives now
    cautious: bool = False


class SubtreeRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    round: Number
    about: About
    path: Path
    split: bool = False  # digests of children even where leaves are few


class SubtreeResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Digests of 16 children, or the leaves."""

    round: Number
    about: About
    path: Path
    children: Annotated[tuple[Digest, ...], msgspec.Meta(max_length=16)]
    leaves: Annotated[tuple[tuple[Label, Digest], ...], msgspec.Meta(max_length=16)]


class LeafRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    round: Number
    about: About
    label: Label


class LeafResponse(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The leaf's fields as text, clipped; of a decision also its digest computed anew, without any memory."""

    round: Number
    about: About
    label: Label
    of: Label  # the key, of a decision
    fields: Annotated[tuple[tuple[Label, Label], ...], msgspec.Meta(max_length=32)]
    anew: bytes = b""


class ConsistencyVerdict(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """You decide otherwise than the majority by that version; or alike, again."""

    round: Number
    number: Number
    alike: bool
    why: Label = ""


Message = (
    DigestRequest
    | DigestResponse
    | SubtreeRequest
    | SubtreeResponse
    | LeafRequest
    | LeafResponse
    | ConsistencyVerdict
)
encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def decode(raw: bytes) -> Message:
    if len(raw) > WORD_MOST:
        raise ConsistencyError("a word over 16 KiB")
    try:
        word: Message = _decode(raw)
        return word
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise ConsistencyError(f"not a word: {str(error)[:100]}") from None
