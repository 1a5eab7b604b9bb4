"""Exponential backoff."""

from __future__ import annotations


class Backoff:
    """A wait that is doubled up to a maximum, and decreased by a factor; 0: no backoff.

    Args:
        min_wait: The first wait, ns.
        max_wait: The upper bound, ns.
        decrease_factor: Factor that `decrease` applies to the wait.
        reset_below: `decrease` ends the backoff if the wait is not longer than this, ns.

    Attributes:
        wait: The present wait, ns.
    """

    __slots__ = ("decrease_factor", "max_wait", "min_wait", "reset_below", "wait")

    def __init__(self, min_wait: int, max_wait: int, decrease_factor: float, reset_below: float) -> None:
        self.min_wait = min_wait
        self.max_wait = max_wait
        self.decrease_factor = decrease_factor
        self.reset_below = reset_below
        self.wait = 0.0

    def increase(self) -> None:
        """Double the wait, within the bounds."""
        self.wait = min(max(2 * self.wait, self.min_wait), self.max_wait)

    def decrease(self) -> None:
        """Shorten the wait by the factor, or end the backoff."""
        self.wait = self.wait * self.decrease_factor if self.wait > self.reset_below else 0.0
