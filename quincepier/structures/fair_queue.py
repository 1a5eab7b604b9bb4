"""Queues by tier and key, from which items leave by weighted shares of the tiers."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from itertools import islice
from typing import Generic, Protocol, TypeVar


class Queued(Protocol):
    """What may wait in a queue; `is_queued` is the queue's."""

    is_queued: bool

    @property
    def tier(self) -> int:
        """From 0."""

    @property
    def key(self) -> int:
        """Items of one key leave in order."""


Item = TypeVar("Item", bound=Queued)


class FairQueue(Generic[Item]):
    """Each tier earns its weight a turn; who has most leaves and pays for the turn.

    Weights grow by one for every `boost_every` items of one key. A tier that none left for `floor_interval`
    ns goes first. Only the first `scan_limit` keys of a tier are looked at.
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
        """To the end of those of its tier and key."""
        self.queues[item.tier].setdefault(item.key, deque()).append(item)
        self.depths[item.tier] += 1
        item.is_queued = True

    def discard(self, item: Item) -> None:
        """Of no effect where it does not wait."""
        if not item.is_queued:
            return
        queue = self.queues[item.tier][item.key]
        queue.remove(item)
        if not queue:
            del self.queues[item.tier][item.key]
        self.depths[item.tier] -= 1
        item.is_queued = False

    def pop(self, now: int, is_ready: Callable[[Item], bool]) -> Item | None:
        """The item that leaves next, out of the first of each key that are ready."""
        found = {tier: queue for tier in range(len(self.weights)) if (queue := self._head(tier, is_ready))}
        if not found:
            return None
        shares = {tier: self.weights[tier] + len(queue) // self.boost_every for tier, queue in found.items()}
        for tier, share in shares.items():
            self.credits[tier] += share
        chosen = max(
            found, key=lambda tier: (now - self.released_at[tier] >= self.floor_interval, self.credits[tier])
        )
        self.credits[chosen] -= sum(shares.values())
        self.released_at[chosen] = now
        item = found[chosen][0]
        self.discard(item)
        return item

    def _head(self, tier: int, is_ready: Callable[[Item], bool]) -> deque[Item] | None:
        best: deque[Item] | None = None
        for queue in islice(self.queues[tier].values(), self.scan_limit):
            is_longer = best is None or len(queue) // self.boost_every > len(best) // self.boost_every
            if is_longer and is_ready(queue[0]):
                best = queue
        return best
