"""The state of one voter and its transitions between roles (Raft, figure 4).

The rules that act on it are in `election`, `replication` and `cluster_configuration`. `take_actions` is the
one place where records become a write and messages learn which write they wait for, so no rule can speak
before it has written.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from quincepier.consensus.actions import (
    Action,
    EntryCommitted,
    LeaderChanged,
    PersistRecords,
    SendMessage,
)
from quincepier.consensus.config import RaftConfig
from quincepier.consensus.follower_progress import FollowerProgress
from quincepier.consensus.leader_state import LeaderState
from quincepier.consensus.messages import VERSION, Body, Message, encode
from quincepier.consensus.persistence import PersistenceProgress
from quincepier.consensus.process_starts import ProcessStartRegistry
from quincepier.consensus.raft_log import RaftLog
from quincepier.consensus.raft_role import ROLE_TRANSITIONS, RaftRole
from quincepier.state.voter_records import (
    EntryKind,
    HardState,
    LogEntry,
    Member,
    Record,
    Snapshot,
    VoterState,
)


class DropReason(StrEnum):
    """Why a message or a proposal was not accepted; the key of its counter."""

    INVALID = "invalid"
    UNKNOWN_SENDER = "unknown_sender"
    DISK_BEHIND = "disk_behind"
    OTHER_IDENTITY = "other_identity"
    STALE_START = "stale_start"
    UNEXPECTED_RESPONSE = "unexpected_response"
    ROLLED_BACK_LOG = "rolled_back_log"
    PROPOSAL_LIMIT = "proposal_limit"


@dataclass(slots=True, frozen=True)
class Announcement:
    """The newest Hello of a voter's name."""

    identity: str
    configuration: tuple[Member, ...]
    received_at_ns: int


@dataclass(slots=True, frozen=True)
class QueuedMessage:
    """A message that the next `take_actions` encodes.

    Attributes:
        receiver_name: Where it is sent.
        body: What it says.
        receiver_identity: Whom it is meant for.
        needs_persistence: Whether it may go out only after all writes issued so far. Messages of a leader
            that carry entries need not wait (thesis 10.2.1).
    """

    receiver_name: str
    body: Body
    receiver_identity: str
    needs_persistence: bool


