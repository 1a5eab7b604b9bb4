"""A leader's knowledge of one follower's log (`Progress` in etcd's raft)."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class ResponseId:
    """Orders the responses of one voter, also across restarts of its process."""

    start_count: int
    sequence: int


NO_RESPONSE = ResponseId(0, 0)


@dataclass(slots=True)
class FollowerProgress:
    """Replication progress of one follower, or of a voter that is to be added.

    Attributes:
        next_index: Index of the next entry to send; the snapshot is sent if it includes that entry.
        match_index: Index up to which the follower is known to have the leader's log on disk.
        matched_by: The response that set `match_index`.
        acknowledged_at_ns: Send time, by the leader's clock, of the newest message that was answered.
        rejected_at_ns: When a rejection last moved `next_index` back, by the leader's clock.
        snapshot_sent_at_ns: When the snapshot was last sent, by the leader's clock; 0 if never.
        last_contact_ns: When a response last arrived, by the leader's clock.
    """

    next_index: int
    match_index: int = 0
    matched_by: ResponseId = NO_RESPONSE
    acknowledged_at_ns: int = 0
    rejected_at_ns: int = 0
    snapshot_sent_at_ns: int = 0
    last_contact_ns: int = 0

    @property
    def has_matched(self) -> bool:
        """Whether any response has confirmed a matching log."""
        return self.matched_by.start_count > 0
