"""Tiers of weights."""

from __future__ import annotations

import math
from collections.abc import Collection


def tiers(weights: Collection[float], count: int) -> dict[float, int]:
    """The tier of each weight: that of the highest is 0, of the lowest the last, of the others by rank."""
    ranked = sorted(weights, reverse=True)
    steps = max(len(ranked) - 1, 1)
    return {weight: math.ceil((count - 1) * n / steps) for n, weight in enumerate(ranked)}
