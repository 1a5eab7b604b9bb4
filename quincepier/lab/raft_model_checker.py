"""Model checker for three Raft voters: every order of messages, timeouts, writes and faults within a budget.

Messages may be lost, delayed, reordered and, within the budget, duplicated. Time does not advance and the
shortest election timeout is 0, so the properties are checked without relying on clocks; leases are covered
by `raft_simulation`. Each write of a voter is a separate step, and a crash loses pending writes. The checked
code is the real `Raft`.
"""

from __future__ import annotations

import random
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

import msgspec

from quincepier.consensus import Action, PersistRecords, Raft, SendMessage
from quincepier.consensus.messages import Message
from quincepier.lab.model_events import Budget, Event, EventKind, possible_events
from quincepier.lab.raft_simulation import SafetyViolationError
from quincepier.lab.voter_process import (
    NAMES,
    NOW_NS,
    VoterProcess,
    copy_raft,
    initial_disk,
    is_on_disk,
    start_process,
)
from quincepier.state.voter_records import apply_records

WALK_PATIENCE = (0.5, 0.8, 0.95)  # probability of choosing an event that costs no budget, where there is one
_decode_message = msgspec.msgpack.Decoder(Message).decode


class TermLeader(NamedTuple):
    """The leader of a term."""

    term: int
    identity: str


class CommittedEntry(NamedTuple):
    """A committed entry and the term in which it was committed."""

    term: int
    data: bytes
    committed_in_term: int


class ClusterState(NamedTuple):
    """One state of all voters and the network.

    Attributes:
        voters: Number of each voter's state.
        messages: Messages on the network, as a bit set of their numbers.
        budget: Remaining budget of events.
        leaders: All leaders so far.
        committed: All entries that were committed so far.
    """

    voters: tuple[int, ...]
    messages: int
    budget: Budget
    leaders: tuple[TermLeader, ...]
    committed: tuple[CommittedEntry, ...]


class SentMessage(NamedTuple):
    """A message that a voter sent in some state."""

    receiver: int  # index in NAMES
    term: int
    sender: str
    raw: bytes


class StepResult(NamedTuple):
    """Result of an event at a voter: the number of its next state and the sent messages, as a bit set."""

    voter: int
    sent: int


@dataclass(slots=True)
class ExplorationResult:
    """Number of visited states, the greatest depth, and whether all states were visited."""

    states: int = 0
    depth: int = 0
    is_complete: bool = True