class RaftState:
    """All that one voter knows, and the actions that are not taken yet.

    Attributes:
        now_ns: Monotonic time of the current call.
        start_count: Starts of this storage folder, this one included.
        start_nonce: Random number of this start.
        leader: Name of the leader of this term, where it is known.
        leader_contact_ns: When the leader was last heard.
        election_deadline_ns: When a voter that does not lead starts an election.
        retry_deadline_ns: When requests that were not answered are repeated.
        votes_granted: Identities whose vote or pre-vote was granted, its own among them.
        deferred_to: Identities of other pre-candidates that this one let go first since it heard a leader.
        leader_state: What only a leader has; None in all other roles.
        is_bootstrapped: Whether all voters were bound to the first configuration.
        process_starts: The newest known start of each voter.
        announcement_by_name: The newest Hello of each name.
        response_sequence: Responses sent by this process.
        storage_rollbacks: How often this voter was told that its folder was rolled back.
    """

    def __init__(self, config: RaftConfig, saved: VoterState | None, now_ns: int, seed: int) -> None:
        self.config = config
        self.now_ns = now_ns
        self.random = random.Random(seed)
        self.start_nonce = self.random.getrandbits(60)
        self.log = RaftLog(saved)
        hard_state = saved.hard_state if saved else HardState(self._random_identity(), 0, 0)
        self.identity = hard_state.identity
        self.start_count = hard_state.start_count + 1
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.commit_index = self.log.snapshot_index
        self.persistence = PersistenceProgress(self.log.last_index)
        self.dropped = Counter[DropReason]()

        self.issued_hard_state = self.hard_state
        self.records: list[Record] = [self.hard_state]
        self.outbox: list[QueuedMessage] = []
        self.committed: list[EntryCommitted] = []
        self.reported_leader: LeaderChanged | None = None

        self.role = RaftRole.FOLLOWER
        self.leader: str | None = None
        # the process before may have acknowledged a leader just now: that one's lease is respected
        self.leader_contact_ns = now_ns
        self.election_deadline_ns = now_ns + self.random_election_timeout_ns()
        self.retry_deadline_ns = now_ns
        self.votes_granted: set[str] = set()
        self.deferred_to: set[str] = set()
        self.leader_state: LeaderState | None = None

        self.is_bootstrapped = bool(self.log.last_index or self.term)
        self.process_starts = ProcessStartRegistry()
        self.announcement_by_name: dict[str, Announcement] = {}
        self.response_sequence = 0
        self.storage_rollbacks = 0
        if self.log.snapshot is not None:
            self.report_committed_snapshot(self.log.snapshot)

    @property
    def hard_state(self) -> HardState:
        """What must be on disk before any message of this term."""
        return HardState(self.identity, self.start_count, self.term, self.voted_for)

    @property
    def configuration(self) -> tuple[Member, ...]:
        """The voters by the newest configuration in the log."""
        return self.log.configuration

    @property
    def is_member(self) -> bool:
        """Whether this voter, under this identity, is in the configuration that it knows."""
        return any(member.identity == self.identity for member in self.configuration)

    @property
    def quorum_size(self) -> int:
        """Votes of a majority."""
        return len(self.configuration) // 2 + 1

    @property
    def is_leader(self) -> bool:
        """Whether it leads its term."""
        return self.leader_state is not None

    @property
    def is_campaigning(self) -> bool:
        """Whether it asks for votes or pre-votes."""
        return self.role in (RaftRole.PRE_CANDIDATE, RaftRole.CANDIDATE)

    @property
    def is_unbound(self) -> bool:
        """Whether it never had a configuration nor a term, as in a new storage folder."""
        return self.log.snapshot is None and not self.term

    def other_members(self) -> list[Member]:
        """Return the configuration without this voter."""
        return [member for member in self.configuration if member.identity != self.identity]

    def quorum_value(self, own: int, value_of: Callable[[FollowerProgress], int]) -> int:
        """As leader, return the highest value that a quorum has reached.

        Args:
            own: The leader's own value; it counts if the leader is a member.
            value_of: The value of a follower; 0 where its progress is not tracked.
        """
        assert self.leader_state is not None
        progress_by_identity = self.leader_state.progress_by_identity
        values = [own] if self.is_member else []
        for member in self.other_members():
            progress = progress_by_identity.get(member.identity)
            values.append(value_of(progress) if progress is not None else 0)
        values.sort(reverse=True)
        return values[self.quorum_size - 1] if len(values) >= self.quorum_size else 0

    def random_election_timeout_ns(self) -> int:
        """Draw how long to wait for a leader."""
        timeouts = self.config.timeouts
        return self.random.randint(timeouts.min_election_timeout_ns, timeouts.max_election_timeout_ns)

    def reset_election_deadline(self) -> None:
        """Wait a whole election timeout again."""
        self.election_deadline_ns = self.now_ns + self.random_election_timeout_ns()

    def queue_message(
        self, receiver_name: str, body: Body, receiver_identity: str = "", needs_persistence: bool = True
    ) -> None:
        """Queue a message; see QueuedMessage."""
        self.outbox.append(QueuedMessage(receiver_name, body, receiver_identity, needs_persistence))

    def append_entry(self, entry: LogEntry) -> None:
        """Append to the log, in place of the entry at that index and of all after it."""
        if entry.index <= self.log.last_index:
            self.persistence.truncate(entry.index - 1)
        self.log.append(entry)
        self.records.append(entry)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log up to the snapshot, and all of it if it is of another history."""
        if self.log.term_at(snapshot.index) != snapshot.term:
            self.persistence.reset()
        self.log.install(snapshot)
        self.records.append(snapshot)

    def compact_log(self) -> None:
        """Replace the committed entries by a snapshot."""
        self.records.append(self.log.compact(self.commit_index))

    def report_committed_entry(self, entry: LogEntry) -> None:
        """Hand on a committed entry, if it holds data."""
        if entry.kind is EntryKind.DATA:
            self.committed.append(EntryCommitted(entry.index, entry.term, entry.data))

    def report_committed_snapshot(self, snapshot: Snapshot) -> None:
        """Hand on the newest committed data of a snapshot, if it holds any."""
        if snapshot.data_index:
            self.committed.append(EntryCommitted(snapshot.data_index, snapshot.data_term, snapshot.data))

    def become_follower(self, term: int) -> None:
        """Follow in a higher term, or give up leading or standing in this one."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.leader = None
        if self.is_leader:
            self.leader = None
        if self.role is not RaftRole.FOLLOWER:
            self.reset_election_deadline()
        self._change_role(RaftRole.FOLLOWER)
        self.votes_granted.clear()

    def abandon_election(self) -> None:
        """Ask for no more votes; granted ones are ignored in the role of a follower."""
        self._change_role(RaftRole.FOLLOWER)

    def become_pre_candidate(self) -> None:
        """Ask for pre-votes; the term stays (thesis 9.6)."""
        self._change_role(RaftRole.PRE_CANDIDATE)
        self.votes_granted = {self.identity}

    def become_candidate(self) -> None:
        """Stand for election in the next term."""
        self._change_role(RaftRole.CANDIDATE)
        self.term += 1
        self.voted_for = self.identity
        self.votes_granted = {self.identity}
        self.reset_election_deadline()

    def become_leader(self) -> None:
        """Lead this term, starting with a no-op entry.

        Only entries of the own term are committed by counting replicas; committing the no-op commits all
        before it (Raft 5.4.2).
        """
        next_index = self.log.last_index + 1
        self._change_role(RaftRole.LEADER)
        self.leader = self.config.name
        self.leader_state = LeaderState(
            since_ns=self.now_ns,
            first_index=next_index,
            heartbeat_deadline_ns=self.now_ns,
            progress_by_identity={
                member.identity: FollowerProgress(next_index, last_contact_ns=self.now_ns)
                for member in self.other_members()
            },
        )
        self.append_entry(LogEntry(next_index, self.term, EntryKind.NO_OP))

    def reset_identity(self) -> None:
        """Start over under another identity with an empty log.

        What was promised under the old identity binds nobody, as all others know this voter as another now.
        """
        self.become_follower(self.term)
        self.identity = self._random_identity()
        self.start_count = 1
        self.term = 0
        self.voted_for = ""
        self.leader = None
        self.is_bootstrapped = False
        self.log = RaftLog(None)
        self.commit_index = 0
        self.persistence.reset()
        self.issued_hard_state = self.hard_state
        self.records = [self.hard_state]
        self.outbox.clear()

    def take_actions(self) -> list[Action]:
        """Return and clear what is to be done: write, then send, then report."""
        actions = list[Action]()
        if self.hard_state != self.issued_hard_state:
            self.issued_hard_state = self.hard_state
            self.records.insert(0, self.hard_state)
        if self.records:
            ticket = self.persistence.issue(self.log.last_index, self.now_ns)
            actions.append(PersistRecords(ticket, tuple(self.records)))
            self.records = []
        actions += [self._to_send_action(queued) for queued in self.outbox]
        self.outbox = []
        leader = LeaderChanged(self.leader, self.term)
        if leader != self.reported_leader:
            self.reported_leader = leader
            actions.append(leader)
        actions += self.committed
        self.committed = []
        return actions

    def _change_role(self, role: RaftRole) -> None:
        assert role in ROLE_TRANSITIONS[self.role], f"{self.role} to {role}"
        self.role = role
        self.leader_state = None

    def _to_send_action(self, queued: QueuedMessage) -> SendMessage:
        message = Message(
            VERSION,
            self.config.name,
            self.identity,
            self.start_count,
            self.start_nonce,
            queued.receiver_identity,
            self.term,
            queued.body,
        )
        ticket = self.persistence.required_ticket if queued.needs_persistence else 0
        return SendMessage(queued.receiver_name, encode(message), ticket)

    def _random_identity(self) -> str:
        return f"{self.random.getrandbits(64):016x}"
