"""One front among the others: its detector on a socket and a clock, and its streams.

The announced address of a front is one and the same for all; where this front reaches another in a way of its
own (`book`), the address is exchanged for that one on the way out, and nowhere else.
"""

from __future__ import annotations

import asyncio
import ipaddress
import os
import random
import socket
import time
from collections.abc import Callable, Mapping, Sequence
from functools import lru_cache

from loguru import logger

from quincepier import clock
from quincepier.checks import Checks
from quincepier.config import FrontConfig
from quincepier.membership import (
    DuplicateMember,
    FailureDetector,
    ProbeIntervals,
    SendDatagram,
    StartStateSync,
    ViewChanged,
)
from quincepier.membership.failure_detector import Action
from quincepier.membership.member_table import MemberState
from quincepier.membership.section import MembersSection
from quincepier.net.means import Means
from quincepier.net.peers.frames import CHANNELS, PeersError
from quincepier.net.peers.stream_pool import SWEEP, Address, StreamPool
from quincepier.net.sockets import Descriptors

TURN_LEAST = 5 * clock.MS  # between turns of the detector
NAMES_TOLD = 100  # in a log line
WHOLE = 0  # the channel of whole views
ASKS, ANSWERS = b"?", b"="  # first byte of a whole view: give me yours; here is mine
KNOWN_MOST = 4096
BUFFER = 1 << 20  # bytes of datagrams that may wait while this front stands still


@lru_cache(KNOWN_MOST)
def is_ip(host: str) -> bool:
    """What others announce may be any text; a name would be looked up, and that holds the loop."""
    try:
        return bool(ipaddress.ip_address(host))
    except ValueError:
        return False


class DatagramSocket(asyncio.DatagramProtocol):
    def __init__(self, peers: PeerNetwork) -> None:
        self.peers = peers

    def datagram_received(self, data: bytes, address: object) -> None:
        self.peers.heard(data)

    def error_received(self, error: Exception) -> None:
        self.peers.checks.count("peers: datagrams not sent")


