"""A clock for what others are given time to do: time in which this process stood still is not counted."""

from __future__ import annotations


class ActiveClock:
    """Nanoseconds that went by while we were there. Read at least every `step`: more was our lateness.

    A clock that stands still or jumps back adds nothing; one that jumps ahead adds a step.
    """

    def __init__(self, now: int, step: int) -> None:
        self.time, self.last_reading, self.max_step = now, now, step
        self.uncounted = 0  # nanoseconds not counted, in all

    def read(self, now: int) -> int:
        gone = max(now - self.last_reading, 0)
        counted = min(gone, self.max_step)
        self.time += counted
        self.uncounted += gone - counted
        self.last_reading = now
        return self.time
