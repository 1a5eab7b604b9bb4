"""The volatile state of a leader, lost when it steps down (Raft, figure 2)."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.consensus.follower_progress import FollowerProgress


@dataclass(slots=True)
class LeaderState:
    """What only a leader has.

    Attributes:
        since_ns: When it became leader.
        first_index: Index of its first entry of its term.
        heartbeat_deadline_ns: When it sends its next heartbeat.
        progress_by_identity: Of each follower and each voter that is to be added.
        lease_until_ns: Until then no other voter can become leader; 0: no quorum has answered yet.
    """

    since_ns: int
    first_index: int
    heartbeat_deadline_ns: int
    progress_by_identity: dict[str, FollowerProgress]
    lease_until_ns: int = 0
