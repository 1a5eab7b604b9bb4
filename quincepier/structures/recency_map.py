"""When keys were seen last, of a bounded number of them."""

from __future__ import annotations

from collections import OrderedDict


class RecencyMap(OrderedDict[tuple[int, int], int]):
    """Times by key, the oldest first; past `capacity` the oldest go."""

    def __init__(self, capacity: int) -> None:
        super().__init__()
        self.capacity = capacity

    def record(self, key: tuple[int, int], at: int, oldest: int) -> None:
        """`at` is rising; what is from before `oldest` is forgotten."""
        self[key] = at
        self.move_to_end(key)
        while self and (len(self) > self.capacity or next(iter(self.values())) < oldest):
            self.popitem(last=False)
