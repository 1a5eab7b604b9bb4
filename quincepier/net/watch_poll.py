"""One long poll of the change log: a GET over its connection, and the answer's body."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import httptools

from quincepier.net.means import Means
from quincepier.net.sockets import connect
from quincepier.wire.errors import ProtocolError

MAX_ANSWER = 8 * 1024 * 1024  # bytes
MAX_LIFETIME = 7.0  # seconds; by then what the log had to tell counts as told whether it came or not
LATE_READS = 64  # past that time, of what lay in the socket as the process stood still


class Response:
    """What httptools tells of one answer."""

    def __init__(self) -> None:
        self.body, self.status, self.kept = bytearray(), 0, False
        self.parser = httptools.HttpResponseParser(self)

    @property
    def whole(self) -> bool:
        """Whether it is there to its end; answers of 1xx come before it (RFC 9110, section 15.2)."""
        return self.status >= 200

    def on_body(self, data: bytes) -> None:
        """Take a part of its body; not of one that came a second time, right behind the first."""
        if not self.whole:
            self.body += data
            if len(self.body) > MAX_ANSWER:
                raise ProtocolError(f"an answer over {MAX_ANSWER} bytes")

    def on_message_complete(self) -> None:
        """Take its status; llhttp forgets right after whether its connection is kept."""
        if not self.whole:
            self.status = self.parser.get_status_code()
            self.kept = self.parser.should_keep_alive()


class Poll:
    """One poll, over a connection that was kept from an earlier one or over one of its own.

    Args:
        means: Configuration, counters and descriptors.
        view: What is read goes through here, for a moment; polls share it.
        kept: A connection to ask over; None: a new one is made.
        due: When to ask, by the loop's clock in seconds; 0: at once.
        target: The path and query to ask for, as it is in the moment of asking.

    Attributes:
        began: When it was due; what has not come up or answered for long since is overdue.
        asked: When it was asked; None: it has not been yet.
        was_kept: Its connection was kept, and has told nothing since.
        has_heard: Something of its answer has come.
        keeps: Its connection can be kept for the next poll.
    """

    def __init__(
        self,
        means: Means,
        view: memoryview,
        kept: socket.socket | None,
        due: float,
        target: Callable[[], str],
    ) -> None:
        self.means, self.view, self.sock, self.target = means, view, kept, target
        self.began = max(asyncio.get_running_loop().time(), due)
        self.asked: float | None = None
        self.was_kept, self.has_heard, self.keeps = kept is not None, False, False
        self.task: asyncio.Task[bytes] = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> bytes:
        """Return the answer's body; raises OSError, TimeoutError or ProtocolError where there is none."""
        loop = asyncio.get_running_loop()
        if self.began > loop.time():
            await asyncio.sleep(self.began - loop.time())
        until = loop.time() + MAX_LIFETIME
        host, port = self.means.config.changelog
        if self.sock is None:
            self.sock = await connect((host, port), MAX_LIFETIME, self.means.checks)
            self.means.descriptors.add_caches(1)
        self.asked = loop.time()
        ask = f"GET {self.target()} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        async with asyncio.timeout_at(until):
            await loop.sock_sendall(self.sock, ask.encode())
        response = await self._read(self.sock, until)
        if response.status != 200:
            raise ProtocolError(f"an answer of status {response.status}")
        self.keeps = response.kept
        return bytes(response.body)

    async def _read(self, sock: socket.socket, until: float) -> Response:
        response, late = Response(), 0
        while not response.whole:
            late += not await self._readable(sock, until)
            try:
                size = sock.recv_into(self.view)
            except BlockingIOError:
                size = -1
            if late > LATE_READS or (late and size < 0):
                raise TimeoutError
            if size == 0:
                raise ConnectionResetError("the connection ends inside an answer")
            if size > 0:
                self.was_kept, self.has_heard = False, True
                response.parser.feed_data(self.view[:size])
        return response

    async def _readable(self, sock: socket.socket, until: float) -> bool:
        """Wait until there is something to read; False once it is that time of the loop."""
        loop, ready = asyncio.get_running_loop(), asyncio.Event()
        loop.add_reader(sock, ready.set)
        try:
            async with asyncio.timeout_at(until):
                await ready.wait()
        except TimeoutError:
            return False
        finally:
            loop.remove_reader(sock)
        return True

    def take_connection(self) -> socket.socket | None:
        """Its connection for the next poll; it is not its own any more."""
        sock, self.sock = self.sock, None
        return sock

    def close(self) -> None:
        """End it and its connection."""
        self.task.cancel()
        if (sock := self.take_connection()) is not None:
            sock.close()
            self.means.descriptors.add_caches(-1)
