"""The I/O around the Raft core: a voter's log on disk and its messages on the network.

A message that depends on a write is sent when that write is on disk, never before. A disk that is full,
broken or hangs silences this voter; its front serves on and follows the other voters.
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
    RaftConfig,
    SendMessage,
)
from quincepier.net.fleet.worker_thread import WorkerThread
from quincepier.state.voter_records import Record, VoterState

WRITE_RETRY_INTERVAL_S = 1.0
MAX_HELD_MESSAGES = 4096  # the oldest are dropped: voters repeat themselves
MAX_PENDING_WRITES = 64
STORAGE_FAILED = "voter_storage_failed"


class VoterStorage(Protocol):
    """Blocking storage, as `state.voter_store.VoterStore`; a failed save may be retried."""

    def open(self) -> None:
        """Lock the storage for this process."""

    def load(self) -> VoterState | None:
        """Read the stored state."""

    def save(self, records: tuple[Record, ...]) -> int:
        """Write the records; they are durable on return."""


class RaftNode:
    """Runs one voter: performs the actions of its `Raft`.

    Args:
        name: This voter.
        voters: All voters, this one among them.
        storage: Where its log is.
        thread: Runs the storage's blocking calls.
        seed: Of random election timeouts; different at each start.
        send: Sends a message to a voter, at most once.
        on_event: Told committed entries and changes of the leader.
        checks: Counters.
        timeouts: Timing; the default if None.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        storage: VoterStorage,
        thread: WorkerThread,
        seed: int,
        send: Callable[[str, bytes], object],
        on_event: Callable[[EntryCommitted | LeaderChanged], None],
        checks: Checks,
        timeouts: ElectionTimeouts | None = None,
    ) -> None:
        self._config = RaftConfig(name, voters, timeouts or ElectionTimeouts())
        self._storage = storage
        self._thread = thread
        self._seed = seed
        self._send = send
        self._on_event = on_event
        self._checks = checks
        self.raft: Raft | None = None  # None until the log is read, and after a failure that is final
        self._held_messages: deque[SendMessage] = deque(maxlen=MAX_HELD_MESSAGES)
        self._pending_writes: deque[PersistRecords] = deque()  # the first is being written
        self.persisted_ticket = 0

    def start(self) -> None:
        """Read the log; the voter takes part once that is done."""

        def read() -> VoterState | None:
            self._storage.open()
            return self._storage.load()

        self._thread.submit(read, self._on_loaded)

    def _on_loaded(self, outcome: VoterState | None | Exception) -> None:
        if isinstance(outcome, Exception):
            self._fail(outcome)
            return
        self.raft = Raft(self._config, outcome, clock.boot(), self._seed)
        self.tick()

    def _fail(self, error: Exception) -> None:
        """Take no part any more."""
        self.raft = None
        self._held_messages.clear()
        self._pending_writes.clear()
        line = getattr(error, "line", None)
        self._checks.event(STORAGE_FAILED, line() if callable(line) else f"{type(error).__name__}: {error}")

    @property
    def next_tick_ns(self) -> int:
        """When `tick` is to be called next, by `clock.boot`."""
        return self.raft.next_tick_ns if self.raft is not None else clock.boot() + clock.SECOND

    @property
    def has_leader_lease(self) -> bool:
        """Whether it leads by a lease that still runs, and knows all that was committed before."""
        raft = self.raft
        return raft is not None and raft.has_committed_in_term and clock.boot() < raft.lease_until_ns

    @property
    def leader(self) -> str:
        """Name of the leader; "" while none is known."""
        return (self.raft.leader or "") if self.raft is not None else ""

    def tick(self) -> None:
        """Do what is due."""
        if self.raft is not None:
            self._perform(self.raft.tick(clock.boot()))

    def on_message(self, sender: str, raw: bytes) -> None:
        """A message of another voter arrived."""
        if self.raft is not None:
            self._perform(self.raft.step(clock.boot(), sender, raw))

    def propose(self, data: bytes) -> None:
        """Propose an entry; it is reported as `EntryCommitted`, or is lost."""
        if self.raft is not None:
            self._perform(self.raft.propose(clock.boot(), data))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case PersistRecords():
                    self._queue_write(action)
                case SendMessage():
                    if action.after_ticket <= self.persisted_ticket:
                        self._send(action.to, action.data)
                    else:
                        self._held_messages.append(action)
                case EntryCommitted() | LeaderChanged():
                    self._on_event(action)

    def _queue_write(self, write: PersistRecords) -> None:
        self._pending_writes.append(write)
        if len(self._pending_writes) > MAX_PENDING_WRITES:
            self._fail(OSError("the disk is behind by too many writes"))
        elif len(self._pending_writes) == 1:
            self._write_next()

    def _write_next(self) -> None:
        """Write the oldest records that are not on disk.

        The next go to the disk only after them: a write that failed and is retried behind a newer one would
        take that one back, a vote among it.
        """
        if not self._pending_writes or self.raft is None:
            return
        write = self._pending_writes[0]
        is_queued = self._thread.submit(
            lambda: self._storage.save(write.records), lambda outcome: self._on_written(write, outcome)
        )
        if not is_queued:
            self._fail(OSError("the disk is behind by too many writes"))

    def _on_written(self, write: PersistRecords, outcome: object) -> None:
        if self.raft is None:
            return
        if isinstance(outcome, Exception):
            self._checks.event(STORAGE_FAILED, f"{type(outcome).__name__}: {outcome}")
            self._thread.loop.call_later(WRITE_RETRY_INTERVAL_S, self._write_next)
            return
        self._pending_writes.popleft()
        self.persisted_ticket = write.ticket
        self._send_held_messages()
        self._write_next()
        if self.raft is not None:
            self._perform(self.raft.on_persisted(clock.boot(), write.ticket))

    def _send_held_messages(self) -> None:
        while self._held_messages and self._held_messages[0].after_ticket <= self.persisted_ticket:
            message = self._held_messages.popleft()
            self._send(message.to, message.data)
