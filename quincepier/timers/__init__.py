"""Timers without I/O or clock: a hierarchical wheel, and a clock that does not count our own standstill.

They decide what is due, in which order and how much of it at a time. They never read the time, sleep or call
what a timer is about. Read `wheel.py` first.
"""

from quincepier.timers.active_clock import ActiveClock
from quincepier.timers.wheel import Timer, TimerWheel

__all__ = ["ActiveClock", "Timer", "TimerWheel"]
