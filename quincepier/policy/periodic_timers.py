"""The router's own timers: releases of held requests, and checks for overdue attempts."""

from quincepier.context import Context, IntervalTimer, TimerKind
from quincepier.records import MS, AttemptTable, Request
from quincepier.structures import FairQueue

RELEASE_INTERVAL = 10 * MS  # ns (design)
OVERDUE_INTERVAL = 100 * MS  # ns


class PeriodicTimers:
    """Each is set once at a time, and only while there is something to look at.

    Args:
        context: What the parts of a router share.
        queue: The held requests.
        attempts: The open attempts.
    """

    def __init__(self, context: Context, queue: FairQueue[Request], attempts: AttemptTable) -> None:
        self._queue = queue
        self._attempts = attempts
        self.release = IntervalTimer(context, TimerKind.QUEUE_RELEASE, RELEASE_INTERVAL)
        self.overdue = IntervalTimer(context, TimerKind.OVERDUE_CHECK, OVERDUE_INTERVAL)

    def schedule(self) -> None:
        """Set those that are wanted."""
        self.release.set_if_needed(self._queue)
        self.overdue.set_if_needed(self._attempts)
