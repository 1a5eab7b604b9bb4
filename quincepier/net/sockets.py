"""Sockets of the front: non-blocking, counted against the descriptor limit."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket

from quincepier.checks import Checks

RESERVED_DESCRIPTORS = (
    24  # descriptors of the loop, the listener, the log and the like (11), and of those about to close
)


# What a connect fails with for want of the front's own, or of its machine's: it says nothing of the server.
RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
LOCAL_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH}
# What a read or write fails with for a moment: the connection is as it was.
TRANSIENT_ERRORS = frozenset((errno.ENOBUFS, errno.ENOMEM))
TRANSIENT_ERROR_PAUSE_S = 0.005  # seconds until it is tried again
LISTEN_TIMEOUT_S = 10.0  # seconds; a front is to be ready within 30
UNREACHABLE_ERRORS = frozenset((errno.EHOSTUNREACH, errno.EHOSTDOWN))  # of a connect: nobody is there
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = (
    0.01,
    0.16,
)  # seconds until such a connect is tried again, doubled each time
NO_BUFFER_PAUSE_S = (
    0.005  # seconds between looks for a buffer to read into, where even the reserve is used up
)


class Descriptors:
    """The front's own account of its sockets: half for clients, the rest for caches and the change log."""

    def __init__(self, limit: int) -> None:
        usable = max(limit - RESERVED_DESCRIPTORS, 8)
        self.max_clients = usable // 2
        self.max_caches = usable - self.max_clients
        self.clients = self.caches = self.lingering = self.peak = 0

    def add_clients(self, by: int) -> None:
        self.clients += by
        self._update_peak()

    def add_caches(self, by: int) -> None:
        self.caches += by
        self._update_peak()

    def add_lingering(self, by: int) -> None:
        """Clients' sockets that were closed for writing and are read to their end."""
        self.lingering += by
        self._update_peak()

    def _update_peak(self) -> None:
        self.peak = max(self.peak, self.clients + self.caches + self.lingering)


def make_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


def set_no_delay(sock: socket.socket) -> None:
    """Hold no small write back; a socket on which that can't be set is of use all the same."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def listen(address: tuple[str, int], backlog: int = 1024) -> socket.socket:
    sock = make_socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


async def listen_with_retries(address: tuple[str, int], checks: Checks) -> socket.socket:
    """A listening socket; tried again where none can be had for a moment, else OSError."""
    loop = asyncio.get_running_loop()
    until, pause = loop.time() + LISTEN_TIMEOUT_S, MIN_RETRY_PAUSE_S
    while True:
        try:
            return listen(address)
        except OSError as error:
            if error.errno not in RESOURCE_ERRORS or loop.time() + pause >= until:
                raise
        checks.count("listens_retried_local_resources")
        await asyncio.sleep(pause)
        pause = min(2 * pause, MAX_RETRY_PAUSE_S)


async def connect(address: tuple[str, int], timeout: float, checks: Checks) -> socket.socket:
    """A connected socket; OSError where it is refused or not up in time.

    What fails for want of the front's own is tried again within that time.
    """
    loop = asyncio.get_running_loop()
    until, pause = loop.time() + timeout, MIN_RETRY_PAUSE_S
    while True:
        try:
            return await _connect_once(address, until - loop.time())
        except OSError as error:
            if error.errno not in LOCAL_ERRORS or loop.time() + pause >= until:
                raise
        checks.count("connects_retried_local_resources")
        await asyncio.sleep(pause)
        pause = min(2 * pause, MAX_RETRY_PAUSE_S)


async def _connect_once(address: tuple[str, int], timeout: float) -> socket.socket:
    sock = make_socket()
    try:
        await connect_with_timeout(sock, address, timeout)
    except BaseException:
        sock.close()
        raise
    return sock


async def connect_with_timeout(sock: socket.socket, address: object, timeout: float) -> None:
    """Connect it; OSError where it is refused, TimeoutError where it is not up after so many seconds.

    After a standstill of the front the time is up before the loop has told of a connection that came up
    meanwhile, so the system has the last word.
    """
    try:
        async with asyncio.timeout(timeout):
            await asyncio.get_running_loop().sock_connect(sock, address)  # type: ignore[arg-type]
    except TimeoutError:
        try:
            sock.getpeername()
        except OSError:
            raise TimeoutError from None
    set_no_delay(sock)


def is_transient(error: OSError) -> bool:
    """Whether a read or write that failed so is to be tried again on the same connection."""
    return error.errno in TRANSIENT_ERRORS


def resolve(waiter: asyncio.Future[None] | None) -> bool:
    """Wake who waits; whether anyone did."""
    if waiter is None or waiter.done():
        return False
    waiter.set_result(None)
    return True


async def wait_until_writable(sock: socket.socket) -> None:
    """Wait until a socket takes bytes again."""
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[None] = loop.create_future()
    loop.add_writer(sock, resolve, ready)
    try:
        await ready
    finally:
        loop.remove_writer(sock)


async def send_all(sock: socket.socket, data: bytes | memoryview) -> None:
    """Send all of it; OSError where the connection is broken. `sock_sendall` ends at momentary errors too."""
    left = memoryview(data)
    while left:
        try:
            left = left[sock.send(left) :]
        except (BlockingIOError, InterruptedError):
            await wait_until_writable(sock)
        except OSError as error:
            if not is_transient(error):
                raise
            await asyncio.sleep(TRANSIENT_ERROR_PAUSE_S)


def close_at_once(sock: socket.socket) -> None:
    """Close a socket now, of which the loop may have a reader; else it stays open until that one is gone."""
    asyncio.get_running_loop().remove_reader(sock)
    sock.close()


def shutdown_and_close(sock: socket.socket) -> None:
    """Close a socket so that its peer sees the end in this turn of the loop.

    The loop may hold the descriptor of a closed socket until its next turn; a shutdown does not wait.
    """
    with contextlib.suppress(OSError):  # it was broken before
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


class ConnectFailedError(OSError):
    """No address of a machine came up; `absent` where each of them said that nobody is there."""

    def __init__(self, absent: bool, why: str) -> None:
        super().__init__(why)
        self.is_absent = absent
