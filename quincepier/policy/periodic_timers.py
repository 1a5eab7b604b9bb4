"""The router's periodic timers: release of held requests, and checks for overdue attempts."""

from quincepier.context import Context, IntervalTimer, TimerKind
from quincepier.records import MS, AttemptTable, Request
from quincepier.structures import FairQueue

RELEASE_INTERVAL = 10 * MS  # ns
OVERDUE_INTERVAL = 100 * MS  # ns


class PeriodicTimers:
    """Timers that run only while there are held requests or open attempts.

    An idle router sets no timers: 100 timer events per second at each of hundreds of fronts would cost more
    than the requests.

    Args:
        context: State shared by the components of the router.
        queue: The hold queue.
        attempts: The open attempts.

    Attributes:
        release: Timer for the release of held requests.
        overdue: Timer for the check for overdue attempts.
    """

    def __init__(self, context: Context, queue: FairQueue[Request], attempts: AttemptTable) -> None:
        self._queue = queue
        self._attempts = attempts
        self.release = IntervalTimer(context, TimerKind.QUEUE_RELEASE, RELEASE_INTERVAL)
        self.overdue = IntervalTimer(context, TimerKind.OVERDUE_CHECK, OVERDUE_INTERVAL)

    def schedule(self) -> None:
        """Set the timers that are needed now."""
        self.release.set_if_needed(self._queue)
        self.overdue.set_if_needed(self._attempts)
