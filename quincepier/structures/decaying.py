"""A mean and a sum whose parts count half after a half-life."""

from __future__ import annotations

import math


class DecayingMean:
    """The mean of samples, each of which counts half after `half_life` ns, beside `prior` samples of 0.

    Samples are logarithms: `factor` gives the mean as a multiple, 1 at least.
    """

    __slots__ = ("half_life", "prior", "total", "updated_at", "weight")

    def __init__(self, half_life: int, prior: float) -> None:
        self.half_life, self.prior = half_life, prior
        self.total, self.weight, self.updated_at = 0.0, 0.0, 0  # sum and number of samples as of then

    def add(self, now: int, sample: float) -> None:
        """One sample more."""
        decay = math.exp2((self.updated_at - now) / self.half_life)
        self.total = self.total * decay + sample
        self.weight = self.weight * decay + 1
        self.updated_at = now

    def factor(self, now: int) -> float:
        """The mean as a multiple."""
        decay = math.exp2((self.updated_at - now) / self.half_life)
        return math.exp(max(self.total * decay / (self.weight * decay + self.prior), 0.0))


class DecayingSum:
    """A sum of amounts, each of which counts half after `half_life` ns."""

    __slots__ = ("half_life", "total", "updated_at")

    def __init__(self, half_life: int, total: float, updated_at: int) -> None:
        self.half_life, self.total, self.updated_at = half_life, total, updated_at

    def at(self, now: int) -> float:
        """What is left of it at that time."""
        return self.total * math.exp2((self.updated_at - now) / self.half_life)

    def add(self, now: int, amount: float) -> None:
        """That much more."""
        self.total, self.updated_at = self.at(now) + amount, now
