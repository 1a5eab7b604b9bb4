"""The shell of the package `addresses`: dials, timers and sockets of races, and nothing decided.

One Dialer for the front, one Way for each machine. A Way gives connected sockets; which address each goes to,
when the next dial starts and who wins is told by `addresses.Races`.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable, Iterable

from quincepier import clock
from quincepier.addresses import (
    MAX_ADDRESSES,
    Address,
    AddressBook,
    AddressError,
    CancelDial,
    Cause,
    DialLimiter,
    Family,
    RaceLost,
    Races,
    RaceWon,
    ScheduleTick,
    StartDial,
    outcome_after_break,
    parse,
)
from quincepier.addresses.race import Action
from quincepier.addresses.section import AddressesSection
from quincepier.interface import AttemptOutcome
from quincepier.net.means import Means
from quincepier.net.sockets import ConnectFailedError, connect_with_timeout

CAUSE_BY_ERRNO = {
    errno.ECONNREFUSED: Cause.REFUSED,
    errno.ECONNRESET: Cause.RESET,
    errno.ECONNABORTED: Cause.RESET,
    errno.EPIPE: Cause.RESET,
    errno.ENETUNREACH: Cause.UNREACHABLE,
    errno.EHOSTUNREACH: Cause.UNREACHABLE,
    errno.ENETDOWN: Cause.UNREACHABLE,
    errno.EAFNOSUPPORT: Cause.UNREACHABLE,
    errno.ENOENT: Cause.MISSING,
    errno.ENOTDIR: Cause.MISSING,
    errno.ENOTSOCK: Cause.MISSING,
    errno.EPROTOTYPE: Cause.MISSING,
    errno.EACCES: Cause.FORBIDDEN,
    errno.EPERM: Cause.FORBIDDEN,
    errno.EMFILE: Cause.LOCAL_RESOURCES,
    errno.ENFILE: Cause.LOCAL_RESOURCES,
    errno.ENOBUFS: Cause.LOCAL_RESOURCES,
    errno.ENOMEM: Cause.LOCAL_RESOURCES,
    errno.EADDRNOTAVAIL: Cause.LOCAL_RESOURCES,  # no free port of our own
}
SOCKET_FAMILY_BY_FAMILY = {
    Family.UNIX: socket.AF_UNIX,
    Family.IP6: socket.AF_INET6,
    Family.IP4: socket.AF_INET,
}
BACKLOG_FULL_PAUSE_S = 0.002  # seconds until a Unix socket whose backlog is full is tried again


def cause_of(error: OSError) -> Cause:
    """What a failed dial showed; what has no word of its own counts as unreachable."""
    if isinstance(error, TimeoutError):
        return Cause.TIMED_OUT
    return CAUSE_BY_ERRNO.get(error.errno or 0, Cause.UNREACHABLE)


async def dial(address: Address, timeout: float) -> socket.socket:
    """A socket connected to the address; OSError where it is not, TimeoutError after so many seconds."""
    sock = socket.socket(SOCKET_FAMILY_BY_FAMILY[address.family], socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if address.family is Family.UNIX:
            async with asyncio.timeout(timeout):
                await _dial_unix(sock, address)
        else:
            await connect_with_timeout(sock, address.target, timeout)
    except BaseException:
        sock.close()
        raise
    return sock


async def _dial_unix(sock: socket.socket, address: Address) -> None:
    """A Unix socket is up at once or not at all.

    With a full backlog connect says EAGAIN, which event loops take for a dial under way and then, as its
    socket counts as writable, for one that is up: so it is asked again here.
    """
    while True:
        try:
            sock.connect(address.target)
            return
        except BlockingIOError:
            await asyncio.sleep(BACKLOG_FULL_PAUSE_S)


class Route:
    """The way to one machine: connections over whichever of its addresses is up first."""

    def __init__(self, dialer: Dialer, host: str, seed: int) -> None:
        self.dialer, self.host = dialer, host
        self.book = AddressBook(dialer.section.limits, dialer.preference, seed)
        self.races = Races(self.book, dialer.limiter, self)
        self.listed_addresses: tuple[str, ...] | None = None  # as the change log told them last
        self.waiter_by_race: dict[int, asyncio.Future[tuple[socket.socket, Address]]] = {}
        self.task_by_dial: dict[int, asyncio.Task[None]] = {}
        self.socket_by_dial: dict[int, socket.socket] = {}  # connected, for the winner of the turn
        self.tick_timer: asyncio.TimerHandle | None = None
        self.extra_dials = 0

    async def connect(self) -> tuple[socket.socket, Address]:
        """A connected socket and its address; raises ConnectFailedError where every address has failed."""
        number, actions = self.races.start(clock.now())
        won: asyncio.Future[tuple[socket.socket, Address]] = asyncio.get_running_loop().create_future()
        self.waiter_by_race[number] = won
        self.perform(actions)
        try:
            return await won
        except asyncio.CancelledError:
            if won.done() and not won.cancelled() and won.exception() is None:
                won.result()[0].close()
            raise
        finally:
            if self.waiter_by_race.pop(number, None) is not None:
                self.perform(self.races.cancel(number, clock.now()))

    def perform(self, actions: Iterable[Action]) -> None:
        loop = asyncio.get_running_loop()
        for action in actions:
            match action:
                case StartDial(_, number, address):
                    self.dialer.checks.count("dials")
                    self.task_by_dial[number] = loop.create_task(self._dial(number, address))
                case CancelDial(number):
                    self._cancel_dial(number)
                case RaceWon(race, number, address):
                    sock, future = self.socket_by_dial.pop(number), self.waiter_by_race.pop(race, None)
                    if future is None or future.done():
                        sock.close()
                    else:
                        future.set_result((sock, address))
                case RaceLost(race, absent, why):
                    future = self.waiter_by_race.pop(race, None)
                    if future is not None and not future.done():
                        future.set_exception(ConnectFailedError(absent, why))
                case ScheduleTick(at):
                    if self.tick_timer is not None:
                        self.tick_timer.cancel()
                    wait = max(at - clock.now(), 0) / clock.SECOND
                    self.tick_timer = loop.call_later(wait, self.tick)
        self._update_limits()

    def _update_limits(self) -> None:
        """Count descriptors of dials beside a race's first; room that is free goes to who waits longest."""
        extras = self.races.extra_dials
        if extras != self.extra_dials:
            self.dialer.means.descriptors.add_caches(extras - self.extra_dials)
            self.extra_dials = extras
        self.dialer.retry_waiting_routes()

    def tick(self) -> None:
        self.tick_timer = None
        self.perform(self.races.tick(clock.now()))

    async def _dial(self, number: int, address: Address) -> None:
        timeout = self.dialer.means.config.dial_timeout / clock.SECOND
        try:
            sock = await dial(address, timeout)
        except OSError as error:
            self._remove_task(number)
            cause = cause_of(error)
            self.dialer.checks.count(f"dials_failed_{cause.name.lower()}")
            self.perform(self.races.on_dial_failed(number, cause, clock.now()))
        except asyncio.CancelledError:
            raise
        except Exception as error:  # whatever it is, it ends this dial alone
            self._remove_task(number)
            self.dialer.checks.exception("exception_in_dial", error)
            self.perform(self.races.on_dial_failed(number, Cause.LOCAL_RESOURCES, clock.now()))
        else:
            self._remove_task(number)
            self.socket_by_dial[number] = sock
            self.perform(self.races.on_connected(number, clock.now()))
            if (left := self.socket_by_dial.pop(number, None)) is not None:
                left.close()

    def _remove_task(self, number: int) -> None:
        self.task_by_dial.pop(number, None)

    def _cancel_dial(self, number: int) -> None:
        if (task := self.task_by_dial.pop(number, None)) is not None:
            task.cancel()
        if (sock := self.socket_by_dial.pop(number, None)) is not None:
            sock.close()
        self.dialer.checks.count("dials_cancelled")

    # What connections show

    def replace_addresses(self, dials: tuple[str, ...]) -> set[Address]:
        """The list or the operators tell other addresses. Returns those that left."""
        self.listed_addresses = dials
        addresses = self.dialer.list_addresses(self.host, dials)
        left = self.book.replace_addresses(addresses)
        if not self.book.state_by_address:
            self.dialer.checks.event("endpoint_addresses_forbidden", self.host)
        if self.races.race_by_number:
            self.perform(self.races.on_addresses_replaced(clock.now()))
        return left

    def on_response(self, address: Address) -> None:
        self.book.on_response(address)

    def on_connection_failed(self, address: Address, up_at: int, why: str) -> None:
        """A connection ended, or stayed silent, before any answer came over it."""
        if self.book.on_failure(address, up_at, clock.now()):
            self.dialer.checks.event("address_backoff", f"{self.host} {address}: {why}")

    def outcome_after_break(
        self, begun: bool, absent: bool, recalled: bool, moves: int, most: int
    ) -> AttemptOutcome | None:
        """See `addresses.after_break`."""
        return outcome_after_break(begun, absent, recalled, moves, most)

    def is_backing_off(self, address: Address) -> bool:
        """Whether it rests while another does not."""
        now = clock.now()
        return self.book.is_backing_off(address, now) and self.book.has_alternative(address, now)

    def has_alternative(self, address: Address) -> bool:
        return self.book.has_alternative(address, clock.now())

    def close(self) -> None:
        """The machine is gone: nothing is dialled any more."""
        for number in list(self.races.race_by_number):
            self.perform(self.races.cancel(number, clock.now()))
            if (future := self.waiter_by_race.pop(number, None)) is not None:
                future.cancel()
        if self.tick_timer is not None:
            self.tick_timer.cancel()


