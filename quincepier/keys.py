"""A hash of keys that is the same in all processes, and the limit on tables by key."""

from __future__ import annotations

from collections.abc import Sequence

LANE_BYTES, LANE_BITS = 16, 128  # a lane holds the product of two 64-bit numbers
MASK = 2**64 - 1
# Translation tables by minimum: they map a byte to 1 if it is not below the minimum, else to 0.
AT_LEAST_TABLES = [bytes(byte >= least for byte in range(256)) for least in range(256)]
MAX_REMEMBERED_KEYS = 4096  # entries of any table that requests fill; the oldest are evicted first


class PackedNumbers:
    """Numbers packed into one integer, a lane of 128 bits each, so that a few operations hash all of them.

    Lanes don't affect each other: the product of two 64-bit numbers fits into a lane, and the bits that a
    shift moves down from the next lane lie above the 64 bits that are kept.

    Args:
        numbers: Integers below 2**64.
    """

    def __init__(self, numbers: Sequence[int]) -> None:
        self._size = LANE_BYTES * len(numbers)
        self._packed = int.from_bytes(b"".join(n.to_bytes(LANE_BYTES, "little") for n in numbers), "little")
        self._ones = int.from_bytes((1).to_bytes(LANE_BYTES, "little") * len(numbers), "little")
        self._mask = self._ones * MASK

    def hash_each(self, first: int) -> list[int]:
        """Return `stable_hash(first, number)` for each number, in their order."""
        lanes = self._multiply(first) & self._mask
        lanes ^= lanes >> 32 & self._mask
        return memoryview(lanes.to_bytes(self._size, "little")).cast("Q")[::2].tolist()

    def hashes_at_least(self, first: int, bounds: Sequence[int], least: int) -> dict[int, int]:
        """Return `stable_hash(first, number)` by index, for the numbers whose hash is not below their bound.

        The last step of a hash does not change its highest byte, so most numbers are skipped by that byte.

        Args:
            first: The other number of each pair.
            bounds: The bound of each number.
            least: The least of the bounds, below 2**64.
        """
        lanes = self._multiply(first).to_bytes(self._size, "little")
        highest_bytes = lanes[LANE_BYTES // 2 - 1 :: LANE_BYTES].translate(
            AT_LEAST_TABLES[max(least, 0) >> 56]
        )
        hash_by_index = dict[int, int]()
        index = highest_bytes.find(1)
        while index >= 0:
            start = index * LANE_BYTES
            value = int.from_bytes(lanes[start : start + LANE_BYTES // 2], "little")
            value ^= value >> 32
            if value >= bounds[index]:
                hash_by_index[index] = value
            index = highest_bytes.find(1, index + 1)
        return hash_by_index

    def _multiply(self, first: int) -> int:
        """Return all hashes before their last step; the upper half of each lane has no meaning."""
        lanes = self._packed ^ self._ones * stable_hash(first)
        lanes = lanes * 0xBF58476D1CE4E5B9 & self._mask
        return (lanes ^ lanes >> 29 & self._mask) * 0x94D049BB133111EB


def stable_hash(*numbers: int) -> int:
    """Return a 64-bit hash of integers; it is the same at every front and in every process."""
    h = 0x9E3779B97F4A7C15
    for n in numbers:
        h = (h ^ n) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        h = (h ^ h >> 29) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
        h ^= h >> 32
    return h
