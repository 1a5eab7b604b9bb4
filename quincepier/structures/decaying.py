"""A mean and a sum with exponential decay."""

from __future__ import annotations

import math


class DecayingMean:
    """The mean of samples whose weight halves every `half_life` ns.

    `prior` samples of the value 0 are always included, so few samples change the mean only a little. Samples
    are logarithms.

    Attributes:
        total: Weighted sum of the samples, as of `updated_at`.
        weight: Sum of the weights of the samples, as of `updated_at`.
        updated_at: Time of the last sample, ns.
    """

    __slots__ = ("half_life", "prior", "total", "updated_at", "weight")

    def __init__(self, half_life: int, prior: float) -> None:
        self.half_life, self.prior = half_life, prior
        self.total, self.weight, self.updated_at = 0.0, 0.0, 0

    def add(self, now: int, sample: float) -> None:
        """Add a sample at the time `now`, ns."""
        decay = math.exp2((self.updated_at - now) / self.half_life)
        self.total = self.total * decay + sample
        self.weight = self.weight * decay + 1
        self.updated_at = now

    def factor(self, now: int) -> float:
        """Return the exponential of the mean at the time `now`, 1 or more."""
        decay = math.exp2((self.updated_at - now) / self.half_life)
        return math.exp(max(self.total * decay / (self.weight * decay + self.prior), 0.0))


class DecayingSum:
    """A sum of amounts that halve every `half_life` ns.

    Attributes:
        total: The sum as of `updated_at`.
        updated_at: Time of the last addition, ns.
    """

    __slots__ = ("half_life", "total", "updated_at")

    def __init__(self, half_life: int, total: float, updated_at: int) -> None:
        self.half_life, self.total, self.updated_at = half_life, total, updated_at

    def at(self, now: int) -> float:
        """Return the sum at the time `now`, ns."""
        return self.total * math.exp2((self.updated_at - now) / self.half_life)

    def add(self, now: int, amount: float) -> None:
        """Add an amount at the time `now`, ns."""
        self.total, self.updated_at = self.at(now) + amount, now
