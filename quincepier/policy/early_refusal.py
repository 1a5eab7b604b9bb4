"""Early refusal: a front without enough CPU refuses what would wait long, the lowest tier first.

An exception beside the paper's mechanism, which sheds by the origin's load and not by the front's own. One
long wait says little: the process was off its core for a moment, and what waited then is served in time.
Requests are refused where the queue for turns stands: where for an interval none had its turn in time. So
does CoDel (RFC 8289, section 3.2), which looks at the least delay of an interval.
"""

from quincepier.context import Context, Part
from quincepier.interface import RequestReceived
from quincepier.records import MS

MAX_WAIT_SHARE = 0.2  # of the wanted time, over 1 + tier: how long a request may wait for its turn
MIN_WAIT = 10 * MS  # ns; less is no wait (the design's interval of releases)
INTERVAL = 100 * MS  # ns; for so long the queue stands before anything is refused (RFC 8289, section 4.3)


class EarlyRefusal(Part):
    """Whether a request is refused as the front is behind.

    Args:
        context: What the parts of a router share.
        tiers: The tier of each class, 0 the highest.

    Attributes:
        standing_since: Since when no request had its turn in time, ns; -1: one had.
        last_wait_at: When a request last had to wait for long, ns.
    """

    def __init__(self, context: Context, tiers: list[int]) -> None:
        super().__init__(context)
        kept = {n: c for n, c in enumerate(context.settings.classes) if not c.never_kept}
        self._max_waits = {
            n: max(int(MAX_WAIT_SHARE * c.on_time / (1 + tiers[n])), MIN_WAIT) for n, c in kept.items()
        }
        self._least_max_wait = min(self._max_waits.values(), default=MIN_WAIT)
        self.standing_since = -1
        self.last_wait_at = -1

    def is_due(self, event: RequestReceived) -> bool:
        """Return whether to refuse a request; classes never kept are exempt."""
        is_standing = self._note_wait(event.waited)
        max_wait = self._max_waits.get(event.class_index)
        return is_standing and max_wait is not None and event.waited > max_wait

    def _note_wait(self, waited: int) -> bool:
        """Note how long a request waited; whether the queue has stood for an interval."""
        now = self.context.now
        if waited <= self._least_max_wait:
            self.standing_since = -1
            return False
        if self.standing_since < 0 or now - self.last_wait_at > INTERVAL:
            self.standing_since = now
        self.last_wait_at = now
        return now - self.standing_since >= INTERVAL
