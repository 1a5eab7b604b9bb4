"""When objects and groups of objects were purged last."""

from __future__ import annotations

from quincepier.structures.recency_map import RecencyMap


class PurgeLog(RecencyMap):
    """Times by (0, object) or (1, group)."""

    def record_purge(self, group: int, obj: int, at: int, oldest: int) -> None:
        """Of an object, or of all the group where that is 0; what is from before `oldest` is forgotten."""
        key = (0, obj) if obj else (1, group)
        self.record(key, max(at, self.get(key, 0)), oldest)

    def last_purge_at(self, group: int, obj: int) -> int:
        """When it was purged last, by itself or with its group; -1 where that is not known."""
        return max(self.get((0, obj), -1), self.get((1, group), -1))
