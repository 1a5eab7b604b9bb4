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
WHEEL_SPAN = 1 << BITS * LEVELS  # ticks; what is due later waits in the last slot and is put back


class Timer(Generic[T]):
    """One timer that was set; of use for `cancel` alone."""

    __slots__ = ("due", "order", "payload", "slot", "tick")

    def __init__(self, due: int, tick: int, order: int, what: T) -> None:
        self.due, self.tick, self.order, self.payload = due, tick, order, what
        self.slot: int | None = None  # level and slot; -1 in the queue of what is due; None: over


class TimerWheel(Generic[T]):
    """Times are integers of one clock, `grain` of them to a tick. Nothing is early."""

    def __init__(self, now: int, grain: int) -> None:
        self.tick_length, self.tick = grain, now // grain
        self.slots: list[dict[Timer[T], None] | None] = [None] * (SLOTS * LEVELS)
        self.used_slots_by_level = [0] * LEVELS  # a bit for each slot in use
        self.due_timers: list[tuple[int, int, Timer[T]]] = []
        self.size = self.scheduled_count = 0
        self.max_lateness = self.taken_count = 0  # past its due time that one was taken at most; how many

    def __len__(self) -> int:
        return self.size

    def schedule(self, due: int, what: T) -> Timer[T]:
        """A timer for that time. One in the past is due at once, in the order of due times."""
        self.scheduled_count += 1
        self.size += 1
        timer = Timer(due, -(-due // self.tick_length), self.scheduled_count, what)
        self._insert(timer)
        return timer

    def cancel(self, timer: Timer[T]) -> bool:
        """Whether it was still to come. It is not handed out, even where its time has come already."""
        if timer.slot is None:
            return False
        if timer.slot >= 0:
            slot = self.slots[timer.slot]
            assert slot is not None
            del slot[timer]
            if not slot:
                self._clear_slot(timer.slot)
        timer.slot = None
        self.size -= 1
        return True

    def take_due(self, now: int) -> Timer[T] | None:
        """The next that is due, by due time and then in the order they were set; None where none is."""
        target = now // self.tick_length
        if target > self.tick:
            self._advance(target)
        while self.due_timers:
            timer = heapq.heappop(self.due_timers)[2]
            if timer.slot is not None:
                timer.slot = None
                self.size -= 1
                self.taken_count += 1
                self.max_lateness = max(self.max_lateness, now - timer.due)
                return timer
        return None

    def next_due(self) -> int | None:
        """A time before which nothing is due, not later than the first is; None where nothing is set."""
        while self.due_timers and self.due_timers[0][2].slot is None:
            heapq.heappop(self.due_timers)
        if self.due_timers:
            return self.tick * self.tick_length
        ahead = self._next_used_tick()
        return None if ahead is None else ahead * self.tick_length

    # Slots

    def _insert(self, timer: Timer[T]) -> None:
        wait = timer.tick - self.tick
        if wait <= 0:
            timer.slot = -1
            heapq.heappush(self.due_timers, (timer.due, timer.order, timer))
            return
        level, tick = 0, timer.tick
        if wait >= WHEEL_SPAN:
            level, tick = LEVELS - 1, self.tick + WHEEL_SPAN - 1
        else:
            while wait >> BITS * (level + 1):
                level += 1
        index = tick >> BITS * level & MASK
        place = level * SLOTS + index
        slot = self.slots[place]
        if slot is None:
            slot = self.slots[place] = {}
            self.used_slots_by_level[level] |= 1 << index
        slot[timer] = None
        timer.slot = place

    def _clear_slot(self, place: int) -> None:
        self.slots[place] = None
        self.used_slots_by_level[place // SLOTS] &= ~(1 << place % SLOTS)

    def _next_used_tick(self) -> int | None:
        """The next tick at which a slot ends or moves down."""
        found: int | None = None
        for level in range(LEVELS):
            used = self.used_slots_by_level[level]
            if used:
                at = self.tick >> BITS * level
                turn = (at + 1) & MASK  # the slot after this one comes first
                turned = (used >> turn | used << SLOTS - turn) & (1 << SLOTS) - 1
                steps = (turned & -turned).bit_length()  # 1 for the next slot
                tick = at + steps << BITS * level
                found = tick if found is None else min(found, tick)
        return found

    def _advance(self, target: int) -> None:
        while (ahead := self._next_used_tick()) is not None and ahead <= target:
            self.tick = ahead
            for level in range(LEVELS - 1, -1, -1):
                if ahead & (1 << BITS * level) - 1 == 0:
                    place = level * SLOTS + (ahead >> BITS * level & MASK)
                    slot = self.slots[place]
                    if slot is not None:
                        self._clear_slot(place)
                        for timer in slot:
                            self._insert(timer)
        self.tick = max(self.tick, target)
