"""Running means by index, with initial guesses."""

from __future__ import annotations

from collections import Counter


class RunningMeans:
    """Running means by index.

    Args:
        initial: Initial guess for each index; the first sample replaces it.
        min_weight: Minimum weight of a new sample; otherwise all samples weigh the same.

    Attributes:
        means: The mean of each index.
        counts: Number of samples of each index.
    """

    def __init__(self, initial: list[float], min_weight: float) -> None:
        self.initial, self.min_weight = initial, min_weight
        self.means = [*initial]
        self.counts = Counter[int]()

    def add(self, index: int, sample: float) -> None:
        """Add a sample for an index."""
        self.counts[index] += 1
        weight = max(self.min_weight, 1 / self.counts[index])
        self.means[index] += weight * (sample - self.means[index])

    def reset(self, index: int) -> None:
        """Discard the samples of an index and return to its initial guess."""
        self.means[index], self.counts[index] = self.initial[index], 0
