"""Exponential backoff."""

from __future__ import annotations


class Backoff:
    """A wait that doubles from `shortest` to `longest` and is eased by a factor down to none; in ns."""

    __slots__ = ("ease_factor", "longest", "shortest", "wait")

    def __init__(self, shortest: int, longest: int, ease_factor: float) -> None:
        self.shortest, self.longest, self.ease_factor = shortest, longest, ease_factor
        self.wait = 0.0

    def increase(self) -> None:
        """Twice as long, within the bounds."""
        self.wait = min(max(2 * self.wait, self.shortest), self.longest)

    def ease(self) -> None:
        """Shorter by the factor; none from half of the shortest."""
        self.wait = self.wait * self.ease_factor if self.wait > self.shortest / 2 else 0.0
