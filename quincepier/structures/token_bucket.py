"""A token bucket."""

from __future__ import annotations


class TokenBucket:
    """A token bucket: tokens are added in fractions up to `capacity` and taken one at a time."""

    __slots__ = ("capacity", "tokens")

    def __init__(self, tokens: float, capacity: float) -> None:
        self.tokens, self.capacity = tokens, capacity

    def add(self, amount: float) -> None:
        """Add tokens; tokens beyond the capacity are lost."""
        self.tokens = min(self.capacity, self.tokens + amount)

    def take(self) -> bool:
        """Take one token; return False if there is less than one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
