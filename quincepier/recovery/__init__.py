"""How a front that starts anew finds its way back: what it allows itself at first, and when service is full.

It tells where a return stands (`stages.py`), decides the first dials and the step of the calls (`begin.py`),
and how much of what was learned before a start still counts (`memory.py`, which shells call with the module).
It never chooses a server, reads a clock, does I/O or imports the module. Read `stages.py` first, then
docs/recovery.md.
"""

from quincepier.recovery.begin import Ramp, first_poll, fronts_that_ask
from quincepier.recovery.phases import RecoveryPhase, RecoveryTracker

__all__ = ["Ramp", "RecoveryPhase", "RecoveryTracker", "first_poll", "fronts_that_ask"]