class ModelChecker:
    """Explores the states of three voters.

    States of voters and messages are numbered, and the result of an event at a voter is computed once. This
    keeps a state of the cluster small.

    Args:
        budget: How many events of each kind may happen.
        terms_by_name: Terms of the entries that each voter initially has on disk.
        term: Least initial term of the voters.
    """

    def __init__(
        self, budget: Budget, terms_by_name: dict[str, tuple[int, ...]] | None = None, term: int = 0
    ) -> None:
        self._processes: list[VoterProcess] = []
        self._process_numbers: dict[Hashable, int] = {}
        self._messages: list[SentMessage] = []
        self._message_numbers: dict[tuple[int, str, bytes], int] = {}
        self._results: dict[tuple[int, Event], StepResult] = {}
        self._outdated: dict[tuple[int, int], int] = {}
        self._is_symmetric = terms_by_name is None
        voters = tuple(
            self._process_number(start_process(name, initial_disk(name, terms, term), 0))
            for name in NAMES
            for terms in [(terms_by_name or {}).get(name, ())]
        )
        self._initial = ClusterState(voters, 0, budget, (), ())

    def explore(self, max_states: int = 1 << 30) -> ExplorationResult:
        """Visit all reachable states once, depth first.

        Raises:
            SafetyViolationError: If one violates a property.
        """
        visited = {hash(self._initial)}
        result = ExplorationResult()
        stack = [self._next_states(self._initial)]
        while stack:
            state = next(stack[-1], None)
            if state is None:
                stack.pop()
                continue
            key = hash(state)
            if key in visited:
                continue
            visited.add(key)
            result.depth = max(result.depth, len(stack))
            if len(visited) >= max_states:
                result.is_complete = False
                break
            stack.append(self._next_states(state))
        result.states = len(visited)
        return result

    def walk_randomly(self, seed: int, walks: int) -> None:
        """Take random paths, each to its end; this finds a violation sooner than visiting all states.

        Raises:
            SafetyViolationError: If a state violates a property.
        """
        rng = random.Random(seed)
        for _ in range(walks):
            state = self._initial
            patience = rng.choice(WALK_PATIENCE)
            while next_states := list(self._next_states(state)):
                # prefer events that cost no budget, so that others happen between those that do
                free = [after for after in next_states if after.budget is state.budget]
                state = rng.choice(free if free and rng.random() < patience else next_states)

    def _process_number(self, process: VoterProcess) -> int:
        key = process.key()
        number = self._process_numbers.get(key)
        if number is None:
            number = self._process_numbers[key] = len(self._processes)
            self._processes.append(process)
        return number

    def _message_bit(self, to: str, sender: str, raw: bytes) -> int:
        receiver = NAMES.index(to)
        key = (receiver, sender, raw)
        number = self._message_numbers.get(key)
        if number is None:
            number = self._message_numbers[key] = len(self._messages)
            self._messages.append(SentMessage(receiver, _decode_message(raw).term, sender, raw))
            self._outdated.clear()
        return 1 << number

    def _outdated_messages(self, receiver: int, term: int) -> int:
        """Return the messages, as a bit set, that have no effect on a receiver with that term on disk."""
        bits = self._outdated.get((receiver, term))
        if bits is None:
            bits = sum(
                1 << number
                for number, message in enumerate(self._messages)
                if message.receiver == receiver and message.term < term
            )
            self._outdated[receiver, term] = bits
        return bits

    def _apply(self, number: int, event: Event) -> StepResult:
        """Return the result of an event at a voter in the state of that number."""
        result = self._results.get((number, event))
        if result is None:
            result = self._compute_result(self._processes[number], event)
            self._results[number, event] = result
        return result

    def _compute_result(self, process: VoterProcess, event: Event) -> StepResult:
        name = process.state.config.name
        if event.kind is EventKind.CRASH:
            restarted = start_process(name, process.disk, process.storage_losses)
            return StepResult(self._process_number(restarted), 0)
        if event.kind is EventKind.LOSE_STORAGE:
            restarted = start_process(name, None, process.storage_losses + 1)
            return StepResult(self._process_number(restarted), 0)
        raft = copy_raft(process.raft)
        pending_writes = list(process.pending_writes)
        disk = process.disk
        persisted_ticket = process.persisted_ticket
        if event.kind is EventKind.COMPLETE_WRITE:
            write = pending_writes.pop(0)
            persisted_ticket = write.ticket
            disk_after = apply_records(disk, write.records)
            assert disk_after is not None
            disk = disk_after
            actions = raft.on_persisted(NOW_NS, write.ticket)
        else:
            actions = self._call_raft(raft, event)
        pending_writes += [action for action in actions if isinstance(action, PersistRecords)]
        held_messages = list(process.held_messages)
        for action in actions:
            if isinstance(action, SendMessage) and action not in held_messages:
                held_messages.append(action)
        sent = 0
        for message in [held for held in held_messages if held.after_ticket <= persisted_ticket]:
            held_messages.remove(message)
            sent |= self._message_bit(message.to, name, message.data)
        after = VoterProcess(
            raft,
            disk,
            tuple(pending_writes),
            tuple(held_messages),
            persisted_ticket,
            process.storage_losses,
        )
        return StepResult(self._process_number(after), sent)

    def _call_raft(self, raft: Raft, event: Event) -> list[Action]:
        if event.kind is EventKind.PROPOSE:
            return raft.propose(NOW_NS, event.data)
        if event.kind is EventKind.DELIVER:
            message = self._messages[event.message]
            return raft.step(NOW_NS, message.sender, message.raw)
        state = raft._state
        state.election_deadline_ns = NOW_NS
        state.retry_deadline_ns = NOW_NS
        if state.leader_state is not None:
            state.leader_state.heartbeat_deadline_ns = NOW_NS
        return raft.tick(NOW_NS)

    def _state_after(
        self, state: ClusterState, voter_index: int, event: Event, budget: Budget
    ) -> ClusterState | None:
        """Return the state after an event at one voter; None if it changes nothing."""
        result = self._apply(state.voters[voter_index], event)
        is_free = budget is state.budget
        is_same_voter = result.voter == state.voters[voter_index]
        if is_same_voter and not result.sent & ~state.messages and is_free:
            return None
        messages = state.messages
        if event.kind is EventKind.DELIVER and is_free:
            messages &= ~(1 << event.message)
        messages |= result.sent
        voters = state.voters
        leaders = state.leaders
        committed = state.committed
        if not is_same_voter:
            voters = (*voters[:voter_index], result.voter, *voters[voter_index + 1 :])
            process = self._processes[result.voter]
            leaders = check_leader(process, leaders, committed)
            committed = self._check_committed(process, voters, committed)
        for receiver, number in enumerate(voters):
            term = self._processes[number].disk.hard_state.term
            messages &= ~self._outdated_messages(receiver, term)
        return ClusterState(voters, messages, budget, leaders, committed)

    def _check_committed(
        self, process: VoterProcess, voters: tuple[int, ...], committed: tuple[CommittedEntry, ...]
    ) -> tuple[CommittedEntry, ...]:
        """Check that a committed entry is in the log, never changes and is on the disks of a quorum."""
        state = process.state
        log_by_index = {entry.index: (entry.term, entry.data) for entry in state.log.entries}
        for index in range(state.log.snapshot_index + 1, state.commit_index + 1):
            if index not in log_by_index:
                raise SafetyViolationError(f"entry {index} is committed where it is not in the log")
            if index <= len(committed):
                if committed[index - 1][:2] != log_by_index[index]:
                    raise SafetyViolationError(f"entry {index} was committed as another")
                continue
            term, data = log_by_index[index]
            committed = (*committed, CommittedEntry(term, data, state.term))
            self._check_quorum_on_disk(process, voters, index, term)
        return committed

    def _check_quorum_on_disk(
        self, process: VoterProcess, voters: tuple[int, ...], index: int, term: int
    ) -> None:
        identities = {member.identity for member in process.state.configuration}
        disks = 0
        for number in voters:
            other = self._processes[number]
            is_member = other.disk.hard_state.identity in identities
            # a lost storage may have contained the entry
            disks += other.storage_losses > 0 or (is_member and is_on_disk(other.disk, index, term))
        if disks < len(identities) // 2 + 1:
            raise SafetyViolationError(f"entry {index} is committed with {disks} disks")

    def _next_states(self, state: ClusterState) -> Iterator[ClusterState]:
        """Yield every possible next state."""
        # initially all voters are alike, so it is enough to start with one of them
        only_first = self._is_symmetric and state == self._initial
        for voter_index, number in enumerate(state.voters[:1] if only_first else state.voters):
            for event, budget in possible_events(self._processes[number], state.budget):
                after = self._state_after(state, voter_index, event, budget)
                if after is not None:
                    yield after
        remaining = state.messages
        while remaining:
            bit = remaining & -remaining
            remaining ^= bit
            yield from self._states_after_delivery(state, bit.bit_length() - 1)

    def _states_after_delivery(self, state: ClusterState, number: int) -> Iterator[ClusterState]:
        event = Event(EventKind.DELIVER, message=number)
        receiver = self._messages[number].receiver
        after = self._state_after(state, receiver, event, state.budget)
        if after is None:
            return
        yield after
        if state.budget.duplicates:
            budget = replace(state.budget, duplicates=state.budget.duplicates - 1)
            after = self._state_after(state, receiver, event, budget)
            if after is not None:
                yield after


def check_leader(
    process: VoterProcess, leaders: tuple[TermLeader, ...], committed: tuple[CommittedEntry, ...]
) -> tuple[TermLeader, ...]:
    """Check that a term has one leader, and that it has all entries committed in earlier terms."""
    state = process.state
    leader = TermLeader(state.term, state.identity)
    if not state.is_leader or leader in leaders:
        return leaders
    if any(other.term == state.term for other in leaders):
        raise SafetyViolationError(f"two leaders of term {state.term}")
    log_by_index = {entry.index: (entry.term, entry.data) for entry in state.log.entries}
    for index, entry in enumerate(committed, 1):
        is_required = index > state.log.snapshot_index and state.term > entry.committed_in_term
        if is_required and log_by_index.get(index) != (entry.term, entry.data):
            raise SafetyViolationError(f"the leader of term {state.term} lacks the committed entry {index}")
    return tuple(sorted((*leaders, leader)))
