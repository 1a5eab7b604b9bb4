"""All that a voter knows at one moment, and the actions it gathers; the rules are in the files beside.

`flush` is the one place where records become a `Store` and words get the ticket that they wait for, so no
rule can speak before it has written.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum

from quincepier.consensus.election_timeouts import ElectionTimeouts
from quincepier.consensus.messages import VERSION, Body, Message, encode
from quincepier.consensus.raft_log import RaftLog
from quincepier.state.voter_records import HardState, LogEntry, Member, Record, VoterState

SEEN_MOST = 32


@dataclass(slots=True, frozen=True)
class SendMessage:
    to: str
    data: bytes
    after: int  # ticket of the Store that has to be on disk before; 0: none


@dataclass(slots=True, frozen=True)
class PersistRecords:
    ticket: int
    records: tuple[Record, ...]


@dataclass(slots=True, frozen=True)
class EntryCommitted:
    index: int
    term: int
    data: bytes


@dataclass(slots=True, frozen=True)
class LeaderChanged:
    leader: str | None
    term: int


Action = SendMessage | PersistRecords | EntryCommitted | LeaderChanged


class RaftRole(Enum):
    FOLLOWS = "follows"
    ASKS = "asks"  # whether it would be voted for
    STANDS = "stands"
    LEADS = "leads"


@dataclass(slots=True)
class FollowerProgress:
    """What a leader knows of one voter, or of one that is to be taken in."""

    next: int  # index to be sent next; 0: it needs the snapshot
    match: int = 0  # it has the leader's log on disk up to here
    acked: int = 0  # the leader's time at which the newest word that it answered was sent
    matched_by: tuple[int, int] = (0, 0)  # start and number of the answer that set `match`
    reset_at: int = 0
    installed_at: int = 0
    heard: int = 0


class RaftState:
    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        saved: VoterState | None,
        now: int,
        seed: int,
        pace: ElectionTimeouts,
    ) -> None:
        self.name, self.voters, self.now, self.pace = name, voters, now, pace
        self.random = random.Random(seed)
        self.nonce = self.random.getrandbits(60)
        self.log = RaftLog(saved)
        mark = saved.mark if saved else HardState(f"{self.random.getrandbits(64):016x}", 0, 0)
        self.identity, self.starts = mark.identity, mark.starts + 1
        self.term, self.vote = mark.term, mark.vote
        self.records: list[Record] = [self.mark]
        self.marked = self.mark
        self.words: list[tuple[str, Body, str, bool]] = []
        self.out: list[Action] = []
        self.ticket, self.stored = 0, 0
        self.pending = deque[list[int]]()  # ticket, last index of the log with it, when
        self.disk_index = self.log.last  # the log is on disk up to here
        self.commit = self.told = self.log.begin
        self.part = RaftRole.FOLLOWS
        self.leader: str | None = None
        self.told_role: tuple[str | None, int] | None = None
        # a voter that starts may have promised a leader just before: it waits as one that has just heard it
        self.heard_leader = now
        self.due = now + self.span()
        self.asks_due = now
        self.granted: set[str] = set()  # identities
        self.peers: dict[str, FollowerProgress] = {}  # by identity, of who leads
        self.lease_until = 0
        self.led_since = 0
        self.first = 0  # index of the leader's first entry of its term
        self.seen: dict[tuple[str, str], tuple[int, int]] = {}  # the newest start of each name and identity
        self.hellos: dict[str, tuple[str, tuple[Member, ...], int]] = {}  # identity, roster and when, by name
        self.whole = bool(self.log.last or self.term)  # all voters were bound to the first roster
        self.dropped = Counter[str]()
        self.answers = 0
        self.deferred: set[str] = set()  # identities that this voter let go first since it heard a leader
        self.forgot = 0  # times that this voter was told off
        if self.log.base is not None and self.log.base.data_index:
            base = self.log.base
            self.out.append(EntryCommitted(base.data_index, base.data_term, base.data))

    @property
    def mark(self) -> HardState:
        return HardState(self.identity, self.starts, self.term, self.vote)

    @property
    def roster(self) -> tuple[Member, ...]:
        return self.log.roster

    @property
    def member(self) -> bool:
        """Whether this voter, under this identity, is one of the voters that it knows."""
        return any(m.identity == self.identity for m in self.roster)

    @property
    def quorum(self) -> int:
        return len(self.roster) // 2 + 1

    def others(self) -> list[Member]:
        return [m for m in self.roster if m.identity != self.identity]

    def span(self) -> int:
        return self.random.randint(self.pace.least, self.pace.most)

    def send(self, to: str, body: Body, identity: str = "", rests: bool = True) -> None:
        """`rests`: on what was promised or taken before; only a leader's entries do not."""
        self.words.append((to, body, identity, rests))

    def append(self, line: LogEntry) -> None:
        if line.index <= self.log.last:
            for entry in self.pending:  # a write under way of what is now given up counts for nothing
                entry[1] = min(entry[1], line.index - 1)
            self.disk_index = min(self.disk_index, line.index - 1)
        self.log.append(line)
        self.records.append(line)

    def follow(self, term: int) -> None:
        """A higher term, or the end of leading in this one."""
        if term > self.term:
            self.term, self.vote, self.leader = term, "", None
        if self.part is RaftRole.LEADS:
            self.leader = None
        if self.part is not RaftRole.FOLLOWS:
            self.due = self.now + self.span()
        self.part, self.lease_until = RaftRole.FOLLOWS, 0
        self.granted.clear()
        self.peers.clear()

    def begin_anew(self) -> None:
        """Another identity and an empty log: what was promised under the old one holds for nobody now."""
        self.follow(self.term)
        self.identity = f"{self.random.getrandbits(64):016x}"
        self.starts, self.term, self.vote, self.leader, self.whole = 1, 0, "", None, False
        self.log = RaftLog(None)
        self.commit = self.told = self.disk_index = 0
        self.records, self.marked = [self.mark], self.mark
        self.words.clear()
        for entry in self.pending:
            entry[1] = 0

    def flush(self) -> list[Action]:
        if self.mark != self.marked:
            self.marked = self.mark
            self.records.insert(0, self.mark)
        actions = list[Action]()
        if self.records:
            self.ticket += 1
            actions.append(PersistRecords(self.ticket, tuple(self.records)))
            self.pending.append([self.ticket, self.log.last, self.now])
            self.records = []
        latest = self.ticket if self.pending else 0
        for to, body, identity, rests in self.words:
            word = Message(
                VERSION, self.name, self.identity, self.starts, self.nonce, identity, self.term, body
            )
            actions.append(SendMessage(to, encode(word), latest if rests else 0))
        self.words = []
        if self.told_role != (self.leader, self.term):
            self.told_role = (self.leader, self.term)
            actions.append(LeaderChanged(self.leader, self.term))
        actions += self.out
        self.out = []
        return actions
