"""The I/O around the Raft core: a voter's log on disk and its messages on the network.

A message that depends on a write is sent only after that write is on disk. If the disk is full, fails or
hangs, this voter sends nothing; its front continues to serve and follows the other voters.
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
MAX_HELD_MESSAGES = 4096  # the oldest are dropped, as voters repeat messages
MAX_PENDING_WRITES = 64
STORAGE_FAILED = "voter_storage_failed"


class VoterStorage(Protocol):
    """Blocking storage, such as `state.voter_store.VoterStore`; a failed save may be retried."""

    def open(self) -> None:
        """Lock the storage for this process."""

    def load(self) -> VoterState | None:
        """Return the stored state; None if there is none."""

    def save(self, records: tuple[Record, ...]) -> int:
        """Write the records; they are durable when the call returns."""


class RaftNode:
    """Runs one voter: performs the actions of its `Raft`.

    Args:
        name: This voter's name.
        voters: Names of all voters, including this one.
        storage: Stores this voter's log.
        thread: Runs the blocking calls of the storage.
        seed: Seed of random election timeouts; different at each start.
        send: Sends a message to a voter, at most once.
        on_event: Called with committed entries and changes of the leader.
        checks: Counters and log events.
        timeouts: Timing of elections; the defaults if None.

    Attributes:
        raft: The Raft core; None until the log is read, and after a final failure.
        persisted_ticket: The ticket of the last write that is on disk.
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
        self.raft: Raft | None = None
        self._held_messages: deque[SendMessage] = deque(maxlen=MAX_HELD_MESSAGES)
        self._pending_writes: deque[PersistRecords] = deque()  # the first one is being written
        self.persisted_ticket = 0

    def start(self) -> None:
        """Read the log in the thread; the voter participates once the log is read."""

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
        """Stop this voter for good."""
        self.raft = None
        self._held_messages.clear()
        self._pending_writes.clear()
        line = getattr(error, "line", None)
        self._checks.event(STORAGE_FAILED, line() if callable(line) else f"{type(error).__name__}: {error}")

    @property
    def next_tick_ns(self) -> int:
        """When `tick` must be called next, in nanoseconds of `clock.boot`."""
        return self.raft.next_tick_ns if self.raft is not None else clock.boot() + clock.SECOND

    @property
    def has_leader_lease(self) -> bool:
        """Whether this voter leads with a valid leader lease and knows all entries committed before."""
        raft = self.raft
        return raft is not None and raft.has_committed_in_term and clock.boot() < raft.lease_until_ns

    @property
    def leader(self) -> str:
        """The name of the leader; "" while none is known."""
        return (self.raft.leader or "") if self.raft is not None else ""

    def tick(self) -> None:
        """Perform the work that is due."""
        if self.raft is not None:
            self._perform(self.raft.tick(clock.boot()))

    def on_message(self, sender: str, raw: bytes) -> None:
        """Handle a message from another voter."""
        if self.raft is not None:
            self._perform(self.raft.step(clock.boot(), sender, raw))

    def propose(self, data: bytes) -> None:
        """Propose an entry; it is reported by `EntryCommitted`, or is lost."""
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
            self._fail(OSError("too many writes are waiting for the disk"))
        elif len(self._pending_writes) == 1:
            self._write_next()

    def _write_next(self) -> None:
        """Write the oldest records that are not on disk.

        Newer records are written only after them: a failed write retried after a newer one would undo the
        newer one, which may contain a vote.
        """
        if not self._pending_writes or self.raft is None:
            return
        write = self._pending_writes[0]
        is_queued = self._thread.submit(
            lambda: self._storage.save(write.records), lambda outcome: self._on_written(write, outcome)
        )
        if not is_queued:
            self._fail(OSError("too many writes are waiting for the disk"))

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
