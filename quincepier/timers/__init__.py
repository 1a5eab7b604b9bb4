"""Timers without I/O: a hierarchical timing wheel, and a clock that does not count process pauses.

They decide which timers are due and in which order. They never read the time, sleep, or call what a timer is
for: the caller passes the time and takes the due timers. Start with `wheel.py`.
"""

from quincepier.timers.active_clock import ActiveClock
from quincepier.timers.wheel import Timer, TimerWheel

__all__ = ["ActiveClock", "Timer", "TimerWheel"]
