"""Detects voters that run from an older copy of their storage folder, by the starts of their processes.

Each start is counted on disk and has a random nonce. A lower count, or another nonce with the same count,
shows that the folder was replaced by an older copy.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_REMEMBERED_STARTS = 32


@dataclass(slots=True, frozen=True)
class ProcessStart:
    """One start of a voter's process: its count, as stored in the folder, and a random nonce."""

    count: int
    nonce: int

    def is_rolled_back_from(self, newest: ProcessStart) -> bool:
        """Whether this start can't have followed `newest` in the same storage folder."""
        return self.count < newest.count or (self.count == newest.count and self.nonce != newest.nonce)


class ProcessStartRegistry:
    """The newest start of each voter; over `MAX_REMEMBERED_STARTS` the least recently seen is dropped."""

    def __init__(self) -> None:
        self.start_by_voter: dict[tuple[str, str], ProcessStart] = {}  # by name and identity

    def accept(self, name: str, identity: str, start: ProcessStart) -> bool:
        """Remember a start and return True, or return False if the voter is known to have a newer one."""
        voter = (name, identity)
        newest = self.start_by_voter.get(voter)
        if newest is not None and start.is_rolled_back_from(newest):
            return False
        self.start_by_voter.pop(voter, None)
        self.start_by_voter[voter] = start
        if len(self.start_by_voter) > MAX_REMEMBERED_STARTS:
            oldest = next(iter(self.start_by_voter))
            del self.start_by_voter[oldest]
        return True
