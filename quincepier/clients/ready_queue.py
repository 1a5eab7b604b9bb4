"""Bounded slices: how many of those that are ready are served in one turn of the loop, and who comes next.

When a great many are ready at once, each turn serves so many; the others wait in line, and whatever else the
loop has to do (answers of caches, timers, the module) comes between. Nobody is passed over: the line is
served first.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class ReadyQueue(Generic[K]):
    def __init__(self, most: int) -> None:
        self.max_per_turn, self.remaining = most, most
        self.waiting: OrderedDict[K, None] = OrderedDict()
        self.max_length = 0

    def serve_or_enqueue(self, who: K) -> bool:
        """Whether who is ready is served now; else it stands in line, once."""
        if self.remaining > 0 and not self.waiting:
            self.remaining -= 1
            return True
        self.enqueue(who)
        return False

    def enqueue(self, who: K) -> None:
        """Who has had its part of this turn and is ready still stands in line."""
        self.waiting[who] = None
        self.max_length = max(self.max_length, len(self.waiting))

    def remove(self, who: K) -> None:
        self.waiting.pop(who, None)

    def start_turn(self) -> list[K]:
        """A new turn of the loop begins: who is served first in it, out of the line."""
        taken = [
            self.waiting.popitem(last=False)[0] for _ in range(min(self.max_per_turn, len(self.waiting)))
        ]
        self.remaining = self.max_per_turn - len(taken)
        return taken
