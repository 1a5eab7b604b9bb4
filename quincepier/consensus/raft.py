"""The Raft core of one voter: a deterministic state machine (Ongaro and Ousterhout 2014; Ongaro's thesis).

It takes ticks, messages, proposals and completed writes, each with the current time, and returns actions. The
same calls return the same actions.
"""

from __future__ import annotations

from quincepier.consensus import cluster_configuration, election, replication
from quincepier.consensus.actions import Action
from quincepier.consensus.config import RaftConfig
from quincepier.consensus.errors import ConsensusError
from quincepier.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Hello,
    InstallSnapshot,
    InvalidMessageError,
    Message,
    RequestVote,
    StorageRollback,
    VoteResponse,
    decode,
)
from quincepier.consensus.raft_state import DropReason, RaftState
from quincepier.state.voter_records import MAX_ENTRY_DATA_BYTES, EntryKind, Member, VoterState


class Raft:
    """The consensus state machine of one voter.

    Args:
        config: Names, timing and limits.
        saved: The stored state; None for a new storage folder.
        now_ns: Monotonic time in nanoseconds.
        seed: Seed for identities, nonces and election timeouts; must differ at each start.
    """

    def __init__(self, config: RaftConfig, saved: VoterState | None, now_ns: int, seed: int) -> None:
        self._state = RaftState(config, saved, now_ns, seed)

    def tick(self, now_ns: int) -> list[Action]:
        """Run the timers that are due; to be called at `next_tick_ns`, and once after the start."""
        state = self._at(now_ns)
        election.on_tick(state)
        replication.send_due_heartbeats(state)
        cluster_configuration.on_tick(state)
        return state.take_actions()

    def step(self, now_ns: int, sender: str, raw: bytes) -> list[Action]:
        """Handle a message received from the voter `sender`; an unacceptable one is dropped and counted."""
        state = self._at(now_ns)
        try:
            message = decode(raw, sender)
        except InvalidMessageError:
            state.dropped[DropReason.INVALID] += 1
            return state.take_actions()
        reason = _drop_reason(state, message)
        if reason is not None:
            state.dropped[reason] += 1
            if reason is DropReason.OTHER_IDENTITY and not isinstance(message.body, Hello | StorageRollback):
                state.queue_message(sender, Hello(state.configuration), message.sender_identity)
        elif cluster_configuration.accept_start(state, message):
            _dispatch(state, message)
            if state.is_leader:
                election.on_tick(state)
                replication.send_due_heartbeats(state)
            replication.advance_commit_index(state)
        return state.take_actions()

    def propose(self, now_ns: int, data: bytes) -> list[Action]:
        """Propose an entry.

        The entry is agreed once it is reported as `EntryCommitted`, and may be lost before. Nothing is
        appended if this voter does not lead, or leads without a quorum.

        Raises:
            ConsensusError: If the data is longer than an entry may be.
        """
        if len(data) > MAX_ENTRY_DATA_BYTES:
            raise ConsensusError(
                f"entry too large: {len(data)} bytes", "propose", "make the rule version smaller"
            )
        state = self._at(now_ns)
        election.on_tick(state)
        replication.propose(state, EntryKind.DATA, data)
        return state.take_actions()

    def on_persisted(self, now_ns: int, ticket: int) -> list[Action]:
        """Record that all writes up to this ticket are on disk; messages that wait for them are sent."""
        state = self._at(now_ns)
        state.persistence.complete(ticket)
        replication.advance_commit_index(state)
        return state.take_actions()

    def _at(self, now_ns: int) -> RaftState:
        self._state.now_ns = max(self._state.now_ns, now_ns)
        return self._state

    @property
    def next_tick_ns(self) -> int:
        """When `tick` is to be called next."""
        state = self._state
        if state.records or state.committed:
            return state.now_ns
        if state.leader_state is not None:
            return state.leader_state.heartbeat_deadline_ns
        if state.is_campaigning or cluster_configuration.needs_announcement(state):
            return min(state.election_deadline_ns, state.retry_deadline_ns)
        return state.election_deadline_ns

    @property
    def leader(self) -> str | None:
        """Name of the leader, as far as this voter knows; None while it knows none."""
        return self._state.leader

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this voter leads and has committed in its term, so that it knows all earlier commits."""
        leader_state = self._state.leader_state
        return leader_state is not None and self._state.commit_index >= leader_state.first_index

    @property
    def lease_until_ns(self) -> int:
        """No other voter can lead before this time; 0 if not leader. Must be checked after each pause."""
        leader_state = self._state.leader_state
        return leader_state.lease_until_ns if leader_state is not None else 0

    @property
    def is_member(self) -> bool:
        """Whether this voter is in the configuration that it knows; False once it lost its folder."""
        return self._state.is_member

    @property
    def identity(self) -> str:
        """The identity stored in this voter's folder."""
        return self._state.identity

    @property
    def configuration(self) -> tuple[Member, ...]:
        """The voters by the newest configuration in the log."""
        return self._state.configuration

    @property
    def commit_index(self) -> int:
        """Index up to which all entries are committed."""
        return self._state.commit_index

    @property
    def dropped(self) -> dict[DropReason, int]:
        """Number of messages and proposals that were not accepted, by reason."""
        return dict(self._state.dropped)

    @property
    def storage_rollbacks(self) -> int:
        """How often this voter was found to run from an older copy of its storage folder."""
        return self._state.storage_rollbacks


def _drop_reason(state: RaftState, message: Message) -> DropReason | None:
    """Return why a valid message is not accepted now; None if it is accepted."""
    voter_names = {*state.config.voters, *(member.name for member in state.configuration)}
    if message.sender_name not in voter_names:
        return DropReason.UNKNOWN_SENDER
    if len(state.persistence.pending) >= state.config.limits.max_pending_writes:
        return DropReason.DISK_BEHIND
    if message.receiver_identity == "":
        return None if isinstance(message.body, Hello) else DropReason.OTHER_IDENTITY
    return None if message.receiver_identity == state.identity else DropReason.OTHER_IDENTITY


def _dispatch(state: RaftState, message: Message) -> None:
    """Adopt a higher term if this type of message proves it, then call the handler of that type."""
    body = message.body
    if message.term > state.term and isinstance(
        body, AppendEntries | InstallSnapshot | AppendEntriesResponse | VoteResponse
    ):
        state.become_follower(message.term)
    match body:
        case Hello():
            cluster_configuration.on_hello(state, message, body)
        case StorageRollback():
            cluster_configuration.on_storage_rollback(state, body)
        case RequestVote():
            election.on_request_vote(state, message, body)
        case VoteResponse():
            election.on_vote_response(state, message, body)
        case AppendEntries() | InstallSnapshot():
            _on_leader_message(state, message, body)
        case AppendEntriesResponse():
            if state.is_leader and message.term >= state.term:
                replication.on_append_entries_response(state, message, body)


def _on_leader_message(state: RaftState, message: Message, body: AppendEntries | InstallSnapshot) -> None:
    if message.term < state.term:  # the response notifies a former leader of the new term
        replication.send_append_response(state, message, body.sent_at_ns, False, 0)
    elif state.is_leader:
        return
    elif isinstance(body, AppendEntries):
        replication.on_append_entries(state, message, body)
    else:
        replication.on_install_snapshot(state, message, body)
