"""Voters among themselves in virtual time: a net that loses, repeats, reorders, delays and cuts one way, and
disks that keep only what was synced. The same seed gives the same run. What must hold is checked as it goes.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from quincepier.consensus import (
    ElectionTimeouts,
    EntryCommitted,
    LeaderChanged,
    PersistRecords,
    Raft,
    RaftConfig,
    SendMessage,
)
from quincepier.state.voter_records import VoterState, apply_records

MS = 1_000_000
SECOND = 1000 * MS


class RuleBrokenError(AssertionError):
    """A rule of the agreement that did not hold."""


class Seat:
    """One voter's process and its folder."""

    def __init__(self, net: VoterNet, name: str) -> None:
        self.net, self.name = net, name
        self.disk: VoterState | None = None
        self.alive, self.stopped, self.starts = False, False, 0
        self.inbox: list[tuple[str, bytes]] = []
        self.voter: Raft = None  # type: ignore[assignment]
        self.done = 0
        self.held: list[SendMessage] = []
        self.writes: list[PersistRecords] = []
        self.hangs = False
        self.newest: EntryCommitted | None = None

    def start(self) -> None:
        self.alive, self.stopped, self.starts = True, False, self.starts + 1
        self.inbox, self.held, self.writes, self.done, self.hangs = [], [], [], 0, False
        net = self.net
        config = RaftConfig(self.name, net.names, net.timeouts)
        self.voter = Raft(config, self.disk, net.now, net.random.getrandbits(60))
        self.perform(self.voter.tick(net.now))
        self.wake(self.starts)

    def kill(self) -> None:
        self.alive = False

    def pause(self, lasts: int) -> None:
        self.stopped = True
        self.net.after(lasts, self.go, self.starts)

    def go(self, start: int) -> None:
        if self.alive and start == self.starts:
            self.stopped, inbox, self.inbox = False, self.inbox, []
            for sender, raw in inbox:
                self.hear(sender, raw)

    def wake(self, start: int) -> None:
        if not self.alive or start != self.starts:
            return
        if not self.stopped:
            self.perform(self.voter.tick(self.net.now))
        self.net.after(max(self.voter.next_tick_ns - self.net.now, MS), self.wake, start)

    def hear(self, sender: str, raw: bytes) -> None:
        if self.stopped:
            self.inbox.append((sender, raw))
        elif self.alive:
            self.perform(self.voter.step(self.net.now, sender, raw))

    def propose(self, data: bytes) -> None:
        self.perform(self.voter.propose(self.net.now, data))

    def perform(self, actions: list[Any]) -> None:
        net = self.net
        for action in actions:
            match action:
                case SendMessage():
                    if action.after_ticket > self.done:
                        self.held.append(action)
                    else:
                        net.send(self.name, action.to, action.data)
                case PersistRecords():
                    self.writes.append(action)
                    net.after(int(net.disk * net.random.uniform(0.5, 1.5)), self.synced, self.starts)
                case EntryCommitted():
                    self.newest = action
                    net.committed(self, action)
                case LeaderChanged():
                    net.roles(self, action)
        net.leases(self)

    def synced(self, start: int) -> None:
        """The next write is on disk; where the disk hangs or the process is stopped, later."""
        if not self.alive or start != self.starts or not self.writes:
            return
        if self.hangs or self.stopped:
            self.net.after(10 * MS, self.synced, start)
            return
        write = self.writes.pop(0)
        self.disk = apply_records(self.disk, write.records)
        self.done = write.ticket
        ready = [send for send in self.held if send.after_ticket <= self.done]
        self.held = [send for send in self.held if send.after_ticket > self.done]
        for send in ready:
            self.net.send(self.name, send.to, send.data)
        self.perform(self.voter.on_persisted(self.net.now, write.ticket))


class VoterNet:
    def __init__(
        self, count: int, seed: int, timeouts: ElectionTimeouts | None = None, disk: int = 3 * MS
    ) -> None:
        self.now, self.order, self.disk = SECOND, 0, disk
        self.random, self.timeouts = random.Random(seed), timeouts or ElectionTimeouts()
        self.loss, self.repeat, self.way = 0.0, 0.0, (MS // 2, MS)  # shares, and nanoseconds one way
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.cuts: set[tuple[str, str]] = set()  # from whom to whom nothing comes
        self.names = tuple(f"v{n}" for n in range(count))
        self.seats = {name: Seat(self, name) for name in self.names}
        self.leaders: dict[int, str] = {}
        self.agreed: dict[int, tuple[int, bytes]] = {}
        self.sent = self.bytes = 0

    def after(self, wait: int, what: Callable[..., None], *about: Any) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now + wait, self.order, what, about))

    def run(self, span: int) -> None:
        until = self.now + span
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what, about = heapq.heappop(self.heap)
            what(*about)
        self.now = until

    def until(self, what: Callable[[], bool], most: int = 60 * SECOND) -> int:
        """Runs until that holds; how long it took. RuleBrokenError where it never does."""
        begun = self.now
        while not what():
            if self.now - begun > most:
                raise RuleBrokenError(f"not within {most // SECOND} s")
            self.run(10 * MS)
        return self.now - begun

    def start(self) -> None:
        for seat in self.seats.values():
            self.after(self.random.randrange(100 * MS), seat.start)

    def send(self, sender: str, to: str, data: bytes) -> None:
        self.sent += 1
        self.bytes += len(data)
        seat = self.seats.get(to)
        if seat is None or (sender, to) in self.cuts or self.random.random() < self.loss:
            return
        self.after(self.random.randint(*self.way), seat.hear, sender, data)
        if self.random.random() < self.repeat:
            self.after(self.random.randint(*self.way), seat.hear, sender, data)

    @property
    def leader(self) -> Seat | None:
        """One that is up, leads and has its lease."""
        for seat in self.seats.values():
            voter = seat.voter
            if (
                seat.alive
                and not seat.stopped
                and voter.has_committed_in_term
                and voter.lease_until_ns > self.now
            ):
                return seat
        return None

    def roles(self, seat: Seat, role: LeaderChanged) -> None:
        if role.leader == seat.name and self.leaders.setdefault(role.term, seat.name) != seat.name:
            raise RuleBrokenError(
                f"two leaders of term {role.term}: {self.leaders[role.term]} and {seat.name}"
            )

    def leases(self, seat: Seat) -> None:
        if seat.voter.lease_until_ns <= self.now:
            return
        for other in self.seats.values():
            if other is not seat and other.alive and other.voter.lease_until_ns > self.now:
                raise RuleBrokenError(f"{seat.name} and {other.name} have a lease at once")

    def committed(self, seat: Seat, entry: EntryCommitted) -> None:
        if self.agreed.setdefault(entry.index, (entry.term, entry.data)) != (entry.term, entry.data):
            raise RuleBrokenError(f"{seat.name} has another entry {entry.index} than was agreed")
