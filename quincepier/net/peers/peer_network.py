"""The network to the other fronts: membership over UDP, frames on numbered channels over TCP streams."""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections.abc import Callable, Mapping, Sequence

from loguru import logger

from quincepier import clock
from quincepier.checks import Checks
from quincepier.config import FrontConfig
from quincepier.membership import (
    Action,
    DuplicateMember,
    FailureDetector,
    MemberState,
    ProbeIntervals,
    SendDatagram,
    StartStateSync,
    ViewChanged,
)
from quincepier.membership.section import MembersSection
from quincepier.net.actor_dependencies import ActorDependencies
from quincepier.net.peers import state_sync
from quincepier.net.peers.address_book import Address, AddressBook
from quincepier.net.peers.datagram_socket import DatagramSocket
from quincepier.net.peers.detector_actor import DetectorActor
from quincepier.net.peers.frames import CHANNEL_COUNT, PeersError
from quincepier.net.peers.state_sync import StateSync
from quincepier.net.peers.stream_pool import SWEEP_INTERVAL_S, StreamPool
from quincepier.net.sockets import Descriptors

MAX_LOGGED_NAMES = 100
OWN_SOCKETS = 2  # the UDP socket and the TCP listener
INCARNATION_RANDOM_BITS = 10  # below the Unix milliseconds, to distinguish two starts within one millisecond


