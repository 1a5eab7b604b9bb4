"""Fronts among themselves in virtual time: detectors over a net that loses, delays, cuts one way, and pauses.

The same seed gives the same run. Nothing here decides for a front.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from quincepier.membership import (
    DuplicateMember,
    FailureDetector,
    ProbeIntervals,
    SendDatagram,
    StartStateSync,
    ViewChanged,
)
from quincepier.membership.probe_intervals import MS, SECOND

WAY = 2 * MS  # one way, half of it by chance
Address = tuple[str, int]


class SimulatedPeer:
    """One process: its detector, and what it heard while it was stopped."""

    def __init__(self, net: SimulatedPeerNetwork, name: str, address: Address, seeds: list[Address]) -> None:
        self.network, self.name, self.address, self.seeds = net, name, address, seeds
        self.is_alive, self.is_paused, self.start_count = False, False, 0
        self.inbox: list[bytes] = []
        self.views: list[tuple[int, ViewChanged]] = []
        self.duplicate_count = 0

    def start(self, number: int | None = None) -> None:
        net = self.network
        self.is_alive, self.is_paused, self.inbox, self.start_count = True, False, [], self.start_count + 1
        number = number if number is not None else net.now // MS + self.start_count
        self.detector = FailureDetector(
            "fleet",
            self.name,
            self.address,
            number,
            net.now,
            net.random.getrandbits(32),
            self.seeds,
            net.intervals,
        )
        self._tick(self.start_count)

    @property
    def members(self) -> set[str]:
        return self.detector.members

    def kill(self) -> None:
        self.is_alive = False

    def pause(self, lasts: int) -> None:
        self.is_paused = True
        self.network.schedule(lasts, self._resume, self.start_count)

    def _resume(self, start: int) -> None:
        if self.is_alive and start == self.start_count:
            self.is_paused, waiting, self.inbox = False, self.inbox, []
            for data in waiting:
                self.deliver(data)
            self._perform(self.detector.on_tick(self.network.now))

    def _tick(self, start: int) -> None:
        if not self.is_alive or start != self.start_count:
            return
        if not self.is_paused:
            self._perform(self.detector.on_tick(self.network.now))
        self.network.schedule(max(self.detector.next_tick_ns - self.network.now, 5 * MS), self._tick, start)

    def deliver(self, data: bytes) -> None:
        if self.is_paused:
            self.inbox.append(data)
        elif self.is_alive:
            self._perform(self.detector.on_datagram(self.network.now, data))

    def _perform(self, actions: list[Any]) -> None:
        net = self.network
        for action in actions:
            match action:
                case SendDatagram(address, data):
                    net.send(self, address, data)
                case StartStateSync(address):
                    net.schedule(WAY, self._sync_state, address)
                case ViewChanged():
                    self.views.append((net.now, action))
                case DuplicateMember():
                    self.duplicate_count += 1

    def _sync_state(self, address: Address) -> None:
        """Over a stream: it comes up or it does not; nothing of it is lost."""
        net, other = self.network, self.network.peer_by_address.get(address)
        if other is None or not (self.is_alive and other.is_alive) or self.is_paused or other.is_paused:
            return
        if net.is_blocked(self, other) or net.is_blocked(other, self):
            return
        mine, theirs = self.detector.encode_full_state(net.now), other.detector.encode_full_state(net.now)
        net.bytes[self.name] += len(mine)
        net.bytes[other.name] += len(theirs)
        other._perform(other.detector.on_full_state(net.now, mine))
        self._perform(self.detector.on_full_state(net.now, theirs))


class SimulatedPeerNetwork:
    def __init__(
        self, count: int, seed: int, pace: ProbeIntervals | None = None, loss: float = 0.0, late: int = 0
    ) -> None:
        self.now, self.scheduled_count = SECOND, 0
        self.random, self.intervals, self.loss_rate, self.max_extra_delay = (
            random.Random(seed),
            pace or ProbeIntervals(),
            loss,
            late,
        )
        self.event_queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.bytes, self.datagrams = Counter[str](), Counter[str]()
        self.blocked_links: set[tuple[str, str]] = set()  # from whom to whom nothing comes
        addresses = [("10.0.0.1", 1000 + n) for n in range(count)]
        self.peers = [SimulatedPeer(self, f"f{n}", addresses[n], addresses[:3]) for n in range(count)]
        self.peer_by_address = {peer.address: peer for peer in self.peers}

    def schedule(self, wait: int, what: Callable[..., None], *about: Any) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.event_queue, (self.now + wait, self.scheduled_count, what, about))

    def run(self, span: int) -> None:
        until = self.now + span
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, what, about = heapq.heappop(self.event_queue)
            what(*about)
        self.now = until

    def start(self) -> None:
        for peer in self.peers:
            self.schedule(self.random.randrange(200 * MS), peer.start)

    def is_blocked(self, sender: SimulatedPeer, to: SimulatedPeer) -> bool:
        return (sender.name, to.name) in self.blocked_links

    def send(self, sender: SimulatedPeer, address: Address, data: bytes) -> None:
        self.bytes[sender.name] += len(data)
        self.datagrams[sender.name] += 1
        to = self.peer_by_address.get(address)
        if to is None or self.is_blocked(sender, to) or self.random.random() < self.loss_rate:
            return
        self.schedule(
            int(WAY * self.random.uniform(0.5, 1) + self.max_extra_delay * self.random.random()),
            to.deliver,
            data,
        )

    def has_converged(self) -> bool:
        """Whether all that are up have the view of just those that are up."""
        up = {peer.name for peer in self.peers if peer.is_alive}
        return all(peer.members == up for peer in self.peers if peer.is_alive)
