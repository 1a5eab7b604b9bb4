"""The front's clocks: monotonic nanoseconds for everything, Unix time only at this edge."""

from __future__ import annotations

import time

MS = 1_000_000
SECOND = 1000 * MS


def now() -> int:
    """Return nanoseconds of the monotonic clock that the decision logic is given."""
    return time.monotonic_ns()


def boot() -> int:
    """Return nanoseconds of a clock that also runs while the machine sleeps: leases are counted by it."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def ago(unix_ms: int) -> int:
    """Return how long ago a Unix millisecond ended, in nanoseconds, 0 at least.

    A time in whole milliseconds may have been cut; its end is the safe reading for a purge.
    """
    return max(time.time_ns() - (unix_ms + 1) * MS, 0)


def since(unix_ms: int) -> int:
    """Return a Unix millisecond as a time of the monotonic clock, 1 at least; 0 (long ago) stays 0."""
    return max(now() - (time.time_ns() - unix_ms * MS), 1) if unix_ms > 0 else 0
