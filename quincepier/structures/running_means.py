"""Means by index that begin at a guess."""

from __future__ import annotations

from collections import Counter


class RunningMeans:
    """Each sample weighs alike, but `min_weight` at least; the guess counts until the first one."""

    def __init__(self, initial: list[float], min_weight: float) -> None:
        self.initial, self.min_weight = initial, min_weight
        self.means = [*initial]
        self.counts = Counter[int]()

    def add(self, index: int, sample: float) -> None:
        """One sample more of that index."""
        self.counts[index] += 1
        weight = max(self.min_weight, 1 / self.counts[index])
        self.means[index] += weight * (sample - self.means[index])

    def reset(self, index: int) -> None:
        """Back to the guess."""
        self.means[index], self.counts[index] = self.initial[index], 0
