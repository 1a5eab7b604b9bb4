"""A mean of samples and the least that it was."""

from __future__ import annotations


class Baseline:
    """The mean of `count` samples, and its least so far, which rises by a given amount a nanosecond."""

    __slots__ = ("count", "least", "mean", "updated_at")

    def __init__(self, mean: float = 0.0, count: int = 0, least: float = 0.0, updated_at: int = 0) -> None:
        self.mean, self.count, self.least, self.updated_at = mean, count, least, updated_at

    def add(self, now: int, sample: float, min_weight: float, min_count: int, rise: float) -> None:
        """Each sample weighs alike, but `min_weight` at least; the least is kept past `min_count` samples."""
        self.mean += (sample - self.mean) * max(min_weight, 1 / (self.count + 1))
        self.count += 1
        risen = self.least + rise * (now - self.updated_at)
        self.least = min(risen, self.mean) if self.count > min_count else self.mean
        self.updated_at = now
