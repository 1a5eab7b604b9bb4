"""Timestamps that can be compared across restarts of the process or of the machine."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated

import msgspec

from quincepier.clock import MS

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


class Timestamp(msgspec.Struct, frozen=True, array_like=True):
    """A time by two clocks, the wall clock and the clock since boot.

    Attributes:
        unix_ms: Unix time in milliseconds.
        boot_id: Id of the machine's boot, empty if unknown.
        since_boot_ns: Nanoseconds since that boot; not affected by setting the wall clock.
    """

    unix_ms: Annotated[int, msgspec.Meta(ge=0, lt=1 << 50)]
    boot_id: Annotated[str, msgspec.Meta(max_length=200)]
    since_boot_ns: Annotated[int, msgspec.Meta(ge=0)]


def current_timestamp() -> Timestamp:
    """Return the current time."""
    try:
        boot_id = BOOT_ID_PATH.read_text().strip()
    except OSError:
        boot_id = ""
    return Timestamp(max(time.time_ns() // MS, 0), boot_id, time.clock_gettime_ns(time.CLOCK_BOOTTIME))


def age_of(written: Timestamp, now: Timestamp) -> int | None:
    """Return the nanoseconds between two timestamps, or None if the clocks contradict each other."""
    if written.boot_id and written.boot_id == now.boot_id:
        elapsed_ns = now.since_boot_ns - written.since_boot_ns
    else:
        elapsed_ns = (now.unix_ms - written.unix_ms) * MS
    return elapsed_ns if elapsed_ns >= 0 else None
