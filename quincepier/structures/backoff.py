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

    __slots__ = ("ease_factor", "end_below", "longest", "shortest", "wait")

    def __init__(self, shortest: int, longest: int, ease_factor: float, end_below: float) -> None:
        self.shortest = shortest
        self.longest = longest
        self.ease_factor = ease_factor
        self.end_below = end_below
        self.wait = 0.0

    def increase(self) -> None:
        """Double the wait, within the bounds."""
        self.wait = min(max(2 * self.wait, self.shortest), self.longest)

    def ease(self) -> None:
        """Shorten the wait by the factor, or end it."""
        self.wait = self.wait * self.ease_factor if self.wait > self.end_below else 0.0
