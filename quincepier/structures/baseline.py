"""A running mean and its minimum."""

from __future__ import annotations


class Baseline:
    """The running mean of samples, and the minimum that it has had.

    The minimum rises slowly over time, so that it follows a lasting change.

    Attributes:
        mean: The running mean.
        count: Number of samples.
        minimum: The minimum of the mean, as of `updated_at`.
        updated_at: Time of the last sample, ns.
    """

    __slots__ = ("count", "mean", "minimum", "updated_at")

    def __init__(self, mean: float = 0.0, count: int = 0, minimum: float = 0.0, updated_at: int = 0) -> None:
        self.mean, self.count, self.minimum, self.updated_at = mean, count, minimum, updated_at

    def add(self, now: int, sample: float, min_weight: float, min_count: int, rise: float) -> None:
        """Add a sample.

        Args:
            now: The time, ns.
            sample: The sample.
            min_weight: Minimum weight of the sample in the mean; otherwise all samples weigh the same.
            min_count: Number of samples up to which the minimum equals the mean.
            rise: Rise of the minimum per ns.
        """
        self.mean += (sample - self.mean) * max(min_weight, 1 / (self.count + 1))
        self.count += 1
        risen = self.minimum + rise * (now - self.updated_at)
        self.minimum = min(risen, self.mean) if self.count > min_count else self.mean
        self.updated_at = now
