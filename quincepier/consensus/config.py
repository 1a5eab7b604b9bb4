"""Configuration of a Raft node: names, timing and limits; docs/agreement.md has the reasons."""

from __future__ import annotations

from dataclasses import dataclass, field

from quincepier.consensus.errors import ConsensusError
from quincepier.state.voter_records import MAX_VOTERS

MS = 1_000_000  # nanoseconds
MIN_VOTERS = 3
MAX_NAME_LENGTH = 64


@dataclass(slots=True, frozen=True)
class ElectionTimeouts:
    """Times of elections, heartbeats and the leader's lease, in nanoseconds.

    A message and its response must take less than `leader_lease_ns` less `heartbeat_interval_ns` together,
    or a leader can't renew its lease.

    Attributes:
        heartbeat_interval_ns: Between two heartbeats of a leader to each follower.
        retry_interval_ns: Between repeats of a vote request or of an announcement that was not answered.
        min_election_timeout_ns: The shortest wait without a leader before an election. For this long after
            a leader's message no voter helps another to become leader (thesis 6.2).
        max_election_timeout_ns: The longest such wait; a leader without a quorum for this long steps down.
        leader_lease_ns: From when a message was sent that a quorum answered. It is shorter than
            `min_election_timeout_ns` by more than clocks may drift apart meanwhile.
        snapshot_retry_interval_ns: Between two transmissions of a snapshot to one follower.
    """

    heartbeat_interval_ns: int = 120 * MS
    retry_interval_ns: int = 250 * MS
    min_election_timeout_ns: int = 1400 * MS
    max_election_timeout_ns: int = 2200 * MS
    leader_lease_ns: int = 1300 * MS
    snapshot_retry_interval_ns: int = 1000 * MS


@dataclass(slots=True, frozen=True)
class RaftLimits:
    """Bounds of the log and of what waits.

    Attributes:
        max_committed_entries: Committed entries in the log before they are compacted into the snapshot.
        max_committed_bytes: Bytes of committed entries in the log before they are compacted.
        max_uncommitted_entries: Entries that wait to be committed; further proposals are dropped.
        max_uncommitted_bytes: Bytes of entries that wait to be committed.
        max_pending_writes: Writes that are not on disk yet; with more, incoming messages are dropped.
    """

    max_committed_entries: int = 16
    max_committed_bytes: int = 256 * 1024
    max_uncommitted_entries: int = 64
    max_uncommitted_bytes: int = 4 * 1024 * 1024
    max_pending_writes: int = 16


@dataclass(slots=True, frozen=True)
class RaftConfig:
    """What a Raft node is told once.

    Attributes:
        name: This voter.
        voters: All voters as the operators' file names them, three to seven, `name` among them.
        timeouts: Timing.
        limits: Bounds.
        pre_vote: Whether a pre-vote goes before each election (thesis 9.6).

    Raises:
        ConsensusError: If the voters' names can't be used.
    """

    name: str
    voters: tuple[str, ...]
    timeouts: ElectionTimeouts = field(default_factory=ElectionTimeouts)
    limits: RaftLimits = field(default_factory=RaftLimits)
    pre_vote: bool = True

    def __post_init__(self) -> None:
        distinct = set(self.voters)
        if not MIN_VOTERS <= len(distinct) <= MAX_VOTERS or len(distinct) != len(self.voters):
            raise ConsensusError("three to seven different voters are needed", "voters")
        if not all(1 <= len(name) <= MAX_NAME_LENGTH for name in self.voters):
            raise ConsensusError("a voter's name has 1 to 64 characters", "voters")
        if self.name not in self.voters:
            raise ConsensusError(f"{self.name} is not among the voters", "voters")
