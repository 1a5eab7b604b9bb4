"""Non-blocking sockets: the descriptor limit, connecting, listening, sending and closing."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import select
import socket
from collections.abc import Callable

from quincepier.checks import Checks

# Descriptors that are not available for connections: the event loop, the listener, the log and others use 11,
# and sockets that are about to close need some.
RESERVED_DESCRIPTORS = 24

# Errors of a connect that are caused by this process or its machine and say nothing about the server.
RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
LOCAL_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH}
# Errors of a read or write that leave the connection intact.
TRANSIENT_ERRORS = frozenset((errno.ENOBUFS, errno.ENOMEM))
TRANSIENT_ERROR_PAUSE_S = 0.005  # until the read or write is retried
LISTEN_TIMEOUT_S = 10.0  # a front must be ready within 30 s
# Errors of a connect that show that the machine is not there.
UNREACHABLE_ERRORS = frozenset((errno.EHOSTUNREACH, errno.EHOSTDOWN))
# Pause before a connect or listen that failed with a local error is retried; doubled each time.
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.01, 0.16
NO_BUFFER_PAUSE_S = 0.005  # between tries to get a read buffer while even the reserve is used up


class Descriptors:
    """Counts open sockets against the limit: half for clients, the rest for caches and the change log.

    Args:
        limit: Descriptors that the process may have open.
        max_outbound: Limit on sockets to caches, the change log and other fronts; None: half of the
            descriptors.

    Attributes:
        max_clients: Limit on connections of clients.
        max_outbound: Limit on sockets to caches, the change log and other fronts.
        clients: Connections of clients that are open.
        outbound: Sockets to caches, the change log and other fronts that are open.
        lingering: Clients' sockets that are closed for writing and still read, see `add_lingering`.
        peak: The largest sum of these so far.
    """

    def __init__(self, limit: int, max_outbound: int | None = None) -> None:
        usable = max(limit - RESERVED_DESCRIPTORS, 8)
        self.max_clients = usable // 2
        remaining = usable - self.max_clients
        self.max_outbound = remaining if max_outbound is None else min(remaining, max_outbound)
        self.clients = self.outbound = self.lingering = self.peak = 0

    def add_clients(self, by: int) -> None:
        """Add to the number of open client connections."""
        self.clients += by
        self._update_peak()

    def add_outbound(self, by: int) -> None:
        """Add to the number of open sockets to caches, the change log and other fronts."""
        self.outbound += by
        self._update_peak()

    def add_lingering(self, by: int) -> None:
        """Add to the number of clients' sockets that are closed for writing and still read."""
        self.lingering += by
        self._update_peak()

    def _update_peak(self) -> None:
        self.peak = max(self.peak, self.clients + self.outbound + self.lingering)


def make_socket() -> socket.socket:
    """Return a new non-blocking IPv4 TCP socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


def set_no_delay(sock: socket.socket) -> None:
    """Turn off Nagle's algorithm; a socket on which that fails can be used all the same."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def listen(address: tuple[str, int], backlog: int = 1024) -> socket.socket:
    """Return a socket that listens at an address; OSError if that fails."""
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
    """Return a listening socket; retried while resources are short, for LISTEN_TIMEOUT_S; else OSError."""
    loop = asyncio.get_running_loop()
    retry_until, pause = loop.time() + LISTEN_TIMEOUT_S, MIN_RETRY_PAUSE_S
    while True:
        try:
            return listen(address)
        except OSError as error:
            if error.errno not in RESOURCE_ERRORS or loop.time() + pause >= retry_until:
                raise
        checks.count("listens_retried_local_resources")
        await asyncio.sleep(pause)
        pause = min(2 * pause, MAX_RETRY_PAUSE_S)


async def connect(address: tuple[str, int], timeout: float, checks: Checks) -> socket.socket:
    """Return a socket connected within `timeout` seconds; OSError if it is refused or times out.

    A connect that fails with a local error is retried until then.
    """
    loop = asyncio.get_running_loop()
    retry_until, pause = loop.time() + timeout, MIN_RETRY_PAUSE_S
    while True:
        try:
            return await _connect_once(address, retry_until - loop.time())
        except OSError as error:
            if error.errno not in LOCAL_ERRORS or loop.time() + pause >= retry_until:
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
    """Connect a socket; OSError if refused, TimeoutError after `timeout` seconds.

    After a pause of this process the timeout may expire before the event loop has seen that the connection
    was established, so the state of the socket decides.
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
    """Whether a read or write that failed with this error is retried on the same connection."""
    return error.errno in TRANSIENT_ERRORS


def resolve(waiter: asyncio.Future[None] | None) -> bool:
    """Resolve a future. Return whether there was one that was not resolved yet."""
    if waiter is None or waiter.done():
        return False
    waiter.set_result(None)
    return True


def is_readable(sock: socket.socket) -> bool:
    """Whether a socket has bytes to read or the end of its stream, or fails at once."""
    return _is_ready(sock, select.POLLIN)


def is_writable(sock: socket.socket) -> bool:
    """Whether a socket takes bytes now, or fails at once."""
    return _is_ready(sock, select.POLLOUT)


def _is_ready(sock: socket.socket, events: int) -> bool:
    poll = select.poll()
    poll.register(sock, events)
    return bool(poll.poll(0))


async def wait_until_writable(sock: socket.socket) -> None:
    """Wait until a socket can be written to."""
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[None] = loop.create_future()
    loop.add_writer(sock, resolve, ready)
    try:
        await ready
    finally:
        loop.remove_writer(sock)


async def send_all(
    sock: socket.socket, data: bytes | memoryview, on_sent: Callable[[], None] = lambda: None
) -> None:
    """Send all of `data`; OSError if the connection is broken.

    Unlike the loop's `sock_sendall` it retries after transient errors. It calls `on_sent` whenever the socket
    has taken some bytes.
    """
    unsent = memoryview(data)
    while unsent:
        try:
            unsent = unsent[sock.send(unsent) :]
            on_sent()
        except (BlockingIOError, InterruptedError):
            await wait_until_writable(sock)
        except OSError as error:
            if not is_transient(error):
                raise
            await asyncio.sleep(TRANSIENT_ERROR_PAUSE_S)


def close_at_once(sock: socket.socket) -> None:
    """Close a socket that the event loop may watch for reading.

    With a reader registered, the descriptor would stay open until the reader is removed.
    """
    asyncio.get_running_loop().remove_reader(sock)
    sock.close()


def shutdown_and_close(sock: socket.socket) -> None:
    """Close a socket so that its peer sees the end of the stream at once.

    The event loop may hold the descriptor of a closed socket until its next turn; a shutdown takes effect
    immediately.
    """
    with contextlib.suppress(OSError):  # the connection was broken already
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


class ConnectFailedError(OSError):
    """No address of a machine could be connected to.

    Attributes:
        is_absent: The failure at each address shows that the machine is not there.
    """

    def __init__(self, is_absent: bool, reason: str) -> None:
        super().__init__(reason)
        self.is_absent = is_absent
