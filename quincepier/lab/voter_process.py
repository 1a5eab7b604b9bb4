"""A voter of the model checker: a process with its disk, as a value that can be copied and compared."""

from __future__ import annotations

import copy
from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass

from quincepier.consensus import (
    ElectionTimeouts,
    PersistRecords,
    Raft,
    RaftConfig,
    RaftLimits,
    SendMessage,
)
from quincepier.consensus.raft_state import RaftState
from quincepier.state.voter_records import (
    EntryKind,
    HardState,
    LogEntry,
    Member,
    Snapshot,
    VoterState,
    apply_records,
)

NOW_NS = 1
NAMES = ("a", "b", "c")
TIMEOUTS = ElectionTimeouts(
    heartbeat_interval_ns=1,
    retry_interval_ns=1,
    min_election_timeout_ns=0,
    max_election_timeout_ns=1 << 60,
    leader_lease_ns=0,
    snapshot_retry_interval_ns=0,
)
LIMITS = RaftLimits(max_committed_entries=4)


class FixedRandom:
    """Deterministic stand-in for a random generator."""

    def randint(self, low: int, high: int) -> int:
        """Return the greatest value."""
        return high

    def getrandbits(self, bits: int) -> int:
        """Return a constant."""
        return 77


@dataclass(slots=True, frozen=True)
class VoterProcess:
    """One voter's process and its storage; immutable, each step creates another.

    Attributes:
        raft: The process.
        disk: Synced state.
        pending_writes: Writes that are not complete.
        held_messages: Messages that are sent once a write is complete.
        persisted_ticket: Ticket of the last completed write.
        storage_losses: How often its storage was lost.
    """

    raft: Raft
    disk: VoterState
    pending_writes: tuple[PersistRecords, ...] = ()
    held_messages: tuple[SendMessage, ...] = ()
    persisted_ticket: int = 0
    storage_losses: int = 0

    @property
    def state(self) -> RaftState:
        """The state of the process."""
        return self.raft._state

    def key(self) -> Hashable:
        """Return a key of everything that the behaviour depends on; states with equal keys are equal."""
        state = self.state
        progress_by_identity = state.leader_state.progress_by_identity if state.leader_state else {}
        progress = frozenset(
            (identity, member.next_index, member.match_index, member.matched_by)
            for identity, member in progress_by_identity.items()
        )
        first_index = state.leader_state.first_index if state.leader_state else 0
        return (
            state.config.name,
            (state.identity, state.start_count, state.term, state.voted_for),
            (state.role, state.leader, state.is_bootstrapped, first_index, state.commit_index),
            (state.persistence.durable_index, state.log.snapshot, tuple(state.log.entries)),
            tuple(write.durable_index for write in state.persistence.pending),
            (frozenset(state.deferred_to), frozenset(state.votes_granted), progress),
            frozenset(state.process_starts.start_by_voter.items()),
            frozenset(state.announcement_by_name.items()),
            (self.disk, self.pending_writes, self.held_messages),
        )


def copy_raft(raft: Raft) -> Raft:
    """Return a copy of a process."""
    copied = copy.copy(raft)
    state = copy.copy(raft._state)
    state.log = copy.copy(state.log)
    state.log.entries = list(state.log.entries)
    state.persistence = copy.deepcopy(state.persistence)
    state.records = list(state.records)
    state.outbox = list(state.outbox)
    state.committed = list(state.committed)
    state.votes_granted = set(state.votes_granted)
    state.deferred_to = set(state.deferred_to)
    state.process_starts = copy.deepcopy(state.process_starts)
    state.announcement_by_name = dict(state.announcement_by_name)
    state.leader_state = copy.deepcopy(state.leader_state)
    state.dropped = Counter()
    # constant: only a response to an earlier start can refer to forgotten state
    state.response_sequence = 0
    copied._state = state
    return copied


def start_process(name: str, disk: VoterState | None, storage_losses: int) -> VoterProcess:
    """Start a process and complete its first write at once, since it sends nothing before."""
    config = RaftConfig(name, NAMES, TIMEOUTS, LIMITS, pre_vote=False)
    seed = (disk.hard_state.start_count if disk else 1000 * storage_losses) + 7
    raft = Raft(config, disk, NOW_NS, seed)
    state = raft._state
    if disk is None:
        state.identity = f"{name}{storage_losses}"
        state.records = [state.hard_state]
        state.issued_hard_state = state.hard_state
    state.random = FixedRandom()  # type: ignore[assignment]
    if disk is not None and disk.snapshot is not None:
        state.is_bootstrapped = True  # bootstrap is covered by the simulation
    for action in raft.tick(NOW_NS):
        if isinstance(action, PersistRecords):
            disk = apply_records(disk, action.records)
            raft.on_persisted(NOW_NS, action.ticket)
    assert disk is not None
    return VoterProcess(raft, disk, persisted_ticket=1, storage_losses=storage_losses)


def is_on_disk(saved: VoterState, index: int, term: int) -> bool:
    """Return whether the entry is in the log or covered by the snapshot."""
    if saved.snapshot is not None and saved.snapshot.index >= index:
        return True
    return any(entry.index == index and entry.term == term for entry in saved.entries)


def initial_disk(name: str, terms: tuple[int, ...], term: int) -> VoterState:
    """Return a disk with entries of these terms, in a configuration of all three voters."""
    configuration = tuple(Member(voter, voter + "0") for voter in NAMES)
    entries = tuple(
        LogEntry(index, entry_term, EntryKind.DATA, b"%d" % entry_term)
        for index, entry_term in enumerate(terms, 1)
    )
    hard_state = HardState(name + "0", 1, max((term, *terms)))
    return VoterState(hard_state, Snapshot(0, 0, configuration), entries)
