"""A tree of digests over labelled leaves, so that two fronts find what differs in few small words.

After Merkle ("A Digital Signature Based on a Conventional Encryption Function", 1987). 16-ary by the hex
digits of the label's hash, so a leaf that is missing at one front moves no other. xxh3-128: against
chance, not against malice.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping

import xxhash

WIDE = 16  # children of a node, and most leaves that are told as they are


class MerkleTree:
    def __init__(self, leaves: Mapping[str, bytes]) -> None:
        """Leaves are 16 bytes, labels any text."""
        self.rows = sorted(
            (xxhash.xxh3_128_hexdigest(label.encode()), label, leaf) for label, leaf in leaves.items()
        )
        self.root = self._digest(0, len(self.rows))

    def look(self, path: str, split: bool = False) -> tuple[tuple[bytes, ...], tuple[tuple[str, bytes], ...]]:
        """What is below `path` (hex digits): the digests of 16 children, or instead the leaves where they
        are few and `split` does not ask for digests all the same.
        """
        low, high = self._span(path)
        if high - low <= WIDE and not split:
            return (), tuple((label, leaf) for _, label, leaf in self.rows[low:high])
        return tuple(self._digest(*self._span(f"{path}{n:x}")) for n in range(WIDE)), ()

    def _span(self, path: str) -> tuple[int, int]:
        return bisect_left(self.rows, (path,)), bisect_left(self.rows, (path + "g",))

    def _digest(self, low: int, high: int) -> bytes:
        told = xxhash.xxh3_128()
        for label, _, leaf in self.rows[low:high]:
            told.update(label.encode())
            told.update(leaf)
        return told.digest()
