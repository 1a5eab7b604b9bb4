"""Whether enough was seen, of each kind that was asked for."""

from __future__ import annotations

from collections import Counter


class Coverage:
    """Complete once `min_count` were seen, of each kind that was asked for one at least."""

    def __init__(self, min_count: int) -> None:
        self.min_count, self.expected, self.counts, self.is_complete = (
            min_count,
            set[int](),
            Counter[int](),
            False,
        )

    def add(self, kind: int) -> bool:
        """One of that kind was seen; whether it is that which completes."""
        if self.is_complete:
            return False
        self.counts[kind] += 1
        self.is_complete = self.count >= self.min_count and self.expected <= self.counts.keys()
        return self.is_complete

    @property
    def count(self) -> int:
        """Of all kinds."""
        return self.counts.total()

    def restart(self) -> None:
        """Nothing was asked for or seen."""
        self.expected, self.counts, self.is_complete = set(), Counter(), False
