"""The front's clocks, in nanoseconds: a monotonic clock for almost all times, Unix time only for dates."""

from __future__ import annotations

import time

MS = 1_000_000
SECOND = 1000 * MS


def now() -> int:
    """Return the time of the monotonic clock that the decision module uses, in ns."""
    return time.monotonic_ns()


def boot() -> int:
    """Return the time since boot in ns; it includes time suspended, so leases are measured by it."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def unix() -> int:
    """Return Unix time in ns; the wall clock may be stepped at any time (see `policy.event_age`)."""
    return time.time_ns()
