"""Early rejection: a front that is short of CPU rejects requests that waited long, the lowest tier first.

This complements admission control, which sheds by the load of the origin and not by that of the front. A
single long wait is no reason to reject: the process may not have been scheduled for a moment, and the
requests that waited then are still served in time. Requests are rejected only if for a whole interval every
request had to wait too long. CoDel decides in the same way, by the minimum delay within an interval (RFC
8289, section 3.2).
"""

from quincepier.context import Context, RouterComponent
from quincepier.interface import RequestReceived
from quincepier.records import MS

MAX_WAIT_SHARE = 0.2  # of the class's target latency, divided by 1 + tier: how long a request may wait
MIN_WAIT = 10 * MS  # ns; shorter waits are never too long; equals the release interval of the hold queue
# Time, ns, for which all waits must be too long before a request is rejected (RFC 8289, section 4.3).
OVERLOAD_INTERVAL = 100 * MS


class EarlyRejection(RouterComponent):
    """Decides whether to reject a request because the front is overloaded.

    Args:
        context: State shared by the components of the router.
        tiers: The tier of each request class, 0 the highest.

    Attributes:
        overloaded_since: Time since which every request has waited longer than the smallest maximum wait of
            any class, ns; -1: the last request has not.
        last_wait_at: Time at which a request last had waited longer than that, ns.
    """

    def __init__(self, context: Context, tiers: list[int]) -> None:
        super().__init__(context)
        cached_classes = {n: c for n, c in enumerate(context.settings.classes) if not c.never_kept}
        self._max_waits = {
            n: max(int(MAX_WAIT_SHARE * c.on_time / (1 + tiers[n])), MIN_WAIT)
            for n, c in cached_classes.items()
        }
        self._min_max_wait = min(self._max_waits.values(), default=MIN_WAIT)
        self.overloaded_since = -1
        self.last_wait_at = -1

    def should_reject(self, event: RequestReceived) -> bool:
        """Record how long a request waited, and return whether to reject it.

        Classes that are never cached are exempt.
        """
        is_overloaded = self._note_wait(event.waited)
        max_wait = self._max_waits.get(event.class_index)
        return is_overloaded and max_wait is not None and event.waited > max_wait

    def _note_wait(self, waited: int) -> bool:
        """Record how long a request waited, ns.

        Returns:
            Whether every wait has been too long for at least `OVERLOAD_INTERVAL`.
        """
        now = self.context.now
        if waited <= self._min_max_wait:
            self.overloaded_since = -1
            return False
        if self.overloaded_since < 0 or now - self.last_wait_at > OVERLOAD_INTERVAL:
            self.overloaded_since = now
        self.last_wait_at = now
        return now - self.overloaded_since >= OVERLOAD_INTERVAL
