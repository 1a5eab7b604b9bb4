"""Messages between fronts about their rule decisions, in msgpack, validated before use.

As for membership, the trust boundary is the network: messages of members are trusted. Messages are encoded as
arrays, so the order of fields and the tags are part of the format.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

from quincepier.consistency.errors import ConsistencyError
from quincepier.consistency.merkle_tree import FAN_OUT, Digest, Label, LeafDigest

MAX_MESSAGE_BYTES = 16 * 1024
MAX_SAMPLE_SIZE = 4096
MAX_BUILD_LENGTH = 64
MAX_PATH_LENGTH = 32  # hex digits of a label's hash
MAX_LEAF_FIELDS = 32

Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
TreePath = Annotated[str, msgspec.Meta(max_length=MAX_PATH_LENGTH, pattern="^[0-9a-f]*$")]


class TreeKind(StrEnum):
    """The contents of a Merkle tree; the values are part of the format."""

    RULE_VERSION = "version"
    SETTINGS = "settings"
    ENDPOINTS = "lines"
    DECISIONS = "decisions"


class LeafField(msgspec.Struct, frozen=True, array_like=True):
    """One field of a leaf as text."""

    name: Label
    text: Label


class DigestRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A collector's request to decide the sample of a rule version and round, and to send the digests."""

    round_id: Count
    rule_version: Count
    # The collector's setting, since the settings of fronts may differ.
    sample_size: Annotated[int, msgspec.Meta(ge=1, le=MAX_SAMPLE_SIZE)]


class DigestResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Digests of a front's decisions and of their inputs, all taken at the same moment."""

    round_id: Count
    rule_version: Count  # of the responding front
    rule_version_digest: Digest
    list_revision: Count
    endpoints_digest: Digest
    settings_digest: Digest
    build: Annotated[str, msgspec.Meta(max_length=MAX_BUILD_LENGTH)]
    hash_canary: Digest
    float_canary: Digest
    decisions_digest: Digest
    unexplained_decisions: Count = 0  # since the front's last response
    stale_rankings: Count = 0  # cached rankings of its router that differ from the endpoint list's
    is_cautious: bool = False


class SubtreeRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A request for the level of a tree below a path."""

    round_id: Count
    tree: TreeKind
    path: TreePath
    expand: bool = False  # send digests of children even if there are few leaves


class SubtreeResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The digests of the 16 children below a path, or all its leaves if they are few."""

    round_id: Count
    tree: TreeKind
    path: TreePath
    children: Annotated[tuple[Digest, ...], msgspec.Meta(max_length=FAN_OUT)]
    leaves: Annotated[tuple[LeafDigest, ...], msgspec.Meta(max_length=FAN_OUT)]


class LeafRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A request for the fields of one leaf."""

    round_id: Count
    tree: TreeKind
    label: Label


class LeafResponse(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The fields of one leaf as text, truncated."""

    round_id: Count
    tree: TreeKind
    label: Label
    key: Label  # the decided key as text; empty for other trees
    fields: Annotated[tuple[LeafField, ...], msgspec.Meta(max_length=MAX_LEAF_FIELDS)]
    recomputed_digest: bytes = b""  # of a decision recomputed without the ranking cache


class ConsistencyVerdict(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A collector's verdict whether a front's decisions by a rule version agree with the majority."""

    round_id: Count
    rule_version: Count
    is_consistent: bool
    reason: Label = ""


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
    """Decode and validate a message.

    Raises:
        ConsistencyError: The message is too long or invalid.
    """
    if len(raw) > MAX_MESSAGE_BYTES:
        raise ConsistencyError(f"message over {MAX_MESSAGE_BYTES} bytes")
    try:
        message: Message = _decode(raw)
        return message
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise ConsistencyError(f"invalid message: {str(error)[:100]}") from None
