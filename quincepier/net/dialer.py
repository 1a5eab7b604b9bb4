"""Connects to machines that have several addresses: the sockets, tasks and timers behind `addresses.Races`.

There is one Dialer in a front and one Route for each machine. A Route returns connected sockets. `Races`
decides which address is dialled, when the next dial starts and which one wins.
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
from quincepier.net.actor_dependencies import ActorDependencies
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
    errno.EADDRNOTAVAIL: Cause.LOCAL_RESOURCES,  # no free local port
}
SOCKET_FAMILY_BY_FAMILY = {
    Family.UNIX: socket.AF_UNIX,
    Family.IP6: socket.AF_INET6,
    Family.IP4: socket.AF_INET,
}
BACKLOG_FULL_PAUSE_S = 0.002  # until the connect to a Unix socket with a full backlog is retried


def cause_of(error: OSError) -> Cause:
    """Return the cause of a failed dial; errors that are not listed count as unreachable."""
    if isinstance(error, TimeoutError):
        return Cause.TIMED_OUT
    return CAUSE_BY_ERRNO.get(error.errno or 0, Cause.UNREACHABLE)


async def dial(address: Address, timeout: float) -> socket.socket:
    """Return a socket connected to an address within `timeout` seconds; OSError if that fails."""
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
    """Connect a Unix socket, which succeeds or fails at once.

    With a full backlog, connect fails with EAGAIN. Event loops take that for a connect in progress and then,
    as the socket is writable, for an established connection. So this retries connect itself.
    """
    while True:
        try:
            sock.connect(address.target)
            return
        except BlockingIOError:
            await asyncio.sleep(BACKLOG_FULL_PAUSE_S)


class Route:
    """The addresses of one machine and their state; connects to whichever address answers first.

    Args:
        dialer: The front's dialer.
        host: The machine's id, for the log.
        seed: Seed of the random backoff times.

    Attributes:
        book: What is known about each address.
        races: The connection attempts in progress.
        listed_addresses: The addresses in the endpoint list, as last applied; None before that.
        waiter_by_race: Resolved with the socket of the winner, or ConnectFailedError.
        task_by_dial: Tasks of the dials in progress.
        socket_by_dial: Connected sockets, until `races` has decided what becomes of them.
        tick_timer: Calls `tick`.
        extra_dials: Dials that are counted in the descriptors besides the first one of each race.
    """

    def __init__(self, dialer: Dialer, host: str, seed: int) -> None:
        self.dialer, self.host = dialer, host
        self.book = AddressBook(dialer.section.limits, dialer.preference, seed)
        self.races = Races(self.book, dialer.limiter, self)
        self.listed_addresses: tuple[str, ...] | None = None
        self.waiter_by_race: dict[int, asyncio.Future[tuple[socket.socket, Address]]] = {}
        self.task_by_dial: dict[int, asyncio.Task[None]] = {}
        self.socket_by_dial: dict[int, socket.socket] = {}
        self.tick_timer: asyncio.TimerHandle | None = None
        self.extra_dials = 0

    async def connect(self) -> tuple[socket.socket, Address]:
        """Return a connected socket and its address; ConnectFailedError if every address has failed."""
        number, actions = self.races.start(clock.now())
        winner: asyncio.Future[tuple[socket.socket, Address]] = asyncio.get_running_loop().create_future()
        self.waiter_by_race[number] = winner
        self.perform(actions)
        try:
            return await winner
        except asyncio.CancelledError:
            if winner.done() and not winner.cancelled() and winner.exception() is None:
                winner.result()[0].close()
            raise
        finally:
            if self.waiter_by_race.pop(number, None) is not None:
                self.perform(self.races.cancel(number, clock.now()))

    def perform(self, actions: Iterable[Action]) -> None:
        """Perform the actions that `races` has decided on."""
        loop = asyncio.get_running_loop()
        for action in actions:
            match action:
                case StartDial(_, number, address):
                    self.dialer.checks.count("dials")
                    self.task_by_dial[number] = loop.create_task(self._dial(number, address))
                case CancelDial(number):
                    self._cancel_dial(number)
                case RaceWon(race, number, address):
                    sock, waiter = self.socket_by_dial.pop(number), self.waiter_by_race.pop(race, None)
                    if waiter is None or waiter.done():
                        sock.close()
                    else:
                        waiter.set_result((sock, address))
                case RaceLost(race, is_absent, reason):
                    waiter = self.waiter_by_race.pop(race, None)
                    if waiter is not None and not waiter.done():
                        waiter.set_exception(ConnectFailedError(is_absent, reason))
                case ScheduleTick(at):
                    if self.tick_timer is not None:
                        self.tick_timer.cancel()
                    wait = max(at - clock.now(), 0) / clock.SECOND
                    self.tick_timer = loop.call_later(wait, self.tick)
        self._update_limits()

    def _update_limits(self) -> None:
        """Count the descriptors of extra dials, and let routes retry that wait for the limit on dials."""
        extra_dials = self.races.extra_dials
        if extra_dials != self.extra_dials:
            self.dialer.dependencies.descriptors.add_outbound(extra_dials - self.extra_dials)
            self.extra_dials = extra_dials
        self.dialer.retry_waiting_routes()

    def tick(self) -> None:
        """Let `races` start or end dials whose time has come."""
        self.tick_timer = None
        self.perform(self.races.tick(clock.now()))

    async def _dial(self, number: int, address: Address) -> None:
        timeout = self.dialer.dependencies.config.dial_timeout / clock.SECOND
        try:
            sock = await dial(address, timeout)
        except OSError as error:
            self._remove_task(number)
            cause = cause_of(error)
            self.dialer.checks.count(f"dials_failed_{cause.name.lower()}")
            self.perform(self.races.on_dial_failed(number, cause, clock.now()))
        except asyncio.CancelledError:
            raise
        except Exception as error:  # any other error ends only this dial
            self._remove_task(number)
            self.dialer.checks.exception("exception_in_dial", error)
            self.perform(self.races.on_dial_failed(number, Cause.LOCAL_RESOURCES, clock.now()))
        else:
            self._remove_task(number)
            self.socket_by_dial[number] = sock
            self.perform(self.races.on_connected(number, clock.now()))
            if (unused := self.socket_by_dial.pop(number, None)) is not None:
                unused.close()

    def _remove_task(self, number: int) -> None:
        self.task_by_dial.pop(number, None)

    def _cancel_dial(self, number: int) -> None:
        if (task := self.task_by_dial.pop(number, None)) is not None:
            task.cancel()
        if (sock := self.socket_by_dial.pop(number, None)) is not None:
            sock.close()
        self.dialer.checks.count("dials_cancelled")

    # Events

    def replace_addresses(self, listed_addresses: tuple[str, ...]) -> set[Address]:
        """Use the addresses of the endpoint list and the operators' file. Return those that were removed."""
        self.listed_addresses = listed_addresses
        addresses = self.dialer.list_addresses(self.host, listed_addresses)
        removed = self.book.replace_addresses(addresses)
        if not self.book.state_by_address:
            self.dialer.checks.event("endpoint_addresses_forbidden", self.host)
        if self.races.race_by_number:
            self.perform(self.races.on_addresses_replaced(clock.now()))
        return removed

    def on_response(self, address: Address) -> None:
        """Note that a response arrived over an address: it works."""
        self.book.on_response(address)

    def on_connection_failed(self, address: Address, connected_at: int, reason: str) -> None:
        """Note that a connection, established at `connected_at` (ns), closed or stalled."""
        if self.book.on_failure(address, connected_at, clock.now()):
            self.dialer.checks.event("address_backoff", f"{self.host} {address}: {reason}")

    def outcome_after_break(
        self, is_started: bool, is_absent: bool, is_revoked: bool, moves: int, max_moves: int
    ) -> AttemptOutcome | None:
        """See `addresses.outcome_after_break`."""
        return outcome_after_break(is_started, is_absent, is_revoked, moves, max_moves)

    def is_backing_off(self, address: Address) -> bool:
        """Whether the address is in backoff and another one is not."""
        now = clock.now()
        return self.book.is_backing_off(address, now) and self.book.has_alternative(address, now)

    def has_alternative(self, address: Address) -> bool:
        """Whether the machine has another address that is not in backoff."""
        return self.book.has_alternative(address, clock.now())

    def close(self) -> None:
        """Cancel all dials: the machine is off the endpoint list."""
        for number in list(self.races.race_by_number):
            self.perform(self.races.cancel(number, clock.now()))
            if (waiter := self.waiter_by_race.pop(number, None)) is not None:
                waiter.cancel()
        if self.tick_timer is not None:
            self.tick_timer.cancel()


