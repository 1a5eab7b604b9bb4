"""One long poll of the change log: a GET request over its connection, and the body of the response."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import httptools

from quincepier.net.actor_dependencies import ActorDependencies
from quincepier.net.sockets import connect
from quincepier.wire.errors import ProtocolError

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# By then a front must have received the events, so a longer poll is of no use.
MAX_POLL_DURATION_S = 7.0
MAX_LATE_READS = 64  # reads after that time, for bytes that arrived during a process pause


class PollResponse:
    """Collects one HTTP response from httptools' callbacks.

    Attributes:
        body: The body received so far.
        status: HTTP status; 0 until the response is complete.
        keeps_alive: The server keeps the connection open after the response.
        parser: The parser that calls back.
    """

    def __init__(self) -> None:
        self.body, self.status, self.keeps_alive = bytearray(), 0, False
        self.parser = httptools.HttpResponseParser(self)

    @property
    def is_complete(self) -> bool:
        """Whether the final response is complete; 1xx responses may precede it (RFC 9110, section 15.2)."""
        return self.status >= 200

    def on_body(self, data: bytes) -> None:
        """Append bytes of the body; a second response right behind the first one is ignored."""
        if not self.is_complete:
            self.body += data
            if len(self.body) > MAX_RESPONSE_BYTES:
                raise ProtocolError(f"response over {MAX_RESPONSE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Read status and keep-alive now, as llhttp resets the latter right after this callback."""
        if not self.is_complete:
            self.status = self.parser.get_status_code()
            self.keeps_alive = self.parser.should_keep_alive()


class ChangeLogPoll:
    """One poll, over the connection of an earlier poll or a new one.

    Args:
        dependencies: Configuration, counters and descriptors.
        read_buffer: Holds received bytes until they are parsed; shared by all polls.
        idle_socket: A connection kept from an earlier poll; None to open a new one.
        due_s: When to send the request, by the loop's clock; 0 for at once.
        make_target: Returns the request target; called right before the request is sent.

    Attributes:
        sock: The connection; None before it is established and after it is taken away.
        started_at_s: When the poll was due, by the loop's clock; its connect and response are overdue some
            time after it.
        requested_at_s: When the request was sent; None before that.
        is_unconfirmed_reuse: The connection is of an earlier poll, and nothing was received on it since.
        has_received_data: Bytes of the response have been received.
        can_reuse_connection: The next poll may use the connection.
        task: Runs the poll; its result is the body of the response.
    """

    def __init__(
        self,
        dependencies: ActorDependencies,
        read_buffer: memoryview,
        idle_socket: socket.socket | None,
        due_s: float,
        make_target: Callable[[], str],
    ) -> None:
        self.dependencies, self.read_buffer, self.sock, self.make_target = (
            dependencies,
            read_buffer,
            idle_socket,
            make_target,
        )
        self.started_at_s = max(asyncio.get_running_loop().time(), due_s)
        self.requested_at_s: float | None = None
        self.is_unconfirmed_reuse, self.has_received_data, self.can_reuse_connection = (
            idle_socket is not None,
            False,
            False,
        )
        self.task: asyncio.Task[bytes] = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> bytes:
        """Send the request and return the body of the response.

        Raises:
            OSError: The connection failed.
            TimeoutError: There was no complete response within MAX_POLL_DURATION_S.
            ProtocolError: The response is not valid HTTP of status 200 or too large.
        """
        loop = asyncio.get_running_loop()
        if self.started_at_s > loop.time():
            await asyncio.sleep(self.started_at_s - loop.time())
        deadline_s = loop.time() + MAX_POLL_DURATION_S
        host, port = self.dependencies.config.changelog
        if self.sock is None:
            self.sock = await connect((host, port), MAX_POLL_DURATION_S, self.dependencies.checks)
            self.dependencies.descriptors.add_outbound(1)
        self.requested_at_s = loop.time()
        http_request = f"GET {self.make_target()} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        async with asyncio.timeout_at(deadline_s):
            await loop.sock_sendall(self.sock, http_request.encode())
        response = await self._read(self.sock, deadline_s)
        if response.status != 200:
            raise ProtocolError(f"response of status {response.status}")
        self.can_reuse_connection = response.keeps_alive
        return bytes(response.body)

    async def _read(self, sock: socket.socket, deadline_s: float) -> PollResponse:
        response, late_reads = PollResponse(), 0
        while not response.is_complete:
            late_reads += not await self._readable(sock, deadline_s)
            try:
                size = sock.recv_into(self.read_buffer)
            except BlockingIOError:
                size = -1
            if late_reads > MAX_LATE_READS or (late_reads and size < 0):
                raise TimeoutError
            if size == 0:
                raise ConnectionResetError("connection closed within a response")
            if size > 0:
                self.is_unconfirmed_reuse, self.has_received_data = False, True
                response.parser.feed_data(self.read_buffer[:size])
        return response

    async def _readable(self, sock: socket.socket, deadline_s: float) -> bool:
        """Wait until the socket is readable; return False at the deadline, a time of the loop's clock."""
        loop, ready = asyncio.get_running_loop(), asyncio.Event()
        loop.add_reader(sock, ready.set)
        try:
            async with asyncio.timeout_at(deadline_s):
                await ready.wait()
        except TimeoutError:
            return False
        finally:
            loop.remove_reader(sock)
        return True

    def take_connection(self) -> socket.socket | None:
        """Return the connection and give up its ownership."""
        sock, self.sock = self.sock, None
        return sock

    def close(self) -> None:
        """Cancel the poll and close its connection."""
        self.task.cancel()
        if (sock := self.take_connection()) is not None:
            sock.close()
            self.dependencies.descriptors.add_outbound(-1)
