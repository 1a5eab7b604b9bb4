"""A token bucket."""

from __future__ import annotations


class TokenBucket:
    """Tokens up to `capacity`, put in by amounts and taken one by one."""

    __slots__ = ("capacity", "tokens")

    def __init__(self, tokens: float, capacity: float) -> None:
        self.tokens, self.capacity = tokens, capacity

    def add(self, amount: float) -> None:
        """What does not fit is lost."""
        self.tokens = min(self.capacity, self.tokens + amount)

    def take(self) -> bool:
        """One token; False where there is no whole one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
