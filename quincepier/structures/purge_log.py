"""Times of the last purges of objects and groups of objects."""

from __future__ import annotations

from quincepier.structures.recency_map import RecencyMap


class PurgeLog(RecencyMap):
    """Times of the last purges, ns, by (0, object) or (1, group)."""

    def record_purge(self, group: int, obj: int, at: int, oldest: int) -> None:
        """Record a purge of an object, or of the whole group if `obj` is 0.

        Args:
            group: The group.
            obj: The object.
            at: Time of the purge, ns.
            oldest: Purges from before this time are discarded, ns.
        """
        key = (0, obj) if obj else (1, group)
        self.record(key, max(at, self.get(key, 0)), oldest)

    def last_purge_at(self, group: int, obj: int) -> int:
        """Return the time of the last purge of an object or its group, ns; -1: none is known."""
        return max(self.get((0, obj), -1), self.get((1, group), -1))