class PeerNetwork:
    """`view`: the members' names in order, this front's own among them."""

    def __init__(
        self,
        fleet: str,
        name: str,
        listen: Address,
        checks: Checks,
        descriptors: Descriptors,
        seed: int,
        *,
        announce: Address | None = None,
        book: Mapping[str, Address] | None = None,
        seeds: Sequence[Address] = (),
        pace: ProbeIntervals | None = None,
    ) -> None:
        """`announce`: where others find it, if not at `listen`. `book`: where this front finds others."""
        self.fleet, self.name, self.listen, self.checks = fleet, name, listen, checks
        self.announce, self.book = announce or listen, {k: v for k, v in (book or {}).items() if k != name}
        self.names = {address: other for other, address in self.book.items()}
        self.seeds = list(dict.fromkeys((*seeds, *self.book.values())))
        self.pace, self.random = pace or ProbeIntervals(), random.Random(f"{seed} peers")
        self.view: tuple[str, ...] = (name,)
        self.at: dict[Address, str] = {}  # whose announced address it is
        self.hears: dict[int, Callable[[str, bytes], None]] = {WHOLE: self._whole}
        self.viewers: list[Callable[[ViewChanged], None]] = []
        self.lines = StreamPool(fleet, name, self.address, self._framed, checks, descriptors, self.random)
        self.detector: FailureDetector | None = None
        self.server: asyncio.Server | None = None
        self.datagrams: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.turned = clock.now()
        self.sweeping: asyncio.TimerHandle | None = None
        self.descriptors = descriptors

    @classmethod
    def told(cls, section: MembersSection, config: FrontConfig, means: Means) -> PeerNetwork:
        """As the operators' file says; PeersError where that has no place for a front of this name."""
        listen, announce = section.listens_at(config.name), section.announces(config.name)
        if listen is None or announce is None:
            raise PeersError(
                f"no place for a front named {config.name!r}", "members.fronts", "add a line, or `listen`"
            )
        return cls(
            section.fleet,
            config.name,
            listen.address,
            means.checks,
            means.descriptors,
            config.seed,
            announce=announce.address,
            book={name: place.address for name, place in section.fronts.items()},
            seeds=[place.address for place in section.seeds],
        )

    # For those who use it

    def on_view(self, call: Callable[[ViewChanged], None]) -> None:
        """Called with each change of the view, after `view` is the new one."""
        self.viewers.append(call)

    def channel(self, number: int, hear: Callable[[str, bytes], None]) -> None:
        """Who hears the frames of a channel, 1 to 255: called with the sender's name and the data."""
        if not WHOLE < number < CHANNELS or number in self.hears:
            raise PeersError(f"channel {number} is taken, or none")
        self.hears[number] = hear

    def send(self, name: str, number: int, data: bytes) -> bool:
        """At most once, in order on a stream. False: it is dropped, as the peer can't be reached or is full.

        True is no promise that it arrives. `data` of 2 MiB at most.
        """
        return self.lines.send(name, number, data)

    def know(self, name: str, address: Address) -> None:
        """Where one is found that need not be in the view."""
        if name != self.name and name not in self.book and len(self.book) < KNOWN_MOST:
            self.book[name], self.names[address] = address, name

    def address(self, name: str) -> Address | None:
        """Where this front reaches that one; None where it never heard of it."""
        if (known := self.book.get(name)) is not None:
            return known
        claim = self.detector.claims.get(name) if self.detector is not None else None
        return claim.address if claim is not None and is_ip(claim.address[0]) else None

    def silent(self, age: int) -> frozenset[str]:
        """Names of fronts that were put out of the view in the last `age` nanoseconds and did not leave."""
        claims, now = self.detector.claims.values() if self.detector is not None else (), clock.now()
        return frozenset(c.name for c in claims if c.standing is MemberState.GONE and now - c.since <= age)

    # Life

    async def start(self) -> None:
        """PeersError where the address can't be had."""
        loop = asyncio.get_running_loop()
        address = f"{self.listen[0]}:{self.listen[1]}"
        try:
            self.datagrams, _ = await loop.create_datagram_endpoint(lambda: DatagramSocket(self), self.listen)
            self.server = await loop.create_server(self.lines.accept, *self.listen, reuse_address=True)
        except OSError as error:
            if self.datagrams is not None:
                self.datagrams.close()
            why = os.strerror(error.errno or 0)
            raise PeersError(f"can't listen: {why}", address, "find the process that has it") from None
        self.descriptors.cache(2)
        now = clock.now()
        # greater at each start: Unix milliseconds, with chance for two starts within one
        number = time.time_ns() // clock.MS << 10 | self.random.getrandbits(10)
        self.detector = FailureDetector(
            self.fleet,
            self.name,
            self.announce,
            number,
            now,
            self.random.getrandbits(32),
            self.seeds,
            self.pace,
        )
        self.turned = now
        if (sock := self.datagrams.get_extra_info("socket")) is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        logger.bind(event="member listens", fleet=self.fleet, name=self.name, address=address).info(
            "member {} of fleet {} listens on {}", self.name, self.fleet, address
        )
        self._turn()
        self.sweeping = loop.call_later(SWEEP, self._sweep)

    async def leave(self) -> None:
        """Say so, and end. What was given to streams before still goes out."""
        detector = self.detector
        if detector is None or detector.left:
            return
        for handle in (self.timer, self.sweeping):
            if handle is not None:
                handle.cancel()
        try:
            for action in detector.leave(clock.now()):
                self._perform(action)
        except Exception as error:  # a defect: the drain goes on
            self._spoiled(error)
        self.detector = None
        self.lines.end()
        if self.server is not None:
            self.server.close()
        await asyncio.sleep(0)
        if self.datagrams is not None:
            self.datagrams.close()
        self.descriptors.cache(-2)

    # The detector

    def _turn(self) -> None:
        """One turn of the clock; sets the next."""
        detector = self.detector
        if detector is None:
            return
        try:
            now = self._tick(detector)
            wait = max(detector.wake - now, TURN_LEAST)
        except Exception as error:  # a defect: the next turn comes all the same
            self._spoiled(error)
            wait = self.pace.period
        self.timer = asyncio.get_running_loop().call_later(wait / clock.SECOND, self._turn)

    def _tick(self, detector: FailureDetector) -> int:
        now = self.turned = clock.now()
        for action in detector.tick(now):
            self._perform(action)
        return now

    def heard(self, data: bytes) -> None:
        detector = self.detector
        if detector is None:
            return
        try:
            if clock.now() - self.turned > self.pace.period + self.pace.late:
                self._tick(detector)  # this front stood still: that is known before what waited is heard
            bad = detector.bad
            for action in detector.heard(clock.now(), data):
                self._perform(action)
            if detector.bad != bad:
                self.checks.count("peers: datagrams not taken")
        except Exception as error:
            self._spoiled(error)

    def _spoiled(self, error: Exception) -> None:
        self.checks.event("exception among the peers", f"{type(error).__name__}: {error}")

    def _perform(self, action: Action) -> None:
        match action:
            case SendDatagram(address, data):
                self._say(data, self._way(address))
            case StartStateSync(address):
                self._exchange(address)
            case ViewChanged():
                self._viewed(action)
            case DuplicateMember(address):
                self.checks.event("another process has this front's name", f"at {address[0]}:{address[1]}")

    def _say(self, data: bytes, address: Address) -> None:
        try:
            if self.datagrams is not None and is_ip(address[0]):
                self.datagrams.sendto(data, address)
        except (OSError, ValueError, TypeError):  # of another family than the socket's, say
            self.checks.count("peers: datagrams not sent")

    def _whose(self, address: Address) -> str | None:
        """The name of who announced an address."""
        claims = self.detector.claims if self.detector is not None else {}
        name = self.at.get(address, "")
        if name not in claims or claims[name].address != address:
            self.at = {claim.address: claim.name for claim in claims.values()}
            name = self.at.get(address, "")
        return name or None

    def _way(self, address: Address) -> Address:
        name = self._whose(address) if self.book else None
        return self.book.get(name, address) if name is not None else address

    def _exchange(self, address: Address) -> None:
        if self.detector is None:
            return
        mine = ASKS + self.detector.whole(clock.now())
        name = self._whose(address) or self.names.get(address)
        if name is None and is_ip(address[0]):
            self.lines.ask(address, WHOLE, mine)
        elif name is None:
            self.checks.count("peers: datagrams not sent")
        else:
            self.lines.send(name, WHOLE, mine)

    def _whole(self, name: str, data: bytes) -> None:
        detector = self.detector
        if detector is None:
            return
        bad = detector.bad
        for action in detector.merge(clock.now(), data[1:]):
            self._perform(action)
        if detector.bad != bad:
            self.checks.count("peers: whole views not taken")
        if data[:1] == ASKS:
            self.lines.send(name, WHOLE, ANSWERS + detector.whole(clock.now()))

    def _viewed(self, viewed: ViewChanged) -> None:
        self.view = viewed.members
        came, went = (", ".join(names[:NAMES_TOLD]) or "nobody" for names in (viewed.came, viewed.went))
        told = logger.bind(event="view", members=len(viewed.members), came=came, went=went)
        told.info("view: {} members, came {}, went {}", len(viewed.members), came, went)
        self.checks.count("changes of the view")
        for call in self.viewers:
            try:
                call(viewed)
            except Exception as error:
                self._spoiled(error)

    # Streams

    def _framed(self, name: str, channel: int, data: bytes) -> None:
        hear = self.hears.get(channel)
        if hear is None:
            self.checks.count("peers: frames of no channel")
            return
        try:
            hear(name, data)
        except Exception as error:
            self._spoiled(error)

    def _sweep(self) -> None:
        try:
            self.lines.sweep()
        except Exception as error:
            self._spoiled(error)
        self.sweeping = asyncio.get_running_loop().call_later(SWEEP, self._sweep)
