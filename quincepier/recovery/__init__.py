"""Recovery of a front after a start: its phases, its initial limits, and the validity of older facts.

`phases` tracks the recovery until service is full, the initial limits bound the first dials and polls, and
`learned_facts` decides how much of what was learned before a start still counts. Nothing here chooses a
server, reads a clock or does I/O. See docs/recovery.md.
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