class Dialer:
    """What the ways of all machines share: the operators' section, the account of dials, the descriptors."""

    def __init__(self, means: Means, section: AddressesSection, spare: Callable[[], bool]) -> None:
        self.means, self.checks = means, means.checks
        self.section, self.preference = section, section.preference
        self.limiter = DialLimiter(section.limits.max_dials, spare)
        self.route_by_number: dict[int, Route] = {}
        self.is_retrying = False

    def get_route(self, number: int, host: str) -> Route:
        """The way to a machine, kept until it is forgotten. Chance of each follows from the front's seed."""
        if number not in self.route_by_number:
            self.route_by_number[number] = Route(self, host, self.means.config.seed ^ number)
        return self.route_by_number[number]

    def remove_route(self, number: int) -> None:
        way = self.route_by_number.pop(number, None)
        if way is not None:
            way.close()
            self.limiter.waiting.pop(way, None)

    def configure(self, section: AddressesSection) -> None:
        """The operators' file was read again: from the next dial on; what is up stays."""
        self.section, self.preference = section, section.preference
        self.limiter.max_dials = section.limits.max_dials
        for way in self.route_by_number.values():
            way.book.limits, way.book.preference = section.limits, self.preference

    def list_addresses(self, host: str, dials: Iterable[str]) -> list[Address]:
        """Those of the change log first, then the operators'; at most so many."""
        found: dict[Address, None] = {}
        for text in dials:
            try:
                found[parse(text)] = None
            except AddressError as error:
                self.checks.event("endpoint_address_invalid", f"{host}: {error}")
        found.update(dict.fromkeys(self.section.machines.get(host, ())))
        if len(found) > MAX_ADDRESSES:
            self.checks.event("endpoint_addresses_over_limit", f"{host}: {MAX_ADDRESSES} are used")
        return list(found)[:MAX_ADDRESSES]

    def list_backoffs(self) -> Iterable[tuple[str, str, int, int]]:
        """Addresses that are set aside, with their host; see Book.aside."""
        now = clock.now()
        return [
            (way.host, *told) for way in self.route_by_number.values() for told in way.book.list_backoffs(now)
        ]

    def restore_backoffs(self, aside: Iterable[tuple[str, str, int, int]]) -> int:
        """Take those of an earlier start; how many still rest."""
        by_host: dict[str, list[tuple[str, int, int]]] = {}
        for host, address, failures, left in aside:
            by_host.setdefault(host, []).append((address, failures, left))
        now = clock.now()
        return sum(
            way.book.restore_backoffs(by_host.get(way.host, ()), now) for way in self.route_by_number.values()
        )

    def retry_waiting_routes(self) -> None:
        """Let machines look again that found no room in the account, each once a turn."""
        if self.is_retrying:
            return
        self.is_retrying = True
        try:
            for _ in range(len(self.limiter.waiting)):
                way = self.limiter.pop_waiting()
                if not isinstance(way, Route):
                    break
                way.perform(way.races.tick(clock.now()))
        finally:
            self.is_retrying = False


def validate_address(text: str) -> None:
    """For the change log's reader: raises ValueError where a text is no address of any kind."""
    parse(text)
