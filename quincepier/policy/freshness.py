"""Freshness: the maximum age of the copy that a request may be answered with."""

from quincepier.context import Context, RouterComponent
from quincepier.keys import MAX_REMEMBERED_KEYS
from quincepier.records import SECOND, Request
from quincepier.structures import PurgeLog

PURGE_MARGIN = 2 * SECOND  # ns; purges are enforced for so long beyond their settling time


class Freshness(RouterComponent):
    """Forbids copies that are too old and copies from before a purge.

    Attributes:
        purges: Times at which objects and groups were purged, ns.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.purges = PurgeLog(MAX_REMEMBERED_KEYS)

    def on_purge(self, group: int, obj: int, age: int) -> None:
        """Record a purge; discard purges that have settled.

        Args:
            group: The group of objects.
            obj: The object; 0: the whole group.
            age: Age of the purge, ns.
        """
        now = self.context.now
        self.purges.record_purge(group, obj, now - age, now - self._settled_after)

    def max_age(self, request: Request, stale: bool) -> int:
        """Return the maximum age of the copy for a request, ns; 0: the limit of its request class applies.

        Args:
            request: The request.
            stale: Whether an expired copy within the grace time of the class is accepted.
        """
        cls = request.cls
        purged_at = self.purges.last_purge_at(request.event.group, request.event.object)
        age = cls.fresh + cls.grace if stale and cls.fresh else 0
        since_purge = self.context.now - purged_at
        if purged_at < 0 or since_purge > self._settled_after:
            return age
        since_purge = max(since_purge, 1)
        return min(age or cls.fresh or since_purge, since_purge)

    @property
    def _settled_after(self) -> int:
        """Age from which a purge no longer forbids copies, ns."""
        return self.context.settings.purge_settles + PURGE_MARGIN
