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


class Turns(Generic[K]):
    def __init__(self, most: int) -> None:
        self.most, self.left = most, most
        self.line: OrderedDict[K, None] = OrderedDict()
        self.longest = 0

    def may(self, who: K) -> bool:
        """Whether who is ready is served now; else it stands in line, once."""
        if self.left > 0 and not self.line:
            self.left -= 1
            return True
        self.wait(who)
        return False

    def wait(self, who: K) -> None:
        """Who has had its part of this turn and is ready still stands in line."""
        self.line[who] = None
        self.longest = max(self.longest, len(self.line))

    def leave(self, who: K) -> None:
        self.line.pop(who, None)

    def turn(self) -> list[K]:
        """A new turn of the loop begins: who is served first in it, out of the line."""
        taken = [self.line.popitem(last=False)[0] for _ in range(min(self.most, len(self.line)))]
        self.left = self.most - len(taken)
        return taken
