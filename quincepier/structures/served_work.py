"""Served work by kind of server, and its rate."""

from __future__ import annotations

import math

from quincepier.structures.decaying import DecayingSum


class ServedWork:
    """Served work by kind, with exponential decay.

    Args:
        half_life: Time after which served work counts half, ns.
        min_span: Time added to the measured time in rates, ns, so that the first samples give no high rate.
        since: Time from which work is counted, ns.

    Attributes:
        since: Time from which work is counted; earlier if work from before a restart was restored.
        started_at: Initial value of `since`.
        sums: Decaying sum of the work of each kind.
    """

    def __init__(self, half_life: int, min_span: int, since: int) -> None:
        self.half_life, self.min_span = half_life, min_span
        self.since = self.started_at = since
        self.sums: dict[int, DecayingSum] = {}

    def add(self, now: int, kind: int, amount: float) -> None:
        """Add work that servers of a kind have done."""
        self.sums.setdefault(kind, DecayingSum(self.half_life, 0.0, now)).add(now, amount)

    def rates(self, now: int) -> dict[int, float]:
        """Return the work per ns, by kind."""
        decay = 1 - math.exp2((self.since - now) / self.half_life)
        span = self.half_life / math.log(2) * decay
        for work in self.sums.values():
            work.add(now, 0.0)
        return {kind: work.total / (span + self.min_span) for kind, work in self.sums.items()}
