"""A hierarchical timing wheel (Varghese and Lauck, 1987, scheme 7): all operations take constant time.

It has four levels of 256 slots. A timer lies in the lowest level whose span covers its wait, and moves down
as its time comes near. A bit for each used slot lets the wheel skip empty time. Due timers go to a queue
ordered by due time, from which the caller takes as many in one turn of the event loop as it likes.
"""

from __future__ import annotations

import heapq
from typing import Generic, TypeVar

T = TypeVar("T")
BITS, LEVELS = 8, 4  # bits of the slot index, and levels
SLOTS = 1 << BITS  # in one level
MASK = SLOTS - 1
# Ticks that the wheel covers; a later timer waits in the last slot and is inserted again from there.
WHEEL_SPAN = 1 << BITS * LEVELS


class Timer(Generic[T]):
    """A scheduled timer; also the handle for `TimerWheel.cancel`.

    Attributes:
        due: The time at which it is due.
        tick: The first tick at which `due` has passed.
        order: Its number in the order of scheduling.
        payload: The caller's value.
        slot: Index of its slot; -1 in the queue of due timers; None once it was taken or cancelled.
    """

    __slots__ = ("due", "order", "payload", "slot", "tick")

    def __init__(self, due: int, tick: int, order: int, payload: T) -> None:
        self.due, self.tick, self.order, self.payload = due, tick, order, payload
        self.slot: int | None = None


class TimerWheel(Generic[T]):
    """Timers by due time, in integer units of one clock; a tick has `tick_length` units. No timer is early.

    Attributes:
        tick_length: Units of the clock in one tick.
        tick: The tick up to which timers have been moved to `due_timers`.
        slots: The timers of each slot, level by level; None for an empty slot.
        used_slots_by_level: A bit mask of the used slots of each level.
        due_timers: Heap of due time, order and timer; it may still have cancelled ones.
        size: Scheduled timers that were neither taken nor cancelled.
        scheduled_count: Timers scheduled so far.
        max_lateness: The longest time between a timer's due time and its taking.
        taken_count: Timers taken so far.
    """

    def __init__(self, now: int, tick_length: int) -> None:
        self.tick_length, self.tick = tick_length, now // tick_length
        self.slots: list[dict[Timer[T], None] | None] = [None] * (SLOTS * LEVELS)
        self.used_slots_by_level = [0] * LEVELS
        self.due_timers: list[tuple[int, int, Timer[T]]] = []
        self.size = self.scheduled_count = 0
        self.max_lateness = self.taken_count = 0

    def __len__(self) -> int:
        return self.size

    def schedule(self, due: int, payload: T) -> Timer[T]:
        """Add a timer. One in the past is due at once, in the order of due times."""
        self.scheduled_count += 1
        self.size += 1
        timer = Timer(due, -(-due // self.tick_length), self.scheduled_count, payload)
        self._insert(timer)
        return timer

    def cancel(self, timer: Timer[T]) -> bool:
        """Cancel a timer, due or not; return False if it was taken or cancelled before."""
        if timer.slot is None:
            return False
        if timer.slot >= 0:
            timers = self.slots[timer.slot]
            assert timers is not None
            del timers[timer]
            if not timers:
                self._clear_slot(timer.slot)
        timer.slot = None
        self.size -= 1
        return True

    def take_due(self, now: int) -> Timer[T] | None:
        """Return the next due timer, by due time and then in the order of scheduling; None if none is due."""
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
        """Return a time before which no timer is due; None if there is no timer.

        It is not later than the tick of the first timer, and may be earlier.
        """
        while self.due_timers and self.due_timers[0][2].slot is None:
            heapq.heappop(self.due_timers)
        if self.due_timers:
            return self.tick * self.tick_length
        tick = self._next_used_tick()
        return None if tick is None else tick * self.tick_length

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
        slot = level * SLOTS + index
        timers = self.slots[slot]
        if timers is None:
            timers = self.slots[slot] = {}
            self.used_slots_by_level[level] |= 1 << index
        timers[timer] = None
        timer.slot = slot

    def _clear_slot(self, slot: int) -> None:
        self.slots[slot] = None
        self.used_slots_by_level[slot // SLOTS] &= ~(1 << slot % SLOTS)

    def _next_used_tick(self) -> int | None:
        """Return the next tick at which a used slot is due or its timers move down."""
        found: int | None = None
        for level in range(LEVELS):
            used = self.used_slots_by_level[level]
            if used:
                current = self.tick >> BITS * level
                shift = (current + 1) & MASK  # rotates the slot after the current one to bit 0
                rotated = (used >> shift | used << SLOTS - shift) & (1 << SLOTS) - 1
                steps = (rotated & -rotated).bit_length()  # 1 for the next slot
                tick = current + steps << BITS * level
                found = tick if found is None else min(found, tick)
        return found

    def _advance(self, target: int) -> None:
        while (next_tick := self._next_used_tick()) is not None and next_tick <= target:
            self.tick = next_tick
            for level in range(LEVELS - 1, -1, -1):
                if next_tick & (1 << BITS * level) - 1 == 0:
                    slot = level * SLOTS + (next_tick >> BITS * level & MASK)
                    timers = self.slots[slot]
                    if timers is not None:
                        self._clear_slot(slot)
                        for timer in timers:
                            self._insert(timer)
        self.tick = max(self.tick, target)