class PeerNetwork:
    """Membership of this front and its streams to the others; no socket is open before `start`.

    Args:
        fleet: The fleet's name.
        name: This front's name.
        listen_address: The address on which this front listens.
        checks: Counters and log events.
        descriptors: Counts open sockets.
        seed: Seed of the random number generator.
        announced_address: The address at which others reach this front; `listen_address` if None.
        addresses: Addresses at which this front reaches the others, by name.
        seeds: Further addresses that are contacted to join the fleet.
        intervals: Intervals and limits of the failure detector; the defaults if None.

    Attributes:
        name: This front's name.
        listen_address: The address on which it listens, for UDP and TCP.
        intervals: Intervals and limits of the failure detector.
        checks: Counters and log events.
        streams: The streams to the others.
        view: The members' names, sorted, including this front's own.
    """

    def __init__(
        self,
        fleet: str,
        name: str,
        listen_address: Address,
        checks: Checks,
        descriptors: Descriptors,
        seed: int,
        *,
        announced_address: Address | None = None,
        addresses: Mapping[str, Address] | None = None,
        seeds: Sequence[Address] = (),
        intervals: ProbeIntervals | None = None,
    ) -> None:
        self.name = name
        self.listen_address = listen_address
        self.intervals = intervals or ProbeIntervals()
        self.checks = checks
        self.view: tuple[str, ...] = (name,)
        self._fleet = fleet
        self._announced_address = announced_address or listen_address
        self._descriptors = descriptors
        self._rng = random.Random(f"{seed} peers")
        self._detector = DetectorActor(self.intervals, self._perform, checks)
        self._addresses = AddressBook(name, addresses or {}, self._detector)
        self._seeds = list(dict.fromkeys((*seeds, *self._addresses.addresses())))
        self._socket = DatagramSocket(self._detector.on_datagram, checks)
        self.streams = StreamPool(
            fleet, name, self._addresses.address_of, self._on_frame, checks, descriptors, self._rng
        )
        self._state_sync = StateSync(self._detector, self._addresses, self.streams, checks)
        self._frame_handlers: dict[int, Callable[[str, bytes], None]] = {
            state_sync.CHANNEL: self._state_sync.on_frame
        }
        self._view_listeners: list[Callable[[ViewChanged], None]] = []
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    @classmethod
    def from_section(
        cls, section: MembersSection, config: FrontConfig, dependencies: ActorDependencies
    ) -> PeerNetwork:
        """Creates the network from the section `members` of the operators' file.

        Raises:
            PeersError: The section has no endpoint for a front of this name.
        """
        listen = section.listen_endpoint(config.name)
        announced = section.announced_endpoint(config.name)
        if listen is None or announced is None:
            raise PeersError(
                f"no endpoint for a front named {config.name!r}", "members.fronts", "add a line, or `listen`"
            )
        return cls(
            section.fleet,
            config.name,
            listen.address,
            dependencies.checks,
            dependencies.descriptors,
            config.seed,
            announced_address=announced.address,
            addresses={name: endpoint.address for name, endpoint in section.fronts.items()},
            seeds=[endpoint.address for endpoint in section.seeds],
        )

    async def start(self) -> None:
        """Opens the sockets and joins the fleet.

        Raises:
            PeersError: The listen address can't be bound.
        """
        await self._open_sockets()
        now_ns = clock.now()
        self._detector.start(self._make_detector(now_ns), now_ns)
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def leave(self) -> None:
        """Announces that this front leaves and closes; data already written to streams is still sent."""
        if not self._detector.is_running:
            return
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self._detector.leave()
        self.streams.close()
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(0)  # lets the loop send the datagrams before the socket closes
        self._socket.close()
        self._descriptors.add_outbound(-OWN_SOCKETS)

    def add_view_listener(self, listener: Callable[[ViewChanged], None]) -> None:
        """Registers a function that is called with each view change, after `view` was updated."""
        self._view_listeners.append(listener)

    def register_channel(self, channel: int, on_frame: Callable[[str, bytes], None]) -> None:
        """Registers a function that is called with the sender's name and the data of each frame of a channel.

        Args:
            channel: The channel's number, 1 to 255.
            on_frame: The function.

        Raises:
            PeersError: The channel is already registered or out of range.
        """
        if not state_sync.CHANNEL < channel < CHANNEL_COUNT or channel in self._frame_handlers:
            raise PeersError(f"channel {channel} is already registered or out of range")
        self._frame_handlers[channel] = on_frame

    def send(self, name: str, channel: int, data: bytes) -> bool:
        """Sends a frame of at most 2 MiB; it is delivered at most once, in order with others of its stream.

        Returns:
            False if the frame was dropped because the peer can't be reached or its queue is full. True does
            not guarantee delivery.
        """
        return self.streams.send(name, channel, data)

    def add_address(self, name: str, address: Address) -> None:
        """Adds the address of a front, which need not be in the view."""
        self._addresses.add(name, address)

    def recently_dead(self, max_age_ns: int) -> frozenset[str]:
        """Returns the members declared dead at most `max_age_ns` ago; members that left are not included."""
        now_ns = clock.now()
        return frozenset(
            record.name
            for record in self._detector.records()
            if record.state is MemberState.DEAD and now_ns - record.since_ns <= max_age_ns
        )

    def departed_members(self) -> list[str]:
        """Returns the members that announced their leave."""
        return [record.name for record in self._detector.records() if record.state is MemberState.LEFT]

    async def _open_sockets(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await self._socket.open(self.listen_address)
            self._server = await loop.create_server(
                self.streams.accept, *self.listen_address, reuse_address=True
            )
        except OSError as error:
            self._socket.close()
            reason = os.strerror(error.errno or 0)
            raise PeersError(
                f"can't listen: {reason}", self._listen_text, "find the process that uses this address"
            ) from None
        self._descriptors.add_outbound(OWN_SOCKETS)
        logger.bind(
            event="member_listening", fleet=self._fleet, name=self.name, address=self._listen_text
        ).info("member {} of fleet {} listens on {}", self.name, self._fleet, self._listen_text)

    @property
    def _listen_text(self) -> str:
        return f"{self.listen_address[0]}:{self.listen_address[1]}"

    def _make_detector(self, now_ns: int) -> FailureDetector:
        unix_ms = time.time_ns() // clock.MS
        random_bits = self._rng.getrandbits(INCARNATION_RANDOM_BITS)
        return FailureDetector(
            self._fleet,
            self.name,
            self._announced_address,
            unix_ms << INCARNATION_RANDOM_BITS | random_bits,
            now_ns,
            self._rng.getrandbits(32),
            self._seeds,
            self.intervals,
        )

    def _perform(self, action: Action) -> None:
        match action:
            case SendDatagram(address, data):
                self._socket.send(data, self._addresses.route_to(address))
            case StartStateSync(address):
                self._state_sync.start(address)
            case ViewChanged():
                self._on_view_changed(action)
            case DuplicateMember(address):
                self.checks.event("duplicate_member", f"at {address[0]}:{address[1]}")

    def _on_view_changed(self, change: ViewChanged) -> None:
        self.view = change.members
        joined = ", ".join(change.joined[:MAX_LOGGED_NAMES]) or "nobody"
        removed = ", ".join(change.removed[:MAX_LOGGED_NAMES]) or "nobody"
        logger.bind(event="view_changed", members=len(change.members), joined=joined, removed=removed).info(
            "view of {} members: joined {}, removed {}", len(change.members), joined, removed
        )
        self.checks.count("view_changes")
        for listener in self._view_listeners:
            try:
                listener(change)
            except Exception as error:  # noqa: BLE001 - a listener's defect must not stop the others
                self._log_defect(error)

    def _on_frame(self, sender: str, channel: int, data: bytes) -> None:
        handler = self._frame_handlers.get(channel)
        if handler is None:
            self.checks.count("peer_frames_without_channel")
            return
        try:
            handler(sender, data)
        except Exception as error:  # noqa: BLE001 - a handler's defect must not end the stream
            self._log_defect(error)

    def _sweep(self) -> None:
        try:
            self.streams.sweep()
        except Exception as error:  # noqa: BLE001 - a defect must not end the sweeps
            self._log_defect(error)
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _log_defect(self, error: Exception) -> None:
        self.checks.exception("peer_network_exception", error)
