"""Tracks whether enough observations were made, with at least one of each expected kind."""

from __future__ import annotations

from collections import Counter


class Coverage:
    """Complete once `min_count` observations were made, with at least one of each expected kind.

    Attributes:
        expected: The kinds that are expected.
        counts: Number of observations by kind.
        is_complete: Whether the condition has been met since the last restart.
    """

    def __init__(self, min_count: int) -> None:
        self.min_count, self.expected, self.counts, self.is_complete = (
            min_count,
            set[int](),
            Counter[int](),
            False,
        )

    def add(self, kind: int) -> bool:
        """Add an observation of a kind; return whether it makes the coverage complete."""
        if self.is_complete:
            return False
        self.counts[kind] += 1
        self.is_complete = self.count >= self.min_count and self.expected <= self.counts.keys()
        return self.is_complete

    @property
    def count(self) -> int:
        """Number of observations of all kinds."""
        return self.counts.total()

    def restart(self) -> None:
        """Discard all expectations and observations."""
        self.expected, self.counts, self.is_complete = set(), Counter(), False
