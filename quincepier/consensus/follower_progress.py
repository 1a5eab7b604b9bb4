"""What a leader knows of one follower (etcd's raft: Progress)."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class ResponseId:
    """Orders the responses of one voter, also across its starts."""

    start_count: int
    sequence: int


NO_RESPONSE = ResponseId(0, 0)


@dataclass(slots=True)
class FollowerProgress:
    """Replication progress of one follower, or of a voter that is to be added.

    Attributes:
        next_index: Index of the next entry to send; at or before the snapshot it needs the snapshot.
        match_index: The follower has the leader's log on disk up to here.
        matched_by: The response that set `match_index`.
        acknowledged_at_ns: The leader's time at which the newest answered message was sent.
        rejected_at_ns: The leader's time at which a rejection last moved `next_index` back.
        snapshot_sent_at_ns: The leader's time at which the snapshot was last sent; 0: never.
        last_contact_ns: The leader's time at which a response last arrived.
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
