"""Remembers the ids of requests that may have run, so that none of them runs a second time."""

from __future__ import annotations


class ExecutedRequestIds:
    """The latest ids of requests that are over and whose command may have been executed.

    A client that lost its connection may send its request again under the same id, although each try should
    have an id of its own (WIRE, `REQUEST`). Ids are forgotten in the order in which they were added.

    Args:
        max_ids: Number of ids that are remembered.
    """

    def __init__(self, max_ids: int) -> None:
        self._max_ids = max_ids
        self._ids: dict[int, None] = {}  # ordered; a number takes half the memory of the text

    def __contains__(self, job_id: str) -> bool:
        return int(job_id, 16) in self._ids

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, job_id: str) -> bool:
        """Remember an id of 16 hexadecimal digits as the latest; return whether another was forgotten."""
        number = int(job_id, 16)
        self._ids.pop(number, None)
        self._ids[number] = None
        if len(self._ids) <= self._max_ids:
            return False
        del self._ids[next(iter(self._ids))]
        return True
