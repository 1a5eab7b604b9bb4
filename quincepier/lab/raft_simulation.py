"""Simulation of Raft voters in virtual time.

The network loses, duplicates, reorders and delays messages and blocks links in one direction. Disks keep only
synced data. The same seed gives the same run. Safety properties are checked during the run: one leader per
term, one lease at a time, one entry at an index.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

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
from quincepier.state.voter_records import VoterState, apply_records

MS = 1_000_000  # nanoseconds
SECOND = 1000 * MS
DEFAULT_DELAY_RANGE_NS = (MS // 2, MS)
STALLED_DISK_RETRY_NS = 10 * MS
POLL_INTERVAL_NS = 10 * MS


class SafetyViolationError(AssertionError):
    """A safety or liveness property of the agreement did not hold."""


class SimulatedVoter:
    """One voter's process and its disk.

    Attributes:
        disk: Synced state; None for an empty storage folder.
        is_alive: Whether the process runs.
        is_paused: Whether the process is paused; messages are delivered when it resumes.
        is_disk_stalled: Whether writes do not complete.
        newest_committed: The newest committed entry that it reported.
    """

    def __init__(self, cluster: SimulatedCluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.raft: Raft = None  # type: ignore[assignment]
        self.disk: VoterState | None = None
        self.is_alive = False
        self.is_paused = False
        self.is_disk_stalled = False
        self.newest_committed: EntryCommitted | None = None
        self._start_count = 0
        self._persisted_ticket = 0
        self._inbox: list[tuple[str, bytes]] = []
        self._held_messages: list[SendMessage] = []
        self._pending_writes: list[PersistRecords] = []

    def start(self) -> None:
        """Start a process from what the disk holds."""
        self.is_alive = True
        self.is_paused = False
        self.is_disk_stalled = False
        self._start_count += 1
        self._persisted_ticket = 0
        self._inbox = []
        self._held_messages = []
        self._pending_writes = []
        cluster = self.cluster
        config = RaftConfig(self.name, cluster.names, cluster.timeouts)
        self.raft = Raft(config, self.disk, cluster.now_ns, cluster.random.getrandbits(60))
        self._perform(self.raft.tick(cluster.now_ns))
        self._tick(self._start_count)

    def kill(self) -> None:
        """End the process; pending writes are lost."""
        self.is_alive = False

    def pause(self, duration_ns: int) -> None:
        """Pause the process for that time."""
        self.is_paused = True
        self.cluster.schedule(duration_ns, self._resume, self._start_count)

    def propose(self, data: bytes) -> None:
        """Propose an entry at this voter."""
        self._perform(self.raft.propose(self.cluster.now_ns, data))

    def deliver(self, sender: str, raw: bytes) -> None:
        """Handle a message, or keep it until the pause ends."""
        if self.is_paused:
            self._inbox.append((sender, raw))
        elif self.is_alive:
            self._perform(self.raft.step(self.cluster.now_ns, sender, raw))

    def has_committed(self, data: bytes) -> bool:
        """Return whether this is the newest data that the voter reported as committed."""
        return self.newest_committed is not None and self.newest_committed.data == data

    def _resume(self, start: int) -> None:
        if self.is_alive and start == self._start_count:
            self.is_paused = False
            inbox = self._inbox
            self._inbox = []
            for sender, raw in inbox:
                self.deliver(sender, raw)

    def _tick(self, start: int) -> None:
        if not self.is_alive or start != self._start_count:
            return
        if not self.is_paused:
            self._perform(self.raft.tick(self.cluster.now_ns))
        wait_ns = max(self.raft.next_tick_ns - self.cluster.now_ns, MS)
        self.cluster.schedule(wait_ns, self._tick, start)

    def _perform(self, actions: list[Action]) -> None:
        cluster = self.cluster
        for action in actions:
            match action:
                case SendMessage():
                    if action.after_ticket > self._persisted_ticket:
                        self._held_messages.append(action)
                    else:
                        cluster.send(self.name, action.to, action.data)
                case PersistRecords():
                    self._pending_writes.append(action)
                    duration_ns = int(cluster.disk_ns * cluster.random.uniform(0.5, 1.5))
                    cluster.schedule(duration_ns, self._complete_write, self._start_count)
                case EntryCommitted():
                    self.newest_committed = action
                    cluster.check_committed(self, action)
                case LeaderChanged():
                    cluster.check_leader(self, action)
        cluster.check_leases(self)

    def _complete_write(self, start: int) -> None:
        """Complete the next write, or retry later if the disk is stalled or the process paused."""
        if not self.is_alive or start != self._start_count or not self._pending_writes:
            return
        if self.is_disk_stalled or self.is_paused:
            self.cluster.schedule(STALLED_DISK_RETRY_NS, self._complete_write, self._start_count)
            return
        write = self._pending_writes.pop(0)
        self.disk = apply_records(self.disk, write.records)
        self._persisted_ticket = write.ticket
        ready = [message for message in self._held_messages if message.after_ticket <= write.ticket]
        self._held_messages = [
            message for message in self._held_messages if message.after_ticket > write.ticket
        ]
        for message in ready:
            self.cluster.send(self.name, message.to, message.data)
        self._perform(self.raft.on_persisted(self.cluster.now_ns, write.ticket))


class SimulatedCluster:
    """Voters, the network between them, and virtual time.

    Attributes:
        names: The voters as the operators' file names them.
        loss_rate: Share of messages that are lost.
        duplicate_rate: Share of messages that arrive twice.
        delay_range_ns: Shortest and longest delay of a message.
        blocked_links: Sender and receiver of links on which nothing arrives.
        committed_by_index: Term and data of each entry that any voter reported as committed.
        sent_messages: Messages sent so far.
        sent_bytes: Their size.
    """

    def __init__(
        self, size: int, seed: int, timeouts: ElectionTimeouts | None = None, disk_ns: int = 3 * MS
    ) -> None:
        self.now_ns = SECOND
        self.random = random.Random(seed)
        self.timeouts = timeouts or ElectionTimeouts()
        self.disk_ns = disk_ns
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.delay_range_ns = DEFAULT_DELAY_RANGE_NS
        self.blocked_links: set[tuple[str, str]] = set()
        self.names = tuple(f"v{number}" for number in range(size))
        self.voters = {name: SimulatedVoter(self, name) for name in self.names}
        self.committed_by_index: dict[int, tuple[int, bytes]] = {}
        self.sent_messages = 0
        self.sent_bytes = 0
        self._leader_by_term: dict[int, str] = {}
        self._scheduled: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._schedule_count = 0

    def schedule(self, wait_ns: int, call: Callable[..., None], *arguments: Any) -> None:
        """Call `call` in `wait_ns`; calls due at the same time run in the order of scheduling."""
        self._schedule_count += 1
        due_ns = self.now_ns + wait_ns
        heapq.heappush(self._scheduled, (due_ns, self._schedule_count, call, arguments))

    def run(self, duration_ns: int) -> None:
        """Advance virtual time."""
        end_ns = self.now_ns + duration_ns
        while self._scheduled and self._scheduled[0][0] <= end_ns:
            self.now_ns, _, call, arguments = heapq.heappop(self._scheduled)
            call(*arguments)
        self.now_ns = end_ns

    def run_until(self, holds: Callable[[], bool], timeout_ns: int = 60 * SECOND) -> int:
        """Advance virtual time until a condition holds.

        Returns:
            How long it took, ns.

        Raises:
            SafetyViolationError: If it does not hold within the timeout.
        """
        begin_ns = self.now_ns
        while not holds():
            if self.now_ns - begin_ns > timeout_ns:
                raise SafetyViolationError(f"not within {timeout_ns // SECOND} s")
            self.run(POLL_INTERVAL_NS)
        return self.now_ns - begin_ns

    def start(self) -> None:
        """Start all voters within a tenth of a second."""
        for voter in self.voters.values():
            self.schedule(self.random.randrange(100 * MS), voter.start)

    def heal_network(self) -> None:
        """End all faults of the network."""
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.delay_range_ns = DEFAULT_DELAY_RANGE_NS
        self.blocked_links = set()

    def send(self, sender: str, to: str, data: bytes) -> None:
        """Send a message through the network."""
        self.sent_messages += 1
        self.sent_bytes += len(data)
        receiver = self.voters.get(to)
        if receiver is None or (sender, to) in self.blocked_links or self.random.random() < self.loss_rate:
            return
        self.schedule(self.random.randint(*self.delay_range_ns), receiver.deliver, sender, data)
        if self.random.random() < self.duplicate_rate:
            self.schedule(self.random.randint(*self.delay_range_ns), receiver.deliver, sender, data)

    @property
    def leader(self) -> SimulatedVoter | None:
        """The running voter that leads and has a lease; None if there is none."""
        for voter in self.voters.values():
            is_running = voter.is_alive and not voter.is_paused
            if is_running and voter.raft.has_committed_in_term and voter.raft.lease_until_ns > self.now_ns:
                return voter
        return None

    def check_leader(self, voter: SimulatedVoter, change: LeaderChanged) -> None:
        """Check that at most one voter leads a term."""
        if change.leader != voter.name:
            return
        known = self._leader_by_term.setdefault(change.term, voter.name)
        if known != voter.name:
            raise SafetyViolationError(f"two leaders of term {change.term}: {known} and {voter.name}")

    def check_leases(self, voter: SimulatedVoter) -> None:
        """Check that at most one voter has a lease."""
        if voter.raft.lease_until_ns <= self.now_ns:
            return
        for other in self.voters.values():
            if other is not voter and other.is_alive and other.raft.lease_until_ns > self.now_ns:
                raise SafetyViolationError(f"{voter.name} and {other.name} have a lease at once")

    def check_committed(self, voter: SimulatedVoter, entry: EntryCommitted) -> None:
        """Check that all voters commit the same entry at an index."""
        committed = (entry.term, entry.data)
        if self.committed_by_index.setdefault(entry.index, committed) != committed:
            raise SafetyViolationError(f"{voter.name} committed another entry {entry.index} than others")
