"""Model of one machine: copy store, shared sending capacity and cold start; no I/O, no clock.

Times are nanoseconds of the caller's clock.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import Any

from quincepier.lab.experiment import SECOND


class ProcessorSharing:
    """Processor sharing: up to `capacity` transfers run at full speed; more of them share the capacity.

    The work of a transfer is its duration at full speed, ns. The service clock advances at the current speed
    of each transfer, so a transfer's end on that clock is known when it starts, whatever else starts or ends.

    Attributes:
        slowdown: Factor by which a fault slows all transfers.
        service_clock: Service that each active transfer has received, ns, as of `updated_at`.
        transfer_heap: End on the service clock, number and payload of each transfer.
        cancelled: Numbers of cancelled transfers that are still on the heap.
    """

    def __init__(self, capacity: float) -> None:
        self.capacity, self.slowdown = capacity, 1.0
        self.service_clock, self.updated_at = 0.0, 0
        self.transfer_heap: list[tuple[float, int, Any]] = []
        self.cancelled: set[int] = set()
        self.last_number = self.active_count = 0

    @property
    def pace(self) -> float:
        """Speed of each transfer, at most 1."""
        return (
            min(1.0, self.capacity / self.active_count) / self.slowdown
            if self.active_count
            else 1.0 / self.slowdown
        )

    def advance(self, now: int) -> None:
        """Advance the service clock to `now`."""
        self.service_clock += (now - self.updated_at) * self.pace
        self.updated_at = now

    def start(self, now: int, work: float, payload: Any) -> int:
        """Start a transfer and return its number."""
        self.advance(now)
        self.last_number += 1
        heapq.heappush(self.transfer_heap, (self.service_clock + work, self.last_number, payload))
        self.active_count += 1
        return self.last_number

    def cancel(self, now: int, number: int) -> None:
        """Cancel an active transfer."""
        self.advance(now)
        self.cancelled.add(number)
        self.active_count -= 1

    def pop_completed(self, now: int) -> list[Any]:
        """Remove the transfers that are complete and return their payloads."""
        self.advance(now)
        found = []
        while self.transfer_heap and (
            self.transfer_heap[0][1] in self.cancelled or self.transfer_heap[0][0] <= self.service_clock + 0.5
        ):
            _, number, payload = heapq.heappop(self.transfer_heap)
            if number in self.cancelled:
                self.cancelled.discard(number)
            else:
                self.active_count -= 1
                found.append(payload)
        return found

    def next_completion(self) -> int | None:
        """Return when the next transfer ends unless another starts or is cancelled; None without any."""
        while self.transfer_heap and self.transfer_heap[0][1] in self.cancelled:
            self.cancelled.discard(heapq.heappop(self.transfer_heap)[1])
        return (
            self.updated_at + max(int((self.transfer_heap[0][0] - self.service_clock) / self.pace) + 1, 1)
            if self.transfer_heap
            else None
        )

    def clear(self, now: int) -> list[Any]:
        """Abort all transfers and return their payloads in the order of starting."""
        self.advance(now)
        found = [
            payload
            for _, number, payload in sorted(self.transfer_heap, key=lambda e: e[1])
            if number not in self.cancelled
        ]
        self.transfer_heap, self.active_count = [], 0
        self.cancelled.clear()
        return found


class CopyStore:
    """LRU store of copies: the time at which the origin produced each, by key."""

    def __init__(self, max_copies: int) -> None:
        self.max_copies = max_copies
        self.copies: OrderedDict[Hashable, int] = OrderedDict()

    def get(self, key: Hashable) -> int | None:
        """Return when the copy was produced and mark it as recently used; None if it is not stored."""
        minted = self.copies.get(key)
        if minted is not None:
            self.copies.move_to_end(key)
        return minted

    def put(self, key: Hashable, minted: int) -> None:
        """Store a copy unless a newer one is stored, and evict the least recently used ones."""
        self.copies[key] = max(minted, self.copies.get(key, 0))
        self.copies.move_to_end(key)
        while len(self.copies) > self.max_copies:
            self.copies.popitem(last=False)


class ColdStart:
    """Capacity of a machine that started recently, and whether requests overload it (rule four).

    Attributes:
        started_at: ns; 0: long ago, so the machine is warm.
        initial_share: Share of the full capacity at the start; it grows linearly over `warm_up_s`.
        overload_multiple: The machine crashes when asked for more than this multiple of its capacity.
        window: Period over which that is measured, ns.
        recent_requests: Arrival time and work of the requests of the last window.
        strain: Greatest work in a window, as a share of the work that crashes the machine.
    """

    def __init__(
        self,
        started_at: int,
        initial_share: float,
        warm_up_s: float,
        overload_multiple: float,
        window: int,
        capacity: float,
    ) -> None:
        self.started_at, self.initial_share, self.warm_up_s, self.overload_multiple = (
            started_at,
            initial_share,
            warm_up_s,
            overload_multiple,
        )
        self.window, self.capacity = window, capacity
        self.recent_requests: deque[tuple[int, float]] = deque()
        self.recent_work = 0.0
        self.strain = 0.0

    def capacity_share(self, now: int) -> float:
        """Return the share of the full capacity that the machine has now."""
        if not self.started_at:
            return 1.0
        return min(
            1.0,
            self.initial_share
            + (1 - self.initial_share) * max(now - self.started_at, 0) / (self.warm_up_s * SECOND),
        )

    def add_request(self, now: int, work: float) -> bool:
        """Count a request of so much work; return whether the load over a whole window is too high."""
        if not self.started_at or self.capacity_share(now) >= 1:
            return False
        self.recent_requests.append((now, work))
        self.recent_work += work
        while self.recent_requests[0][0] < now - self.window:
            self.recent_work -= self.recent_requests.popleft()[1]
        window_capacity = (
            self.capacity_share(max(now - self.window, self.started_at)) * self.capacity * self.window
        )
        if now - self.started_at <= self.window:
            return False
        self.strain = max(self.strain, self.recent_work / (self.overload_multiple * window_capacity))
        return self.recent_work > self.overload_multiple * window_capacity