class Dialer:
    """What the routes of all machines share.

    Args:
        dependencies: What all actors of the front share.
        section: The section `addresses` of the operators' file.
        has_spare_descriptor: Returns whether another socket may be opened.

    Attributes:
        preference: Which addresses are preferred and which are forbidden.
        limiter: Limits the dials in progress of the whole front.
        route_by_number: The routes, by machine number.
        is_retrying: `retry_waiting_routes` is running.
    """

    def __init__(
        self,
        dependencies: ActorDependencies,
        section: AddressesSection,
        has_spare_descriptor: Callable[[], bool],
    ) -> None:
        self.dependencies, self.checks = dependencies, dependencies.checks
        self.section, self.preference = section, section.preference
        self.limiter = DialLimiter(section.limits.max_dials, has_spare_descriptor)
        self.route_by_number: dict[int, Route] = {}
        self.is_retrying = False

    def get_route(self, number: int, host: str) -> Route:
        """Return the route to a machine, created on first use; the front's seed determines its jitter."""
        if number not in self.route_by_number:
            self.route_by_number[number] = Route(self, host, self.dependencies.config.seed ^ number)
        return self.route_by_number[number]

    def remove_route(self, number: int) -> None:
        """Close the route to a machine."""
        route = self.route_by_number.pop(number, None)
        if route is not None:
            route.close()
            self.limiter.waiting.pop(route, None)

    def configure(self, section: AddressesSection) -> None:
        """Apply a new section from the next dial on; established connections stay."""
        self.section, self.preference = section, section.preference
        self.limiter.max_dials = section.limits.max_dials
        for route in self.route_by_number.values():
            route.book.limits, route.book.preference = section.limits, self.preference

    def list_addresses(self, host: str, listed_addresses: Iterable[str]) -> list[Address]:
        """Return a machine's addresses, the change log's first; at most MAX_ADDRESSES."""
        addresses: dict[Address, None] = {}
        for text in listed_addresses:
            try:
                addresses[parse(text)] = None
            except AddressError as error:
                self.checks.event("endpoint_address_invalid", f"{host}: {error}")
        addresses.update(dict.fromkeys(self.section.machines.get(host, ())))
        if len(addresses) > MAX_ADDRESSES:
            self.checks.event("endpoint_addresses_over_limit", f"{host}: {MAX_ADDRESSES} are used")
        return list(addresses)[:MAX_ADDRESSES]

    def list_backoffs(self) -> Iterable[tuple[str, str, int, int]]:
        """Return the addresses in backoff, each with its host; see AddressBook.list_backoffs."""
        now = clock.now()
        return [
            (route.host, *backoff)
            for route in self.route_by_number.values()
            for backoff in route.book.list_backoffs(now)
        ]

    def restore_backoffs(self, backoffs: Iterable[tuple[str, str, int, int]]) -> int:
        """Restore the backoffs of an earlier run. Return how many addresses are in backoff now."""
        backoffs_by_host: dict[str, list[tuple[str, int, int]]] = {}
        for host, address, failures, remaining in backoffs:
            backoffs_by_host.setdefault(host, []).append((address, failures, remaining))
        now = clock.now()
        return sum(
            route.book.restore_backoffs(backoffs_by_host.get(route.host, ()), now)
            for route in self.route_by_number.values()
        )

    def retry_waiting_routes(self) -> None:
        """Let each route that waits for the limit on dials try again, once."""
        if self.is_retrying:
            return
        self.is_retrying = True
        try:
            for _ in range(len(self.limiter.waiting)):
                route = self.limiter.pop_waiting()
                if not isinstance(route, Route):
                    break
                route.perform(route.races.tick(clock.now()))
        finally:
            self.is_retrying = False


def validate_address(text: str) -> None:
    """Raise ValueError if a text is not an address of any kind; for the reader of the change log."""
    parse(text)
