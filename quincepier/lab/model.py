"""The model of one machine: what it keeps, how its sending is shared, how it is cold; no I/O, no clock.

Times are nanoseconds of the caller's clock.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Hashable
from typing import Any

from quincepier.lab.experiment import SECOND


class Sharing:
    """Processor sharing: up to `places` transfers run at full pace, more of them share it.

    Each transfer needs so much time alone. A clock of service runs at the pace each transfer gets, so that
    the end of each is fixed in it as the transfer begins, however many come and go.
    """

    def __init__(self, places: float) -> None:
        self.places, self.slower = places, 1.0
        self.served, self.at = 0.0, 0
        self.ends: list[tuple[float, int, Any]] = []
        self.gone: set[int] = set()
        self.numbers = self.busy = 0

    @property
    def pace(self) -> float:
        return min(1.0, self.places / self.busy) / self.slower if self.busy else 1.0 / self.slower

    def move(self, now: int) -> None:
        self.served += (now - self.at) * self.pace
        self.at = now

    def begin(self, now: int, work: float, what: Any) -> int:
        self.move(now)
        self.numbers += 1
        heapq.heappush(self.ends, (self.served + work, self.numbers, what))
        self.busy += 1
        return self.numbers

    def stop(self, now: int, number: int) -> None:
        """A transfer that nobody wants any more."""
        self.move(now)
        self.gone.add(number)
        self.busy -= 1

    def done(self, now: int) -> list[Any]:
        """The transfers that have ended by now."""
        self.move(now)
        found = []
        while self.ends and (self.ends[0][1] in self.gone or self.ends[0][0] <= self.served + 0.5):
            _, number, what = heapq.heappop(self.ends)
            if number in self.gone:
                self.gone.discard(number)
            else:
                self.busy -= 1
                found.append(what)
        return found

    def next(self) -> int | None:
        """When the next transfer ends if none comes or goes before."""
        while self.ends and self.ends[0][1] in self.gone:
            self.gone.discard(heapq.heappop(self.ends)[1])
        return self.at + max(int((self.ends[0][0] - self.served) / self.pace) + 1, 1) if self.ends else None

    def clear(self, now: int) -> list[Any]:
        """All that runs, broken off."""
        self.move(now)
        found = [what for _, number, what in sorted(self.ends, key=lambda e: e[1]) if number not in self.gone]
        self.ends, self.busy = [], 0
        self.gone.clear()
        return found


class Store:
    """Copies by key with the time the origin gave them out; what was used longest ago goes first."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.copies: OrderedDict[Hashable, int] = OrderedDict()

    def get(self, key: Hashable) -> int | None:
        minted = self.copies.get(key)
        if minted is not None:
            self.copies.move_to_end(key)
        return minted

    def put(self, key: Hashable, minted: int) -> None:
        self.copies[key] = max(minted, self.copies.get(key, 0))
        self.copies.move_to_end(key)
        while len(self.copies) > self.most:
            self.copies.popitem(last=False)


class Cold:
    """What a machine that just started can do, and whether it was pushed over (rule four)."""

    def __init__(
        self, born: int, start: float, time: float, multiple: float, window: int, places: float
    ) -> None:
        self.born, self.start, self.time, self.multiple = born, start, time, multiple
        self.window, self.places = window, places
        self.asked: deque[tuple[int, float]] = deque()
        self.sum = 0.0
        self.strain = 0.0  # the most it was asked for within a window, over what it stands

    def share(self, now: int) -> float:
        if not self.born:
            return 1.0
        return min(1.0, self.start + (1 - self.start) * max(now - self.born, 0) / (self.time * SECOND))

    def ask(self, now: int, work: float) -> bool:
        """Whether it falls over by one more of so much work: over its multiple for a whole window."""
        if not self.born or self.share(now) >= 1:
            return False
        self.asked.append((now, work))
        self.sum += work
        while self.asked[0][0] < now - self.window:
            self.sum -= self.asked.popleft()[1]
        room = self.share(max(now - self.window, self.born)) * self.places * self.window
        if now - self.born <= self.window:
            return False
        self.strain = max(self.strain, self.sum / (self.multiple * room))
        return self.sum > self.multiple * room
