"""Detects voters that run from an older copy of their storage, by the starts of their processes.

Each start is counted on disk and has a random nonce. An older count, or another nonce with the same count,
comes from a storage folder that was put back.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_REMEMBERED_STARTS = 32


@dataclass(slots=True, frozen=True)
class ProcessStart:
    """One start of a voter's process; the nonce is random."""

    count: int
    nonce: int

    def is_rolled_back_from(self, newest: ProcessStart) -> bool:
        """Whether this start can't have come after `newest` on the same storage."""
        return self.count < newest.count or (self.count == newest.count and self.nonce != newest.nonce)


class ProcessStartRegistry:
    """The newest start of each voter, the least recently heard of which are forgotten."""

    def __init__(self) -> None:
        self.start_by_voter: dict[tuple[str, str], ProcessStart] = {}  # by name and identity

    def accept(self, name: str, identity: str, start: ProcessStart) -> bool:
        """Remember a start; False if the voter is known to have a newer one."""
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
