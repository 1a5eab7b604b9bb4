"""A hierarchical timing wheel (Varghese and Lauck, 1987, scheme 7): set, cancel and tick in constant time.

Four levels of 256 slots. A timer lies in the level whose reach covers its wait and moves down as its time
comes near; a bit for each slot in use lets empty time be skipped. What is due goes to a queue in order of due
time, from which the caller takes as much in one turn as it likes.
"""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

T = TypeVar("T")
BITS, LEVELS = 8, 4
SLOTS = 1 << BITS
MASK = SLOTS - 1
REACH = 1 << BITS * LEVELS  # ticks; what is due later waits in the last slot and is put back


class Timer(Generic[T]):
    """One timer that was set; of use for `cancel` alone."""

    __slots__ = ("due", "order", "place", "tick", "what")

    def __init__(self, due: int, tick: int, order: int, what: T) -> None:
        self.due, self.tick, self.order, self.what = due, tick, order, what
        self.place: int | None = None  # level and slot; -1 in the queue of what is due; None: over


class Wheel(Generic[T]):
    """Times are integers of one clock, `grain` of them to a tick. Nothing is early."""

    def __init__(self, now: int, grain: int) -> None:
        self.grain, self.tick = grain, now // grain
        self.slots: list[dict[Timer[T], None] | None] = [None] * (SLOTS * LEVELS)
        self.used = [0] * LEVELS  # a bit for each slot in use
        self.ready: list[tuple[int, int, Timer[T]]] = []
        self.size = self.orders = 0
        self.late_most = self.taken = 0  # past its due time that one was taken at most; how many

    def __len__(self) -> int:
        return self.size

    def set(self, due: int, what: T) -> Timer[T]:
        """A timer for that time. One in the past is due at once, in the order of due times."""
        self.orders += 1
        self.size += 1
        timer = Timer(due, -(-due // self.grain), self.orders, what)
        self._put(timer)
        return timer

    def cancel(self, timer: Timer[T]) -> bool:
        """Whether it was still to come. It is not handed out, even where its time has come already."""
        if timer.place is None:
            return False
        if timer.place >= 0:
            slot = self.slots[timer.place]
            assert slot is not None
            del slot[timer]
            if not slot:
                self._empty(timer.place)
        timer.place = None
        self.size -= 1
        return True

    def take(self, now: int) -> Timer[T] | None:
        """The next that is due, by due time and then in the order they were set; None where none is."""
        target = now // self.grain
        if target > self.tick:
            self._advance(target)
        while self.ready:
            timer = heapq.heappop(self.ready)[2]
            if timer.place is not None:
                timer.place = None
                self.size -= 1
                self.taken += 1
                self.late_most = max(self.late_most, now - timer.due)
                return timer
        return None

    def next(self) -> int | None:
        """A time before which nothing is due, not later than the first is; None where nothing is set."""
        while self.ready and self.ready[0][2].place is None:
            heapq.heappop(self.ready)
        if self.ready:
            return self.tick * self.grain
        ahead = self._ahead()
        return None if ahead is None else ahead * self.grain

    # Slots

    def _put(self, timer: Timer[T]) -> None:
        wait = timer.tick - self.tick
        if wait <= 0:
            timer.place = -1
            heapq.heappush(self.ready, (timer.due, timer.order, timer))
            return
        level, tick = 0, timer.tick
        if wait >= REACH:
            level, tick = LEVELS - 1, self.tick + REACH - 1
        else:
            while wait >> BITS * (level + 1):
                level += 1
        index = tick >> BITS * level & MASK
        place = level * SLOTS + index
        slot = self.slots[place]
        if slot is None:
            slot = self.slots[place] = {}
            self.used[level] |= 1 << index
        slot[timer] = None
        timer.place = place

    def _empty(self, place: int) -> None:
        self.slots[place] = None
        self.used[place // SLOTS] &= ~(1 << place % SLOTS)

    def _ahead(self) -> int | None:
        """The next tick at which a slot ends or moves down."""
        found: int | None = None
        for level in range(LEVELS):
            used = self.used[level]
            if used:
                at = self.tick >> BITS * level
                turn = (at + 1) & MASK  # the slot after this one comes first
                turned = (used >> turn | used << SLOTS - turn) & (1 << SLOTS) - 1
                steps = (turned & -turned).bit_length()  # 1 for the next slot
                tick = at + steps << BITS * level
                found = tick if found is None else min(found, tick)
        return found

    def _advance(self, target: int) -> None:
        while (ahead := self._ahead()) is not None and ahead <= target:
            self.tick = ahead
            for level in range(LEVELS - 1, -1, -1):
                if ahead & (1 << BITS * level) - 1 == 0:
                    place = level * SLOTS + (ahead >> BITS * level & MASK)
                    slot = self.slots[place]
                    if slot is not None:
                        self._empty(place)
                        for timer in slot:
                            self._put(timer)
        self.tick = max(self.tick, target)
