"""A queue with tiers and keys that releases items by weighted shares of the tiers."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from itertools import islice
from typing import Generic, Protocol, TypeVar


class Queued(Protocol):
    """An item that can be queued.

    Attributes:
        is_queued: Whether it is in a queue; set by the queue.
    """

    is_queued: bool

    @property
    def tier(self) -> int:
        """Its tier, from 0."""

    @property
    def key(self) -> int:
        """Its key; items of one key are released in the order in which they were queued."""


Item = TypeVar("Item", bound=Queued)


class FairQueue(Generic[Item]):
    """A weighted fair queue.

    With each release every tier that has a ready item earns its weight as credit. The tier with the most
    credit releases an item and pays the sum of the weights.

    Args:
        weights: Weight of each tier.
        now: The time, ns.
        boost_every: Number of queued items of one key that raises the weight of the tier by one.
        floor_interval: A tier with no release for this time, ns, goes first.
        scan_limit: Number of keys of a tier that are examined for a ready item.

    Attributes:
        queues: For each tier, the queued items by key.
        depths: Number of queued items of each tier.
        credits: Credit of each tier.
        released_at: Time of the last release of each tier, ns.
    """

    def __init__(
        self, weights: Sequence[float], now: int, boost_every: int, floor_interval: int, scan_limit: int
    ) -> None:
        self.weights, self.boost_every = weights, boost_every
        self.floor_interval, self.scan_limit = floor_interval, scan_limit
        self.queues: list[OrderedDict[int, deque[Item]]] = [OrderedDict() for _ in weights]
        self.depths = [0] * len(weights)
        self.credits = [0.0] * len(weights)
        self.released_at = [now] * len(weights)

    def __bool__(self) -> bool:
        return any(self.depths)

    def push(self, item: Item) -> None:
        """Append an item to the items of its tier and key."""
        self.queues[item.tier].setdefault(item.key, deque()).append(item)
        self.depths[item.tier] += 1
        item.is_queued = True

    def discard(self, item: Item) -> None:
        """Remove an item; does nothing if it is not queued."""
        if not item.is_queued:
            return
        queue = self.queues[item.tier][item.key]
        queue.remove(item)
        if not queue:
            del self.queues[item.tier][item.key]
        self.depths[item.tier] -= 1
        item.is_queued = False

    def pop(self, now: int, is_ready: Callable[[Item], bool]) -> Item | None:
        """Remove and return the next item.

        Args:
            now: The time, ns.
            is_ready: Whether an item may be released; called for the first items of some keys.

        Returns:
            The item; None if none of the examined items is ready.
        """
        ready = {tier: queue for tier in range(len(self.weights)) if (queue := self._head(tier, is_ready))}
        if not ready:
            return None
        shares = {tier: self.weights[tier] + len(queue) // self.boost_every for tier, queue in ready.items()}
        for tier, share in shares.items():
            self.credits[tier] += share
        chosen = max(
            ready, key=lambda tier: (now - self.released_at[tier] >= self.floor_interval, self.credits[tier])
        )
        self.credits[chosen] -= sum(shares.values())
        self.released_at[chosen] = now
        item = ready[chosen][0]
        self.discard(item)
        return item

    def _head(self, tier: int, is_ready: Callable[[Item], bool]) -> deque[Item] | None:
        """Return the items of the key that a tier would release: ready, and preferably with many items."""
        best: deque[Item] | None = None
        for queue in islice(self.queues[tier].values(), self.scan_limit):
            is_longer = best is None or len(queue) // self.boost_every > len(best) // self.boost_every
            if is_longer and is_ready(queue[0]):
                best = queue
        return best
