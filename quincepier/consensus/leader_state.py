"""The volatile state of a leader, lost when it steps down (Raft, figure 2)."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.consensus.follower_progress import FollowerProgress


@dataclass(slots=True)
class LeaderState:
    """State that only a leader has; times are monotonic nanoseconds.

    Attributes:
        since_ns: When this voter became leader.
        first_index: Index of the first entry of its term.
        heartbeat_deadline_ns: When the next heartbeat is due.
        progress_by_identity: Progress of each follower and of each voter that is to be added.
        lease_until_ns: No other voter can become leader before this time; 0 until a quorum has answered.
    """

    since_ns: int
    first_index: int
    heartbeat_deadline_ns: int
    progress_by_identity: dict[str, FollowerProgress]
    lease_until_ns: int = 0
