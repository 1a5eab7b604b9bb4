"""How the memory limit is shared out: what the program takes itself is measured, the rest has parts."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from quincepier.memory.buffer_pool import BUFFER_SIZE

MB = 1024 * 1024
OWN_GUESS = 30 * MB  # where the system does not tell what the program takes
SPARE = 0.15  # of the limit: growth of the program, the kernel's share, files
LEAST = 0.1  # of the limit: shared out even where the program leaves less
BUFFERS, BODIES, REQUESTS = 0.5, 0.12, 0.2  # of what is left; the rest is for connections and tables
REQUEST_COST = 6 * 1024  # bytes of one open request with its attempts, timers and commands, bodies apart


@dataclass(slots=True, frozen=True)
class MemoryBudget:
    buffers: int  # of one size, over all connections and objects
    bodies: int  # bytes of requests' bodies
    requests: int  # open at a time


def own_memory() -> int:
    """Bytes that the process has resident now."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return OWN_GUESS
    return pages * os.sysconf("SC_PAGE_SIZE")


def divide_memory(memory_mb: int, own: int, max_open: int) -> MemoryBudget:
    limit = memory_mb * MB
    left = max(limit * (1 - SPARE) - own, limit * LEAST)
    return MemoryBudget(
        buffers=max(int(left * BUFFERS / BUFFER_SIZE), 64),
        bodies=max(int(left * BODIES), 256 * 1024),
        requests=max(min(int(left * REQUESTS / REQUEST_COST), max_open), 64),
    )
