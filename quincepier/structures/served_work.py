"""Work served by kind of server, and its rate."""

from __future__ import annotations

import math

from quincepier.structures.decaying import DecayingSum


class ServedWork:
    """Amounts by kind, each of which counts half after `half_life` ns, since a time.

    Rates count over `min_span` ns more than was seen, so first signs say little.
    """

    def __init__(self, half_life: int, min_span: int, since: int) -> None:
        self.half_life, self.min_span = half_life, min_span
        self.since = self.started_at = since
        self.sums: dict[int, DecayingSum] = {}

    def add(self, now: int, kind: int, amount: float) -> None:
        """Work of that kind was done."""
        self.sums.setdefault(kind, DecayingSum(self.half_life, 0.0, now)).add(now, amount)

    def rates(self, now: int) -> dict[int, float]:
        """Work a nanosecond, by kind."""
        decay = 1 - math.exp2((self.since - now) / self.half_life)
        span = self.half_life / math.log(2) * decay
        for each in self.sums.values():
            each.add(now, 0.0)
        return {kind: each.total / (span + self.min_span) for kind, each in self.sums.items()}
