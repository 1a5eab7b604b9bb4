"""One voter of the model checker: a process with its disk, as a value that can be copied and compared."""

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
    """Not random: the longest timeout, and one number for all."""

    def randint(self, least: int, most: int) -> int:
        """Return the greatest value."""
        return most

    def getrandbits(self, bits: int) -> int:
        """Return always the same."""
        return 77


@dataclass(slots=True, frozen=True)
class VoterProcess:
    """One voter's process and its storage; never changed, as a step makes another.

    Attributes:
        raft: The process.
        disk: What is on disk.
        pending_writes: What is not yet.
        held_messages: Messages that wait for writes.
        persisted_ticket: Ticket of the last completed write.
        storage_losses: How often the storage was lost.
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
        """Return all that the behaviour depends on; equal keys are equal states."""
        state = self.state
        progress_by_identity = state.leader_state.progress_by_identity if state.leader_state else {}
        progress = frozenset(
            (identity, one.next_index, one.match_index, one.matched_by)
            for identity, one in progress_by_identity.items()
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
    """Return another process in the same state."""
    other = copy.copy(raft)
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
    # one number for all: only a response of another start can tell of what was forgotten
    state.response_sequence = 0
    other._state = state
    return other


def start_process(name: str, disk: VoterState | None, storage_losses: int) -> VoterProcess:
    """Start a process; its first write is done at once, as nothing is sent before it."""
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
    """Whether that entry is in the log or in the snapshot."""
    if saved.snapshot is not None and saved.snapshot.index >= index:
        return True
    return any(entry.index == index and entry.term == term for entry in saved.entries)


def initial_disk(name: str, terms: tuple[int, ...], term: int) -> VoterState:
    """Return a disk with entries of these terms, in a configuration of all three voters."""
    configuration = tuple(Member(one, one + "0") for one in NAMES)
    entries = tuple(
        LogEntry(index, entry_term, EntryKind.DATA, b"%d" % entry_term)
        for index, entry_term in enumerate(terms, 1)
    )
    hard_state = HardState(name + "0", 1, max((term, *terms)))
    return VoterState(hard_state, Snapshot(0, 0, configuration), entries)
