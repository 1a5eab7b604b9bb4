"""The model of one machine: what it keeps, how its sending is shared, how it is cold; no I/O, no clock.

Times are nanoseconds of the caller's clock.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import Any

from quincepier.lab.experiment import SECOND


class ProcessorSharing:
    """Processor sharing: up to `places` transfers run at full pace, more of them share it.

    Each transfer needs so much time alone. A clock of service runs at the pace each transfer gets, so that
    the end of each is fixed in it as the transfer begins, however many come and go.
    """

    def __init__(self, places: float) -> None:
        self.capacity, self.slowdown = places, 1.0
        self.service_clock, self.updated_at = 0.0, 0
        self.transfer_heap: list[tuple[float, int, Any]] = []
        self.cancelled: set[int] = set()
        self.last_number = self.active_count = 0

    @property
    def pace(self) -> float:
        return (
            min(1.0, self.capacity / self.active_count) / self.slowdown
            if self.active_count
            else 1.0 / self.slowdown
        )

    def advance(self, now: int) -> None:
        self.service_clock += (now - self.updated_at) * self.pace
        self.updated_at = now

    def start(self, now: int, work: float, what: Any) -> int:
        self.advance(now)
        self.last_number += 1
        heapq.heappush(self.transfer_heap, (self.service_clock + work, self.last_number, what))
        self.active_count += 1
        return self.last_number

    def cancel(self, now: int, number: int) -> None:
        """A transfer that nobody wants any more."""
        self.advance(now)
        self.cancelled.add(number)
        self.active_count -= 1

    def pop_completed(self, now: int) -> list[Any]:
        """The transfers that have ended by now."""
        self.advance(now)
        found = []
        while self.transfer_heap and (
            self.transfer_heap[0][1] in self.cancelled or self.transfer_heap[0][0] <= self.service_clock + 0.5
        ):
            _, number, what = heapq.heappop(self.transfer_heap)
            if number in self.cancelled:
                self.cancelled.discard(number)
            else:
                self.active_count -= 1
                found.append(what)
        return found

    def next_completion(self) -> int | None:
        """When the next transfer ends if none comes or goes before."""
        while self.transfer_heap and self.transfer_heap[0][1] in self.cancelled:
            self.cancelled.discard(heapq.heappop(self.transfer_heap)[1])
        return (
            self.updated_at + max(int((self.transfer_heap[0][0] - self.service_clock) / self.pace) + 1, 1)
            if self.transfer_heap
            else None
        )

    def clear(self, now: int) -> list[Any]:
        """All that runs, broken off."""
        self.advance(now)
        found = [
            what
            for _, number, what in sorted(self.transfer_heap, key=lambda e: e[1])
            if number not in self.cancelled
        ]
        self.transfer_heap, self.active_count = [], 0
        self.cancelled.clear()
        return found


class CopyStore:
    """Copies by key with the time the origin gave them out; what was used longest ago goes first."""

    def __init__(self, most: int) -> None:
        self.max_copies = most
        self.copies: OrderedDict[Hashable, int] = OrderedDict()

    def get(self, key: Hashable) -> int | None:
        minted = self.copies.get(key)
        if minted is not None:
            self.copies.move_to_end(key)
        return minted

    def put(self, key: Hashable, minted: int) -> None:
        self.copies[key] = max(minted, self.copies.get(key, 0))
        self.copies.move_to_end(key)
        while len(self.copies) > self.max_copies:
            self.copies.popitem(last=False)


class ColdStart:
    """What a machine that just started can do, and whether it was pushed over (rule four)."""

    def __init__(
        self, born: int, start: float, time: float, multiple: float, window: int, places: float
    ) -> None:
        self.started_at, self.initial_share, self.warm_up_s, self.overload_multiple = (
            born,
            start,
            time,
            multiple,
        )
        self.window, self.capacity = window, places
        self.recent_requests: deque[tuple[int, float]] = deque()
        self.recent_work = 0.0
        self.strain = 0.0  # the most it was asked for within a window, over what it stands

    def capacity_share(self, now: int) -> float:
        if not self.started_at:
            return 1.0
        return min(
            1.0,
            self.initial_share
            + (1 - self.initial_share) * max(now - self.started_at, 0) / (self.warm_up_s * SECOND),
        )

    def add_request(self, now: int, work: float) -> bool:
        """Whether it falls over by one more of so much work: over its multiple for a whole window."""
        if not self.started_at or self.capacity_share(now) >= 1:
            return False
        self.recent_requests.append((now, work))
        self.recent_work += work
        while self.recent_requests[0][0] < now - self.window:
            self.recent_work -= self.recent_requests.popleft()[1]
        room = self.capacity_share(max(now - self.window, self.started_at)) * self.capacity * self.window
        if now - self.started_at <= self.window:
            return False
        self.strain = max(self.strain, self.recent_work / (self.overload_multiple * room))
        return self.recent_work > self.overload_multiple * room
