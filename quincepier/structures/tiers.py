"""Assignment of priority weights to tiers."""

from __future__ import annotations

import math
from collections.abc import Collection


def assign_tiers(weights: Collection[float], count: int) -> dict[float, int]:
    """Assign each weight to one of `count` tiers, by rank.

    The highest weight has tier 0, the lowest the last tier; a single weight has tier 0.
    """
    ranked = sorted(weights, reverse=True)
    steps = max(len(ranked) - 1, 1)
    return {weight: math.ceil((count - 1) * n / steps) for n, weight in enumerate(ranked)}
