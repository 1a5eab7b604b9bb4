"""Exponential backoff."""

from __future__ import annotations


class Backoff:
    """A wait that doubles up to `longest` and is eased by a factor; in ns.

    Args:
        shortest: the first wait, ns.
        longest: the upper bound, ns.
        ease_factor: what an easing multiplies the wait by.
        end_below: an easing of a wait that is not longer than this ends it, ns.
    """

    __slots__ = ("decrease_factor", "max_wait", "min_wait", "reset_below", "wait")

    def __init__(self, shortest: int, longest: int, ease_factor: float, end_below: float) -> None:
        self.min_wait = shortest
        self.max_wait = longest
        self.decrease_factor = ease_factor
        self.reset_below = end_below
        self.wait = 0.0

    def increase(self) -> None:
        """Double the wait, within the bounds."""
        self.wait = min(max(2 * self.wait, self.min_wait), self.max_wait)

    def decrease(self) -> None:
        """Shorten the wait by the factor, or end it."""
        self.wait = self.wait * self.decrease_factor if self.wait > self.reset_below else 0.0
