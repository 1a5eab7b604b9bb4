"""Configuration of a Raft node: names, timing and limits; docs/agreement.md explains the values."""

from __future__ import annotations

from dataclasses import dataclass, field

from quincepier.consensus.errors import ConsensusError
from quincepier.state.voter_records import MAX_VOTERS

MS = 1_000_000  # nanoseconds per millisecond
MIN_VOTERS = 3
MAX_NAME_LENGTH = 64


@dataclass(slots=True, frozen=True)
class ElectionTimeouts:
    """Timing of elections, heartbeats and the leader's lease, in nanoseconds.

    The round trip of a message and its response must be shorter than `leader_lease_ns` minus
    `heartbeat_interval_ns`, or a leader can't renew its lease.

    Attributes:
        heartbeat_interval_ns: Interval of a leader's heartbeats to each follower.
        retry_interval_ns: Interval at which an unanswered vote request or announcement is sent again.
        min_election_timeout_ns: Shortest time without a leader before an election starts. For this long after
            a leader's message a voter grants no vote (thesis 6.2).
        max_election_timeout_ns: Longest time without a leader before an election starts; a leader without a
            quorum for this long steps down.
        leader_lease_ns: Duration of the leader's lease, counted from the sending of a message that a quorum
            answered. It is shorter than `min_election_timeout_ns` by more than clocks drift apart in that
            time.
        snapshot_retry_interval_ns: Shortest interval between two transmissions of a snapshot to one
            follower.
    """

    heartbeat_interval_ns: int = 120 * MS
    retry_interval_ns: int = 250 * MS
    min_election_timeout_ns: int = 1400 * MS
    max_election_timeout_ns: int = 2200 * MS
    leader_lease_ns: int = 1300 * MS
    snapshot_retry_interval_ns: int = 1000 * MS


@dataclass(slots=True, frozen=True)
class RaftLimits:
    """Limits on the log, on uncommitted entries and on pending writes.

    Attributes:
        max_committed_entries: Committed entries in the log before they are compacted into the snapshot.
        max_committed_bytes: Bytes of committed entries in the log before they are compacted.
        max_uncommitted_entries: Uncommitted entries in the log; further proposals are dropped.
        max_uncommitted_bytes: Bytes of data of uncommitted entries; further proposals are dropped.
        max_pending_writes: Writes that are not on disk yet; at this number incoming messages are dropped.
    """

    max_committed_entries: int = 16
    max_committed_bytes: int = 256 * 1024
    max_uncommitted_entries: int = 64
    max_uncommitted_bytes: int = 4 * 1024 * 1024
    max_pending_writes: int = 16


@dataclass(slots=True, frozen=True)
class RaftConfig:
    """Settings of a Raft node, fixed while its process runs.

    Attributes:
        name: Name of this voter.
        voters: Names of all voters by the operators' file, three to seven, including `name`.
        timeouts: Timing of elections, heartbeats and the lease.
        limits: Limits on the log and on pending writes.
        pre_vote: Whether a pre-vote precedes each election (thesis 9.6).

    Raises:
        ConsensusError: If the voters' names are invalid.
    """

    name: str
    voters: tuple[str, ...]
    timeouts: ElectionTimeouts = field(default_factory=ElectionTimeouts)
    limits: RaftLimits = field(default_factory=RaftLimits)
    pre_vote: bool = True

    def __post_init__(self) -> None:
        distinct = set(self.voters)
        if not MIN_VOTERS <= len(distinct) <= MAX_VOTERS or len(distinct) != len(self.voters):
            raise ConsensusError("three to seven distinct voters are required", "voters")
        if not all(1 <= len(name) <= MAX_NAME_LENGTH for name in self.voters):
            raise ConsensusError("a voter's name must have 1 to 64 characters", "voters")
        if self.name not in self.voters:
            raise ConsensusError(f"{self.name} is not among the voters", "voters")
