"""A hash of keys, and the bound of memories by key. Nothing here decides anything."""

from __future__ import annotations

from collections.abc import Sequence

LANE_BYTES, LANE_BITS = 16, 128  # of a packed number: room for the product of two of 64 bits
MASK = 2**64 - 1
LOWEST_BYTES = [bytes(byte >= least for byte in range(256)) for least in range(256)]  # tables: 1, not below
MAX_REMEMBERED_KEYS = 4096  # entries of any memory that requests fill; the oldest go first


class PackedNumbers:
    """Numbers packed into one, a lane of 128 bits each: a few operations on it hash all of them at once.

    No lane ever reaches into the next: a product of two numbers of 64 bits fits in it, and what a shift
    brings down from the lane above lies over the 64 bits that are kept.

    Args:
        numbers: Whole numbers below 2**64.
    """

    def __init__(self, numbers: Sequence[int]) -> None:
        self._size = LANE_BYTES * len(numbers)
        self._packed = int.from_bytes(b"".join(n.to_bytes(LANE_BYTES, "little") for n in numbers), "little")
        self._ones = int.from_bytes((1).to_bytes(LANE_BYTES, "little") * len(numbers), "little")
        self._mask = self._ones * MASK

    def mix_each(self, first: int) -> list[int]:
        """Return `mix(first, number)` of each number, in their order."""
        lanes = self._multiplied(first) & self._mask
        lanes ^= lanes >> 32 & self._mask
        return memoryview(lanes.to_bytes(self._size, "little")).cast("Q")[::2].tolist()

    def mix_above(self, first: int, bounds: Sequence[int], least: int) -> dict[int, int]:
        """Return `mix(first, number)` by place, of those numbers where it is not below its bound.

        The last step of a hash leaves its highest byte as it is, so most are passed over by that alone.

        Args:
            first: The other number of each pair.
            bounds: One for each number.
            least: The least of the bounds, below 2**64.
        """
        lanes = self._multiplied(first).to_bytes(self._size, "little")
        highest_bytes = lanes[LANE_BYTES // 2 - 1 :: LANE_BYTES].translate(LOWEST_BYTES[max(least, 0) >> 56])
        found = dict[int, int]()
        at = highest_bytes.find(1)
        while at >= 0:
            start = at * LANE_BYTES
            value = int.from_bytes(lanes[start : start + LANE_BYTES // 2], "little")
            value ^= value >> 32
            if value >= bounds[at]:
                found[at] = value
            at = highest_bytes.find(1, at + 1)
        return found

    def _multiplied(self, first: int) -> int:
        """Return all hashes before their last step; the upper half of each lane is of no meaning."""
        lanes = self._packed ^ self._ones * mix(first)
        lanes = lanes * 0xBF58476D1CE4E5B9 & self._mask
        return (lanes ^ lanes >> 29 & self._mask) * 0x94D049BB133111EB


def mix(*numbers: int) -> int:  # A 64-bit hash of whole numbers, the same at every front and in every process
    h = 0x9E3779B97F4A7C15
    for n in numbers:
        h = (h ^ n) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        h = (h ^ h >> 29) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
        h ^= h >> 32
    return h
