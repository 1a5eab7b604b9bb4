"""A queue that limits how many ready connections are served in one turn of the event loop.

When a great many are ready at once, each turn serves a bounded number and the others wait, so that the other
work of the event loop (responses of caches, timers, the module) runs in between. Waiting connections are
served first, in the order in which they were queued, so none is starved.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable, Sequence
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class ReadyQueue(Generic[K]):
    """Ready connections, of which `max_per_turn` are served in one turn.

    Attributes:
        max_per_turn: Connections served in one turn.
        remaining: Connections that may still be served in this turn.
        waiting: The connections that wait for a later turn, the next one first.
        max_length: The largest number that ever waited.
    """

    def __init__(self, max_per_turn: int) -> None:
        self.max_per_turn, self.remaining = max_per_turn, max_per_turn
        self.waiting: OrderedDict[K, None] = OrderedDict()
        self.max_length = 0

    def serve_or_enqueue(self, connection: K) -> bool:
        """Return whether a ready connection is to be served now; else it is queued, once."""
        if self.remaining > 0 and not self.waiting:
            self.remaining -= 1
            return True
        self.enqueue(connection)
        return False

    def enqueue(self, connection: K) -> None:
        """Queue a ready connection to be served in a later turn; a queued connection keeps its position."""
        self.waiting[connection] = None
        self.max_length = max(self.max_length, len(self.waiting))

    def remove(self, connection: K) -> None:
        """Remove a connection from the queue, if it is in it."""
        self.waiting.pop(connection, None)

    def start_turn(self) -> list[K]:
        """Start a turn of the event loop: return the waiting connections to be served first in it."""
        served = [
            self.waiting.popitem(last=False)[0] for _ in range(min(self.max_per_turn, len(self.waiting)))
        ]
        self.remaining = self.max_per_turn - len(served)
        return served

    def end_turn(self, not_served: Sequence[K] = ()) -> None:
        """Serve no further connection in this turn; `not_served` were taken and are the first in the next."""
        self.remaining = 0
        for connection in reversed(not_served):
            self.enqueue(connection)
            self.waiting.move_to_end(connection, last=False)
