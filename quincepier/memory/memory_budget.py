"""Divides the memory limit: the resident size of the process is measured, the rest is split by purpose."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from quincepier.memory.buffer_pool import BUFFER_SIZE

MB = 1024 * 1024
DEFAULT_RESIDENT_BYTES = 30 * MB  # assumed where the system does not report the resident size
HEADROOM_FRACTION = 0.15  # of the limit: growth of the process, the kernel's buffers, files
MIN_DIVIDED_FRACTION = 0.1  # of the limit: divided at least, even if the process leaves less
# Fractions of the divided memory; connections and tables use the rest.
BUFFER_FRACTION = 0.5
BODY_FRACTION = 0.12
REQUEST_FRACTION = 0.2
REQUEST_BYTES = 6 * 1024  # one open request with its attempts, timers and commands, without its body
OUTBOUND_FRACTION = 0.1
OUTBOUND_BYTES = 12 * 1024  # one connection to a cache, without the buffers of its responses
EXECUTED_ID_FRACTION = 0.02
EXECUTED_ID_BYTES = 200  # one remembered id of a request that may have run
MIN_BUFFERS = 64
MIN_BODY_BYTES = 256 * 1024
MIN_OPEN_REQUESTS = 64
MIN_OUTBOUND = 16
MIN_EXECUTED_IDS = 256


@dataclass(slots=True, frozen=True)
class MemoryBudget:
    """Limits that follow from the memory limit.

    Attributes:
        max_buffers: Buffers of `BUFFER_SIZE`, over all connections and objects.
        max_body_bytes: Bytes of all request bodies together.
        max_open_requests: Requests that may be open at a time.
        max_outbound: Connections to caches, the change log and other fronts.
        max_executed_ids: Ids remembered of requests that are over and may have run.
    """

    max_buffers: int
    max_body_bytes: int
    max_open_requests: int
    max_outbound: int = MIN_OUTBOUND
    max_executed_ids: int = MIN_EXECUTED_IDS


def resident_bytes() -> int:
    """Return the resident size of this process, in bytes."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return DEFAULT_RESIDENT_BYTES
    return pages * os.sysconf("SC_PAGE_SIZE")


def divide_memory(memory_mb: int, resident: int, max_open_requests: int) -> MemoryBudget:
    """Divide the memory limit.

    Args:
        memory_mb: The limit of the process, in megabytes.
        resident: Bytes that the process uses before it serves.
        max_open_requests: Upper limit on open requests, however much memory there is.
    """
    limit = memory_mb * MB
    divided = max(limit * (1 - HEADROOM_FRACTION) - resident, limit * MIN_DIVIDED_FRACTION)
    open_requests = min(int(divided * REQUEST_FRACTION / REQUEST_BYTES), max_open_requests)
    return MemoryBudget(
        max_buffers=max(int(divided * BUFFER_FRACTION / BUFFER_SIZE), MIN_BUFFERS),
        max_body_bytes=max(int(divided * BODY_FRACTION), MIN_BODY_BYTES),
        max_open_requests=max(open_requests, MIN_OPEN_REQUESTS),
        max_outbound=max(int(divided * OUTBOUND_FRACTION / OUTBOUND_BYTES), MIN_OUTBOUND),
        max_executed_ids=max(int(divided * EXECUTED_ID_FRACTION / EXECUTED_ID_BYTES), MIN_EXECUTED_IDS),
    )
