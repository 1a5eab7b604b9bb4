"""A clock for time-outs of peers that does not count time in which this process was paused."""

from __future__ import annotations


class ActiveClock:
    """Nanoseconds in which the process ran. It must be read at least every `max_step` ns.

    A longer time between two readings counts as `max_step`: the rest was a process pause. A source clock that
    stands still or goes back adds nothing.

    Attributes:
        time: The active time, ns.
        last_reading: The source clock at the last reading, ns.
        max_step: The most that one reading adds, ns.
        uncounted: Nanoseconds not counted so far.
    """

    def __init__(self, now: int, max_step: int) -> None:
        self.time, self.last_reading, self.max_step = now, now, max_step
        self.uncounted = 0

    def read(self, now: int) -> int:
        """Return the active time, ns; `now` is the source clock, ns."""
        elapsed = max(now - self.last_reading, 0)
        counted = min(elapsed, self.max_step)
        self.time += counted
        self.uncounted += elapsed - counted
        self.last_reading = now
        return self.time
