"""Three voters explored whole: each order of words, timeouts, writes, crashes, lost folders within a budget.

Words may be heard never, late, in any order and, within the budget, again. Time stands still and nobody waits
for a leader (the shortest election timeout is 0), so what holds here holds without clocks; the lease is
played with seeds. Each write of a voter is a step of its own; a crash loses those not done. The real `Raft`
is what is played.
"""

from __future__ import annotations

import copy
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from quincepier.consensus import (
    ElectionTimeouts,
    PersistRecords,
    Raft,
    RaftConfig,
    RaftLimits,
    SendMessage,
)
from quincepier.consensus.messages import Message
from quincepier.consensus.raft_state import RaftState
from quincepier.lab.raft_simulation import SafetyViolationError
from quincepier.state.voter_records import (
    EntryKind,
    HardState,
    LogEntry,
    Member,
    Snapshot,
    VoterState,
    apply_records,
)

NOW = 1
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
_word = msgspec.msgpack.Decoder(Message).decode


@dataclass(slots=True, frozen=True)
class Budget:
    timeouts: int = 2
    beats: int = 1
    proposals: int = 1
    crashes: int = 1
    losses: int = 0  # of folders
    repeats: int = 0  # words that are heard again


class Chance:
    """No chance: the longest wait, and identities in turn."""

    def randint(self, least: int, most: int) -> int:
        return most

    def getrandbits(self, bits: int) -> int:
        return 77


@dataclass(slots=True, frozen=True)
class Node:
    """One voter's process and its folder. Never changed: a step makes another."""

    voter: Raft
    disk: VoterState
    writes: tuple[PersistRecords, ...] = ()
    held: tuple[SendMessage, ...] = ()
    done: int = 0
    lost: int = 0

    @property
    def state(self) -> RaftState:
        return self.voter._state

    def key(self) -> Any:
        s = self.state
        progress_by_identity = s.leader_state.progress_by_identity if s.leader_state else {}
        progress = frozenset(
            (identity, p.next_index, p.match_index, p.matched_by)
            for identity, p in progress_by_identity.items()
        )
        first_index = s.leader_state.first_index if s.leader_state else 0
        hard_state = (s.identity, s.start_count, s.term, s.voted_for)
        own = (hard_state, s.role, s.leader, s.is_bootstrapped, first_index, s.commit_index)
        pending = tuple(write.durable_index for write in s.persistence.pending)
        log = (s.persistence.durable_index, s.log.snapshot, tuple(s.log.entries), pending)
        others = (
            frozenset(s.deferred_to),
            frozenset(s.votes_granted),
            progress,
            frozenset(s.process_starts.start_by_voter.items()),
            frozenset(s.announcement_by_name.items()),
        )
        return (s.config.name, own, log, others, self.disk, self.writes, self.held)


def copied(voter: Raft) -> Raft:
    """Another voter in the same state."""
    other, state = copy.copy(voter), copy.copy(voter._state)
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


def begun(name: str, disk: VoterState | None, lost: int) -> Node:
    """A process that starts; its first write is done before anything else, as nothing is sent before it."""
    config = RaftConfig(name, NAMES, TIMEOUTS, LIMITS, pre_vote=False)
    seed = (disk.hard_state.start_count if disk else 1000 * lost) + 7
    voter = Raft(config, disk, NOW, seed)
    state = voter._state
    if disk is None:
        state.identity = f"{name}{lost}"
        state.records, state.issued_hard_state = [state.hard_state], state.hard_state
    state.random = Chance()  # type: ignore[assignment]
    if disk is not None and disk.snapshot is not None:
        state.is_bootstrapped = True  # how the first configuration comes about is played elsewhere
    for action in voter.tick(NOW):
        if isinstance(action, PersistRecords):
            disk = apply_records(disk, action.records)
            voter.on_persisted(NOW, action.ticket)
    assert disk is not None
    return Node(voter, disk, done=1, lost=lost)


def on_disk(saved: VoterState, index: int, term: int) -> bool:
    if saved.snapshot is not None and saved.snapshot.index >= index:
        return True
    return any(entry.index == index and entry.term == term for entry in saved.entries)


Agreed = tuple[tuple[int, bytes, int], ...]  # term, data, and the term in which it was agreed
World = tuple[tuple[int, ...], int, Budget, tuple[tuple[int, str], ...], Agreed]
# nodes, words on the net as bits, what is left, who ever led which term, what was ever agreed


@dataclass(slots=True)
class Explored:
    states: int = 0
    depth: int = 0
    whole: bool = True  # everything within the budget was seen


