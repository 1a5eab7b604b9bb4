"""Freshness: how old a copy may be that a request is answered with, after purges too."""

from quincepier.context import Context, Part
from quincepier.keys import MAX_REMEMBERED_KEYS
from quincepier.records import SECOND, Request
from quincepier.structures import PurgeLog

PURGE_MARGIN = 2 * SECOND  # ns past a purge's settling


class Freshness(Part):
    """Rule three: no copy past its age, and none from before a purge.

    Attributes:
        purges: When objects and groups were purged.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.purges = PurgeLog(MAX_REMEMBERED_KEYS)

    def on_purge(self, group: int, obj: int, ago: int) -> None:
        """Take a purge that was made `ago` ns before; those that have settled are forgotten."""
        now = self.context.now
        self.purges.purge(group, obj, now - ago, now - self._settled_after)

    def max_age(self, request: Request, stale: bool) -> int:
        """Return the greatest age of a copy, ns; 0: the class's own.

        Args:
            request: The request.
            stale: Whether a copy past its fresh time will do, within the class's grace.
        """
        cls = request.cls
        purged_at = self.purges.last(request.event.group, request.event.object)
        age = cls.fresh + cls.grace if stale and cls.fresh else 0
        since_purge = self.context.now - purged_at
        if purged_at < 0 or since_purge > self._settled_after:
            return age
        since_purge = max(since_purge, 1)
        return min(age or cls.fresh or since_purge, since_purge)

    @property
    def _settled_after(self) -> int:
        """Age from which a purge forbids no copy any more, ns."""
        return self.context.settings.purge_settles + PURGE_MARGIN
