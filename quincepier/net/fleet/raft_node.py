"""The seat of a voter: its log on disk and its words on the way, around the pure `consensus.Voter`.

A word that rests on a record goes out when that record is on disk, never before. A disk that is full, broken
or hangs makes this voter silent; the front serves on and follows the other voters.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from quincepier import clock
from quincepier.checks import Checks
from quincepier.consensus import (
    Action,
    ElectionTimeouts,
    EntryCommitted,
    LeaderChanged,
    PersistRecords,
    Raft,
    SendMessage,
)
from quincepier.net.fleet.worker_thread import WorkerThread
from quincepier.state.voter_records import Record, VoterState

RETRY = 1.0  # seconds until a write that failed is tried again
HELD_MOST = 4096  # words that wait for the disk; the oldest go, as the voters say them again
STORES_MOST = 64  # writes that wait for the disk


class VoterStorage(Protocol):
    """Blocking; as `state.voterlog.VoterLog`. Until a save that failed has succeeded the voter is silent."""

    def open(self) -> None: ...

    def load(self) -> VoterState | None: ...

    def save(self, records: tuple[Record, ...]) -> int:
        """On disk as it returns."""


class RaftNode:
    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        disk: VoterStorage,
        thread: WorkerThread,
        seed: int,
        send: Callable[[str, bytes], object],
        hear: Callable[[EntryCommitted | LeaderChanged], None],
        checks: Checks,
        pace: ElectionTimeouts | None = None,
    ) -> None:
        self.name, self.voters, self.disk, self.thread, self.seed = name, voters, disk, thread, seed
        self.send, self.hear, self.checks, self.pace = send, hear, checks, pace or ElectionTimeouts()
        self.voter: Raft | None = None
        self.held: deque[SendMessage] = deque(maxlen=HELD_MOST)
        self.stores: deque[PersistRecords] = deque()  # not on disk yet, the oldest is being written
        self.on_disk = 0  # ticket up to which all is written
        self.fault = ""

    def open(self) -> None:
        """Read the log; the voter speaks once that is done."""

        def read() -> VoterState | None:
            self.disk.open()
            return self.disk.load()

        self.thread.do(read, self._opened)

    def _opened(self, saved: VoterState | None | Exception) -> None:
        if isinstance(saved, Exception):
            self._silent(saved)
            return
        self.voter = Raft(self.name, self.voters, saved, clock.boot(), self.seed, self.pace)
        self.tick()

    def _silent(self, error: Exception) -> None:
        self.voter, self.fault = None, str(error)
        self.held.clear()
        self.stores.clear()
        line = getattr(error, "line", None)
        self.checks.event("voter silent", line() if callable(line) else f"{type(error).__name__}: {error}")

    @property
    def wake(self) -> int:
        """When `tick` is wanted next, by `clock.boot`."""
        return self.voter.wake if self.voter is not None else clock.boot() + clock.SECOND

    @property
    def leads(self) -> bool:
        """Whether it leads now, by a lease that still runs, and knows all that was agreed before."""
        voter = self.voter
        return voter is not None and voter.leads and clock.boot() < voter.lease_until

    @property
    def leader(self) -> str:
        return (self.voter.leader or "") if self.voter is not None else ""

    def tick(self) -> None:
        if self.voter is not None:
            self._perform(self.voter.tick(clock.boot()))

    def heard(self, sender: str, raw: bytes) -> None:
        if self.voter is not None:
            self._perform(self.voter.heard(clock.boot(), sender, raw))

    def propose(self, data: bytes) -> None:
        """It comes as `Committed`, or is lost."""
        if self.voter is not None:
            self._perform(self.voter.propose(clock.boot(), data))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case PersistRecords():
                    self._store(action)
                case SendMessage():
                    if action.after <= self.on_disk:
                        self.send(action.to, action.data)
                    else:
                        self.held.append(action)
                case EntryCommitted() | LeaderChanged():
                    self.hear(action)

    def _store(self, store: PersistRecords) -> None:
        self.stores.append(store)
        if len(self.stores) > STORES_MOST:
            self._silent(OSError("the disk is behind by too many writes"))
        elif len(self.stores) == 1:
            self._save()

    def _save(self) -> None:
        """The oldest write that is not on disk. The next goes to the disk only after it: one that failed and
        is tried again behind a newer one would take that back, a vote among it.
        """
        if not self.stores or self.voter is None:
            return
        store = self.stores[0]

        def stored(outcome: object) -> None:
            if self.voter is None:
                return
            if isinstance(outcome, Exception):  # full, or broken: the same again, and nothing is said before
                self.checks.event("voter silent", f"{type(outcome).__name__}: {outcome}")
                self.thread.loop.call_later(RETRY, self._save)
                return
            self.stores.popleft()
            self.on_disk = store.ticket
            while self.held and self.held[0].after <= store.ticket:
                word = self.held.popleft()
                self.send(word.to, word.data)
            self._save()
            self._perform(self.voter.stored(clock.boot(), store.ticket))

        if not self.thread.do(lambda: self.disk.save(store.records), stored):
            self._silent(OSError("the disk is behind by too many writes"))
