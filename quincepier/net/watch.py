"""The actor that follows the change log by long polls. Its loss never stops serving."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

import httptools

from quincepier import clock
from quincepier.net.actor import Actor
from quincepier.net.means import Means
from quincepier.net.messages import News
from quincepier.net.sockets import connect
from quincepier.recovery import first_poll
from quincepier.wire.changelog import BadRecord, ChangeEvent, decode_changes
from quincepier.wire.errors import ProtocolError

# The longest wait asked for, and the seconds past it in which an answer may still come. A log that stopped
# but stays open is found out after both, and what it has to tell counts as told 2 s after the wait.
POLL_MS, POLL_GRACE = 1000, 0.75
CONNECT_WITHIN = 0.5
# Seconds from one try to the next: none at the first failure, then doubled at each in a row. After an outage
# of eight seconds, what came at its start has counted as told for one, and a drain's grace is two.
BACK_OFF, BACK_OFF_MOST = 0.05, 0.75
LATE_READS = 64  # past the time, of what lay in the socket as a standstill of the front ended
ANSWER_MOST = 8 * 1024 * 1024
# A front serves once it has heard what the log had as it started: an answer, or so much silence after the
# call, as the log answers at once where there is news. Without the log it serves after the second of these.
QUIET, START_WAITS = 0.06, 0.25  # seconds
TRIES = 3  # of a record that can't be read, or of a gap, before it is passed over


class Response:
    """What httptools tells of one answer."""

    def __init__(self) -> None:
        self.body, self.status, self.kept = bytearray(), 0, False
        self.parser = httptools.HttpResponseParser(self)

    @property
    def whole(self) -> bool:
        return self.status >= 200  # answers of 1xx come before the one that counts (RFC 9110, section 15.2)

    def on_body(self, data: bytes) -> None:
        if not self.whole:  # else of one that came a second time, right behind the first
            self.body += data
            if len(self.body) > ANSWER_MOST:
                raise ProtocolError(f"an answer over {ANSWER_MOST} bytes")

    def on_message_complete(self) -> None:
        if not self.whole:
            self.status = self.parser.get_status_code()
            self.kept = self.parser.should_keep_alive()  # llhttp forgets it right after


class Watch(Actor[None]):
    name = "change_log"

    def __init__(self, means: Means) -> None:
        super().__init__(means.checks, 1)
        self.means, self.descriptors = means, means.descriptors
        self.module = means.module
        self.last, self.failures, self.tries = means.config.known_seq, 0, 0
        self.random = random.Random(means.config.seed)
        self.sock: socket.socket | None = None
        self.buffers = means.pool.acquire() or []  # its own for good: purges come whatever else is short
        self.polling: asyncio.Task[bytes] | None = None
        self.due = 0.0  # the next poll, by the loop's clock in seconds
        self.resting = False  # the connection is one that was kept, and has told nothing since the last ask
        self.current = asyncio.Event()  # what the log had as this front started is told
        self.wait_ms = first_poll(self.random, POLL_MS)  # that the next poll asks for
        self.answered_at_ns = 0  # when the log answered last: what it tells later was not there by then

    def move(self) -> None:
        """The configuration names another address: ask there now, from the number reached.

        A signal calls it, between any two lines of this actor; what was answered whole is taken all the same.
        """
        self.failures, self.due = 0, 0.0
        if self.polling is not None and not self.polling.cancel():
            self._close()

    async def up_to_date(self) -> None:
        """Until what was missed between the list of the start and now is told, if the log can be asked.

        Else requests would go by a list without what the log had long told all others, such as a purge.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_WAITS):
                await self.current.wait()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                began, reached = max(loop.time(), self.due), self.last
                self.polling = asyncio.ensure_future(self._poll())
                await asyncio.wait((self.polling,))
                self.due = 0.0
                try:
                    if self.polling.cancelled():  # the address is another one now
                        self._close()
                        continue
                    self._take(*decode_changes(self.polling.result(), self.means.judge))
                    self.failures = 0
                    if self.last == reached:  # a log that does not wait is not asked without a pause
                        self.due = began + BACK_OFF
                except Exception as error:  # whatever it is, it is tried again
                    self._close()
                    if self.resting and isinstance(error, ConnectionError):  # closed as it was asked
                        self.checks.count("change_log_connections_closed_idle")
                        continue
                    self.failures += 1
                    self.checks.event("change_log_poll_failed", f"{type(error).__name__}: {error}")
                    if self.failures > 1:
                        wait = min(BACK_OFF * 2 ** min(self.failures - 2, 10), BACK_OFF_MOST)
                        due = began + wait * self.random.uniform(0.5, 1)  # a try may have taken that long
                        self.due = max(due, loop.time() + BACK_OFF)
        finally:
            if self.polling is not None:
                self.polling.cancel()
            self._close()

    def _close(self) -> None:
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.close()
            self.descriptors.cache(-1)

    async def _poll(self) -> bytes:
        """An answer's body, asked for once it is due; a move ends the wait for that too."""
        loop = asyncio.get_running_loop()
        if self.due > loop.time():
            await asyncio.sleep(self.due - loop.time())
        self.resting = self.sock is not None
        if self.sock is None:
            self.sock = await connect(self.means.config.changelog, CONNECT_WITHIN, self.checks)
            self.descriptors.cache(1)
        host, port = self.means.config.changelog
        ask = f"GET /changes?since={self.last}&timeout={self.wait_ms} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        response, view = Response(), memoryview(self.buffers[0])
        until, late = loop.time() + POLL_MS / 1000 + POLL_GRACE, 0
        async with asyncio.timeout_at(until):
            await loop.sock_sendall(self.sock, ask.encode())
        quiet = loop.call_later(QUIET, self.current.set)
        try:
            while not response.whole:
                late += not await self._readable(self.sock, until)
                try:
                    size = self.sock.recv_into(view)
                except BlockingIOError:
                    size = -1
                if late > LATE_READS or (late and size < 0):
                    raise TimeoutError
                if size == 0:
                    raise ConnectionResetError("the connection ends inside an answer")
                if size > 0:
                    self.resting = False
                    quiet.cancel()  # what has begun is waited for, and so is the next poll if this one fails
                    response.parser.feed_data(view[:size])
        finally:
            quiet.cancel()
        if response.status != 200:
            raise ProtocolError(f"an answer of status {response.status}")
        self.wait_ms = POLL_MS
        if not response.kept:
            self._close()
        return bytes(response.body)

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

    def _take(self, last: int, events: tuple[ChangeEvent, ...]) -> None:
        """Pass on what is new, once, in order; at a gap or a bad record ask again, a few times."""
        for event in events:
            if event.seq <= self.last:
                continue
            if event.seq != self.last + 1:
                self._again(f"events {self.last + 1} to {event.seq - 1} are missing")
                self.last = event.seq - 1  # the record itself has tries of its own
            if isinstance(event, BadRecord):
                self._again(f"event {event.seq}: {event.why}")
            else:
                self.module.urge(News(event, self.answered_at_ns))
            self.last, self.tries = event.seq, 0
        self.current.set()
        if last > self.last and not events:
            self._again(f"events {self.last + 1} to {last} are missing")
            self.last, self.tries = last, 0
        self.answered_at_ns = clock.now()

    def _again(self, why: str) -> None:
        self.tries += 1
        if self.tries < TRIES:
            raise ProtocolError(why)
        self.checks.event("change_log_record_skipped", why)
        self.tries = 0
