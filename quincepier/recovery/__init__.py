"""Recovery of a front after a start: its phases, its initial limits, and the validity of older facts.

`phases` tracks the recovery until service is full, the initial limits bound the first dials and polls, and
`learned_facts` decides how much of what was learned before a start still counts. Nothing here chooses a
server, reads a clock or does I/O. See docs/recovery.md.
"""

from quincepier.recovery.begin import Ramp, first_poll, fronts_that_ask
from quincepier.recovery.phases import RecoveryPhase, RecoveryTracker

__all__ = ["Ramp", "RecoveryPhase", "RecoveryTracker", "first_poll", "fronts_that_ask"]
