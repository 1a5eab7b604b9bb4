"""Simulation of the fleet's failure detectors in virtual time.

The network loses and delays datagrams and blocks links in one direction; processes pause and restart. The
same seed gives the same run. Nothing here makes decisions for a front. Times are nanoseconds.
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

MAX_DELAY = 2 * MS  # one-way delay; at least half of it
Address = tuple[str, int]


class SimulatedPeer:
    """A process with its failure detector.

    Attributes:
        inbox: Datagrams that arrived while it was paused.
        views: Time and content of each view change.
        duplicate_count: How often the detector reported another member of the same name.
    """

    def __init__(
        self, network: SimulatedPeerNetwork, name: str, address: Address, seeds: list[Address]
    ) -> None:
        self.network, self.name, self.address, self.seeds = network, name, address, seeds
        self.is_alive, self.is_paused, self.start_count = False, False, 0
        self.inbox: list[bytes] = []
        self.views: list[tuple[int, ViewChanged]] = []
        self.duplicate_count = 0

    def start(self, number: int | None = None) -> None:
        """Start the process; `number` is its incarnation, a new one by default."""
        network = self.network
        self.is_alive, self.is_paused, self.inbox, self.start_count = True, False, [], self.start_count + 1
        number = number if number is not None else network.now // MS + self.start_count
        self.detector = FailureDetector(
            "fleet",
            self.name,
            self.address,
            number,
            network.now,
            network.random.getrandbits(32),
            self.seeds,
            network.intervals,
        )
        self._tick(self.start_count)

    @property
    def members(self) -> set[str]:
        """Members that the detector sees, including itself."""
        return self.detector.members

    def kill(self) -> None:
        """End the process."""
        self.is_alive = False

    def pause(self, duration: int) -> None:
        """Pause the process for `duration` ns."""
        self.is_paused = True
        self.network.schedule(duration, self._resume, self.start_count)

    def _resume(self, start: int) -> None:
        if self.is_alive and start == self.start_count:
            self.is_paused, inbox, self.inbox = False, self.inbox, []
            for data in inbox:
                self.deliver(data)
            self._perform(self.detector.on_tick(self.network.now))

    def _tick(self, start: int) -> None:
        if not self.is_alive or start != self.start_count:
            return
        if not self.is_paused:
            self._perform(self.detector.on_tick(self.network.now))
        self.network.schedule(max(self.detector.next_tick_ns - self.network.now, 5 * MS), self._tick, start)

    def deliver(self, data: bytes) -> None:
        """Handle a datagram, or keep it until the pause ends."""
        if self.is_paused:
            self.inbox.append(data)
        elif self.is_alive:
            self._perform(self.detector.on_datagram(self.network.now, data))

    def _perform(self, actions: list[Any]) -> None:
        network = self.network
        for action in actions:
            match action:
                case SendDatagram(address, data):
                    network.send(self, address, data)
                case StartStateSync(address):
                    network.schedule(MAX_DELAY, self._sync_state, address)
                case ViewChanged():
                    self.views.append((network.now, action))
                case DuplicateMember():
                    self.duplicate_count += 1

    def _sync_state(self, address: Address) -> None:
        """Exchange full states over a stream: it is either established without loss or not at all."""
        network, other = self.network, self.network.peer_by_address.get(address)
        if other is None or not (self.is_alive and other.is_alive) or self.is_paused or other.is_paused:
            return
        if network.is_blocked(self, other) or network.is_blocked(other, self):
            return
        own_state, other_state = (
            self.detector.encode_full_state(network.now),
            other.detector.encode_full_state(network.now),
        )
        network.bytes[self.name] += len(own_state)
        network.bytes[other.name] += len(other_state)
        other._perform(other.detector.on_full_state(network.now, own_state))
        self._perform(self.detector.on_full_state(network.now, other_state))


class SimulatedPeerNetwork:
    """Peers, the network between them and the event queue.

    Args:
        count: Number of peers.
        seed: Seed of all random choices.
        pace: Probe intervals of the detectors.
        loss: Share of datagrams that are lost.
        late: Greatest additional delay of a datagram, ns.

    Attributes:
        bytes: Bytes sent, by peer.
        datagrams: Datagrams sent, by peer.
        blocked_links: (sender, receiver) pairs between which nothing is delivered.
    """

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
        self.blocked_links: set[tuple[str, str]] = set()
        addresses = [("10.0.0.1", 1000 + n) for n in range(count)]
        self.peers = [SimulatedPeer(self, f"f{n}", addresses[n], addresses[:3]) for n in range(count)]
        self.peer_by_address = {peer.address: peer for peer in self.peers}

    def schedule(self, wait: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` in `wait` ns."""
        self.scheduled_count += 1
        heapq.heappush(self.event_queue, (self.now + wait, self.scheduled_count, callback, arguments))

    def run(self, span: int) -> None:
        """Advance virtual time by `span` ns."""
        until = self.now + span
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self.event_queue)
            callback(*arguments)
        self.now = until

    def start(self) -> None:
        """Start all peers within 200 ms."""
        for peer in self.peers:
            self.schedule(self.random.randrange(200 * MS), peer.start)

    def is_blocked(self, sender: SimulatedPeer, to: SimulatedPeer) -> bool:
        """Return whether the link from a sender to a receiver is blocked."""
        return (sender.name, to.name) in self.blocked_links

    def send(self, sender: SimulatedPeer, address: Address, data: bytes) -> None:
        """Deliver a datagram after its delay, unless it is lost or the link is blocked."""
        self.bytes[sender.name] += len(data)
        self.datagrams[sender.name] += 1
        to = self.peer_by_address.get(address)
        if to is None or self.is_blocked(sender, to) or self.random.random() < self.loss_rate:
            return
        self.schedule(
            int(MAX_DELAY * self.random.uniform(0.5, 1) + self.max_extra_delay * self.random.random()),
            to.deliver,
            data,
        )

    def has_converged(self) -> bool:
        """Return whether every running peer sees exactly the running peers."""
        up = {peer.name for peer in self.peers if peer.is_alive}
        return all(peer.members == up for peer in self.peers if peer.is_alive)