class Explorer:
    """Nodes and words are numbered, and what a node does at an event is worked out once: worlds are small."""

    def __init__(self, left: Budget, logs: dict[str, tuple[int, ...]] | None = None, term: int = 0) -> None:
        """`logs`: terms of the entries that each has on its disk already."""
        self.nodes: list[Node] = []
        self.numbers: dict[Any, int] = {}
        self.words: list[tuple[int, int, str, bytes]] = []  # to whom, term, from whom
        self.word_numbers: dict[tuple[int, str, bytes], int] = {}
        self.did: dict[tuple[int, Any], tuple[int, int]] = {}
        self.dead: dict[tuple[int, int], int] = {}
        self.alike = logs is None
        configuration = tuple(Member(n, n + "0") for n in NAMES)
        begin = []
        for name in NAMES:
            terms = (logs or {}).get(name, ())
            entries = tuple(LogEntry(i + 1, t, EntryKind.DATA, b"%d" % t) for i, t in enumerate(terms))
            hard_state = HardState(name + "0", 1, max((term, *terms)))
            saved = VoterState(hard_state, Snapshot(0, 0, configuration), entries)
            begin.append(self.number(begun(name, saved, 0)))
        self.begin: World = (tuple(begin), 0, left, (), ())

    def number(self, node: Node) -> int:
        key = node.key()
        found = self.numbers.get(key)
        if found is None:
            found = self.numbers[key] = len(self.nodes)
            self.nodes.append(node)
        return found

    def word(self, to: str, sender: str, raw: bytes) -> int:
        key = (NAMES.index(to), sender, raw)
        found = self.word_numbers.get(key)
        if found is None:
            found = self.word_numbers[key] = len(self.words)
            self.words.append((key[0], _word(raw).term, sender, raw))
            self.dead.clear()
        return 1 << found

    def dead_below(self, to: int, term: int) -> int:
        """Words that can make nothing any more of a receiver with that term on its disk."""
        mask = self.dead.get((to, term))
        if mask is None:
            told = [1 << n for n, w in enumerate(self.words) if w[0] == to and w[1] < term]
            mask = self.dead[to, term] = sum(told)
        return mask

    def does(self, number: int, event: Any) -> tuple[int, int]:
        """The node after the event, and what it has sent."""
        known = self.did.get((number, event))
        if known is not None:
            return known
        node = self.nodes[number]
        voter, disk, writes, done = copied(node.voter), node.disk, list(node.writes), node.done
        held, state = list(node.held), voter._state
        match event:
            case "write":
                done = writes[0].ticket
                kept = apply_records(disk, writes.pop(0).records)
                assert kept is not None
                disk, actions = kept, voter.on_persisted(NOW, done)
            case "timer":
                state.election_deadline_ns = state.retry_deadline_ns = NOW
                if state.leader_state is not None:
                    state.leader_state.heartbeat_deadline_ns = NOW
                actions = voter.tick(NOW)
            case ("propose", data):
                actions = voter.propose(NOW, data)
            case "crash" | "lose":
                kept_disk = disk if event == "crash" else None
                new = begun(state.config.name, kept_disk, node.lost + (event == "lose"))
                told = self.did[number, event] = (self.number(new), 0)
                return told
            case _:
                _, _, sender, raw = self.words[event]
                actions = voter.step(NOW, sender, raw)
        sent = 0
        for action in actions:
            if isinstance(action, PersistRecords):
                writes.append(action)
            elif isinstance(action, SendMessage) and action not in held:
                held.append(action)
        for send in [s for s in held if s.after_ticket <= done]:
            held.remove(send)
            sent |= self.word(send.to, state.config.name, send.data)
        after = Node(voter, disk, tuple(writes), tuple(held), done, node.lost)
        result = self.did[number, event] = (self.number(after), sent)
        return result

    def after(self, world: World, place: int, event: Any, left: Budget) -> World | None:
        """The world after an event at one node, if it keeps the rules; None: nothing has changed."""
        nodes, words, was, leaders, agreed = world
        number, sent = self.does(nodes[place], event)
        if number == nodes[place] and not sent & ~words and left is was:
            return None
        if isinstance(event, int) and left is was:
            words &= ~(1 << event)
        words |= sent
        if number != nodes[place]:
            nodes = (*nodes[:place], number, *nodes[place + 1 :])
            leaders, agreed = self.judged(nodes, self.nodes[number], leaders, agreed)
        for to, n in enumerate(nodes):
            words &= ~self.dead_below(to, self.nodes[n].disk.hard_state.term)
        return nodes, words, left, leaders, agreed

    def judged(
        self,
        nodes: tuple[int, ...],
        node: Node,
        leaders: tuple[tuple[int, str], ...],
        agreed: Agreed,
    ) -> tuple[tuple[tuple[int, str], ...], Agreed]:
        state, log = node.state, node.state.log
        found = {entry.index: (entry.term, entry.data) for entry in log.entries}
        if state.is_leader and (state.term, state.identity) not in leaders:
            if any(term == state.term for term, _ in leaders):
                raise SafetyViolationError(f"two leaders of term {state.term}")
            leaders = tuple(sorted((*leaders, (state.term, state.identity))))
            for index, (term, data, by) in enumerate(agreed, 1):
                if index > log.snapshot_index and state.term > by and found.get(index) != (term, data):
                    raise SafetyViolationError(
                        f"who leads term {state.term} has not the agreed entry {index}"
                    )
        for index in range(log.snapshot_index + 1, state.commit_index + 1):
            if index not in found:
                raise SafetyViolationError(f"entry {index} is called agreed where it is not")
            if index <= len(agreed):
                if agreed[index - 1][:2] != found[index]:
                    raise SafetyViolationError(f"entry {index} was agreed as another")
                continue
            agreed = (*agreed, (*found[index], state.term))
            members = {m.identity for m in state.configuration}
            have = 0
            for n in nodes:
                disk, term = self.nodes[n].disk, found[index][0]
                # a folder that was lost since may have had it
                mine = disk.hard_state.identity in members
                have += self.nodes[n].lost > 0 or (mine and on_disk(disk, index, term))
            if have < len(members) // 2 + 1:
                raise SafetyViolationError(f"entry {index} is agreed with {have} disks")
        return leaders, agreed

    def steps(self, world: World) -> Iterator[World]:
        """Every world that may come next."""
        nodes, words, left, _, _ = world
        alike = self.alike and world == self.begin  # then it does not matter which of them is first
        for place, number in enumerate(nodes[:1] if alike else nodes):
            node = self.nodes[number]
            events = list[tuple[Any, Budget]]()
            leads = node.state.is_leader
            if node.writes:
                events.append(("write", left))
            if leads and left.beats:
                events.append(("timer", replace(left, beats=left.beats - 1)))
            if not leads and left.timeouts and node.state.is_member and not node.writes:
                events.append(("timer", replace(left, timeouts=left.timeouts - 1)))
            if leads and left.proposals:
                data = b"p%d" % left.proposals
                events.append((("propose", data), replace(left, proposals=left.proposals - 1)))
            if left.crashes:
                events.append(("crash", replace(left, crashes=left.crashes - 1)))
            if left.losses:
                events.append(("lose", replace(left, losses=left.losses - 1)))
            for event, spent in events:
                world_after = self.after(world, place, event, spent)
                if world_after is not None:
                    yield world_after
        rest = words
        while rest:
            bit = rest & -rest
            rest ^= bit
            word = bit.bit_length() - 1
            world_after = self.after(world, self.words[word][0], word, left)
            if world_after is not None:
                yield world_after
                if left.repeats:
                    again = replace(left, repeats=left.repeats - 1)
                    heard = self.after(world, self.words[word][0], word, again)
                    if heard is not None:
                        yield heard

    def walk(self, seed: int, walks: int) -> None:
        """So many ways by chance, each to its end: finds a breach sooner than all worlds in turn."""
        chance = random.Random(seed)
        for _ in range(walks):
            world, patience = self.begin, chance.choice((0.5, 0.8, 0.95))
            while nexts := list(self.steps(world)):
                # what the budget allows is not spent at once: much is to happen between
                free = [after for after in nexts if after[2] is world[2]]
                world = chance.choice(free if free and chance.random() < patience else nexts)

    def explore(self, most: int = 1 << 30) -> Explored:
        """All worlds that can come of the first, each once; SafetyViolationError where one breaks a rule."""
        seen, told = {hash(self.begin)}, Explored()
        stack = [self.steps(self.begin)]
        while stack:
            world = next(stack[-1], None)
            if world is None:
                stack.pop()
                continue
            key = hash(world)
            if key in seen:
                continue
            seen.add(key)
            told.depth = max(told.depth, len(stack))
            if len(seen) >= most:
                told.whole = False
                break
            stack.append(self.steps(world))
        told.states = len(seen)
        return told
