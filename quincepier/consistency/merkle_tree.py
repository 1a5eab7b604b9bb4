"""A Merkle tree over labelled leaves, with which two fronts locate a difference in a few small messages.

After Merkle, "A Digital Signature Based on a Conventional Encryption Function" (CRYPTO 1987). The tree is
16-ary by the hex digits of a label's hash, so a leaf that is missing at one front moves no other leaf. The
digest is xxh3-128: it protects against accidental collisions, not against deliberate ones.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

import msgspec
import xxhash

FAN_OUT = 16  # children of an inner node, and the limit of leaves returned instead of children
MAX_LABEL_LENGTH = 200
AFTER_HEX_DIGITS = "g"  # sorts after every path below a prefix

Digest = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
Label = Annotated[str, msgspec.Meta(max_length=MAX_LABEL_LENGTH)]


class LeafDigest(msgspec.Struct, frozen=True, array_like=True):
    """Label and digest of a leaf."""

    label: Label
    digest: Digest


@dataclass(slots=True, frozen=True)
class Subtree:
    """The level below a path: the digests of its 16 children, or all its leaves if they are few."""

    children: tuple[bytes, ...] = ()
    leaves: tuple[LeafDigest, ...] = ()


class MerkleTree:
    """An immutable tree over leaf digests by label; `root` is the digest of all leaves."""

    def __init__(self, leaf_digests: Mapping[str, bytes]) -> None:
        """Build the tree over 16-byte digests by label."""
        self._leaves = sorted(
            (xxhash.xxh3_128_hexdigest(label.encode()), label, digest)
            for label, digest in leaf_digests.items()
        )
        self.root = self._digest(0, len(self._leaves))

    def subtree(self, path: str, expand: bool = False) -> Subtree:
        """Return the level below a path.

        Args:
            path: Hex digits with which the hashes of the leaves' labels begin.
            expand: Return the digests of children even if there are few leaves.
        """
        low, high = self._span(path)
        if high - low <= FAN_OUT and not expand:
            return Subtree(leaves=tuple(LeafDigest(label, leaf) for _, label, leaf in self._leaves[low:high]))
        return Subtree(tuple(self._digest(*self._span(f"{path}{digit:x}")) for digit in range(FAN_OUT)))

    def _span(self, path: str) -> tuple[int, int]:
        return bisect_left(self._leaves, (path,)), bisect_left(self._leaves, (path + AFTER_HEX_DIGITS,))

    def _digest(self, low: int, high: int) -> bytes:
        digest = xxhash.xxh3_128()
        for label_hash, _, leaf in self._leaves[low:high]:
            digest.update(label_hash.encode())
            digest.update(leaf)
        return digest.digest()
