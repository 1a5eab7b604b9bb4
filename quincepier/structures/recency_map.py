"""A bounded map from keys to the times at which they were last seen."""

from __future__ import annotations

from collections import OrderedDict


class RecencyMap(OrderedDict[tuple[int, int], int]):
    """Times by key, the least recently recorded first; beyond `capacity` keys, these are removed."""

    def __init__(self, capacity: int) -> None:
        super().__init__()
        self.capacity = capacity

    def record(self, key: tuple[int, int], at: int, oldest: int) -> None:
        """Record that a key was seen at a time.

        Args:
            key: The key.
            at: The time, ns; not lower than the time recorded for this key. Old keys are removed exactly only
                if the times increase over all keys.
            oldest: Keys with a time before this one are removed, ns.
        """
        self[key] = at
        self.move_to_end(key)
        while self and (len(self) > self.capacity or next(iter(self.values())) < oldest):
            self.popitem(last=False)
