"""The state of one voter and its transitions between roles (Raft, figure 4).

The rules that act on it are in `election`, `replication` and `cluster_configuration`. `take_actions` is
the only place that issues a write and assigns to messages the write that they wait for, so no rule can send a
message before the records that it depends on.
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
    """The newest Hello received under a voter's name, with the monotonic time of its arrival."""

    identity: str
    configuration: tuple[Member, ...]
    received_at_ns: int


@dataclass(slots=True, frozen=True)
class QueuedMessage:
    """A message that the next `take_actions` encodes.

    Attributes:
        receiver_name: Name of the voter that it is sent to.
        body: Content of the message.
        receiver_identity: Identity of that voter; "" if it is not known.
        needs_persistence: Whether it may be sent only after all writes issued so far are on disk. A leader's
            messages that carry entries need not wait (thesis 10.2.1).
    """

    receiver_name: str
    body: Body
    receiver_identity: str
    needs_persistence: bool


class RaftState:
    """The state of one voter and the actions that were not returned yet. Times are monotonic nanoseconds.

    Attributes:
        now_ns: Time of the current call.
        start_count: Number of process starts with this storage folder, including the current one.
        start_nonce: Random number of the current start.
        leader: Name of the leader of this term; None if it is not known.
        leader_contact_ns: When the last message of a leader arrived.
        election_deadline_ns: When a voter that does not lead starts an election.
        retry_deadline_ns: When unanswered vote requests or announcements are sent again.
        votes_granted: Identities that granted their vote or pre-vote, including its own.
        deferred_to: Identities of the pre-candidates that this voter has yielded to since the last message of
            a leader.
        leader_state: State that only a leader has; None in all other roles.
        is_bootstrapped: Whether all voters are known to be bound to the first configuration.
        process_starts: The newest known start of each voter.
        announcement_by_name: The newest Hello of each voter, by name.
        response_sequence: Number of AppendEntriesResponse messages sent by this process.
        storage_rollbacks: How often this voter was notified that its folder was rolled back.
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
        # the previous process may have acknowledged a leader just now, whose lease must be respected
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
        """The hard state that must be on disk before any message of this term is sent."""
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
        """Number of voters in a majority."""
        return len(self.configuration) // 2 + 1

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads its term."""
        return self.leader_state is not None

    @property
    def is_campaigning(self) -> bool:
        """Whether this voter is requesting votes or pre-votes."""
        return self.role in (RaftRole.PRE_CANDIDATE, RaftRole.CANDIDATE)

    @property
    def is_unbound(self) -> bool:
        """Whether this voter has neither a configuration nor a term, as with a new storage folder."""
        return self.log.snapshot is None and not self.term

    def other_members(self) -> list[Member]:
        """Return the configuration without this voter."""
        return [member for member in self.configuration if member.identity != self.identity]

    def quorum_value(self, own: int, value_of: Callable[[FollowerProgress], int]) -> int:
        """As leader, return the highest value that a quorum has reached.

        Args:
            own: The leader's own value; included if the leader is a member.
            value_of: Returns the value of a follower; followers without tracked progress have 0.
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
        """Return a random election timeout in nanoseconds."""
        timeouts = self.config.timeouts
        return self.random.randint(timeouts.min_election_timeout_ns, timeouts.max_election_timeout_ns)

    def reset_election_deadline(self) -> None:
        """Restart the wait for a leader with a new election timeout."""
        self.election_deadline_ns = self.now_ns + self.random_election_timeout_ns()

    def queue_message(
        self, receiver_name: str, body: Body, receiver_identity: str = "", needs_persistence: bool = True
    ) -> None:
        """Queue a message; see QueuedMessage."""
        self.outbox.append(QueuedMessage(receiver_name, body, receiver_identity, needs_persistence))

    def append_entry(self, entry: LogEntry) -> None:
        """Append to the log, replacing the entry at that index and removing all after it."""
        if entry.index <= self.log.last_index:
            self.persistence.truncate(entry.index - 1)
        self.log.append(entry)
        self.records.append(entry)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log up to the snapshot, or the whole log if it lacks the snapshot's last entry."""
        if self.log.term_at(snapshot.index) != snapshot.term:
            self.persistence.reset()
        self.log.install(snapshot)
        self.records.append(snapshot)

    def compact_log(self) -> None:
        """Replace the committed entries by a snapshot."""
        self.records.append(self.log.compact(self.commit_index))

    def report_committed_entry(self, entry: LogEntry) -> None:
        """Queue a committed entry for the caller, if it holds data."""
        if entry.kind is EntryKind.DATA:
            self.committed.append(EntryCommitted(entry.index, entry.term, entry.data))

    def report_committed_snapshot(self, snapshot: Snapshot) -> None:
        """Queue the newest committed data of a snapshot for the caller, if there is any."""
        if snapshot.data_index:
            self.committed.append(EntryCommitted(snapshot.data_index, snapshot.data_term, snapshot.data))

    def become_follower(self, term: int) -> None:
        """Become follower in a higher term, or in the current term on losing an election or the quorum."""
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
        """Stop requesting votes; votes granted later are ignored, as this voter is a follower then."""
        self._change_role(RaftRole.FOLLOWER)

    def become_pre_candidate(self) -> None:
        """Start to collect pre-votes; the term is unchanged (thesis 9.6)."""
        self._change_role(RaftRole.PRE_CANDIDATE)
        self.votes_granted = {self.identity}

    def become_candidate(self) -> None:
        """Become candidate in the next term and vote for itself."""
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

        Votes and confirmations under the old identity no longer bind it: to all others it is another voter.
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
        """Return and clear the queued actions, in this order: write, send messages, report to the caller."""
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
