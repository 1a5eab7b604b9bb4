"""Recovery of a front after a start: its phases, its initial limits, and the facts learned before the start.

`phases` tracks the recovery until service is full, `initial_limits` bounds the first connects and polls, and
`learned_facts` decides which facts from before the start are restored. Nothing here chooses a server, reads a
clock or does I/O. See docs/recovery.md.
"""

from quincepier.recovery.initial_limits import (
    DialLimit,
    count_requesting_fronts,
    draw_first_poll_wait_ms,
)
from quincepier.recovery.phases import RecoveryPhase, RecoveryTracker

__all__ = [
    "DialLimit",
    "RecoveryPhase",
    "RecoveryTracker",
    "count_requesting_fronts",
    "draw_first_poll_wait_ms",
]
