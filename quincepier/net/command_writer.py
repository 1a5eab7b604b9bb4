"""What goes out over one connection to a cache: cancels first, then commands, each whole before the next."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from quincepier import clock
from quincepier.interface import AttemptOutcome
from quincepier.memory.open_requests import AttemptState, OpenAttempt
from quincepier.net.probe import Probe
from quincepier.net.process_pause import PauseDetector
from quincepier.net.sockets import MOMENTARY_PAUSE, is_momentary, resolve, until_writable
from quincepier.policy.send_permission import partial_command_deadline
from quincepier.wire import lines
from quincepier.wire.lines import ServeCommand


class CommandStalledError(OSError):
    """The rest of a command waits for so long that the deadline it tells is no longer right."""


@dataclass(slots=True, eq=False)
class PendingCancel:
    """A cancel that is not out whole.

    Attributes:
        attempt: The cancelled attempt; closed once the cancel is out.
        outcome: How it ended.
        unsent: What of the command is still to go out.
        since_ns: Since when it waits.
    """

    attempt: OpenAttempt
    outcome: AttemptOutcome
    unsent: bytes
    since_ns: int


class WriterEvents(Protocol):
    """What a writer asks of its connection, and tells it."""

    lost: bool

    def permit(self, what: OpenAttempt | Probe, command: ServeCommand | bytes) -> bytes | None:
        """Return the bytes of the next command as they go out now, None where it must not begin."""

    def on_first_byte(self, what: OpenAttempt | Probe, now_ns: int) -> None:
        """Note that a byte of a command was taken."""

    def on_cancel_sent(self, pending: PendingCancel) -> None:
        """Note that a cancel is out whole."""


class CommandWriter:
    """The queue of one connection, written as its socket takes it.

    A command leaves the queue once it is out whole, so no connection in the middle of one is idle; as long as
    no byte of it was taken it can be removed. A cancel passes commands that have not begun: it may close an
    attempt in whose place one of them waits at another connection.

    Attributes:
        queue: Commands that are not out whole, in their order.
        cancels: Cancels that are not out whole, in their order.
    """

    def __init__(self, events: WriterEvents, pauses: PauseDetector) -> None:
        self.queue: deque[tuple[OpenAttempt | Probe, ServeCommand | bytes]] = deque()
        self.cancels: deque[PendingCancel] = deque()
        self._unsent = memoryview(b"")  # of the first of the queue, a part of which is out
        self._events = events
        self._pauses = pauses
        self._wake: asyncio.Future[None] | None = None

    def add(self, what: OpenAttempt | Probe, command: ServeCommand | bytes) -> None:
        """Queue a command."""
        self.queue.append((what, command))
        resolve(self._wake)

    def remove(self, what: OpenAttempt | Probe) -> None:
        """Take a command out of the queue of which no byte was taken."""
        self.queue = deque(item for item in self.queue if item[0] is not what)

    def cancel(self, sock: socket.socket | None, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Send the cancel of an attempt, in this turn where the socket takes it, else as soon as it does.

        What is sent in its place comes after it.
        """
        self.add_cancel(attempt, outcome)
        if sock is not None:
            with contextlib.suppress(OSError):  # it waits, or its reader hears that the connection is broken
                self._send_cancels(sock)
        resolve(self._wake)

    def add_cancel(self, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Queue the cancel of an attempt."""
        command = lines.cancel(attempt.request.job_id)
        self.cancels.append(PendingCancel(attempt, outcome, command, clock.now()))

    def has_cancel(self, attempt: OpenAttempt) -> bool:
        """Whether the cancel of an attempt is queued."""
        return any(pending.attempt is attempt for pending in self.cancels)

    def is_stalled(self, now_ns: int, timeout_ns: int) -> bool:
        """Whether the socket has not taken a cancel for that long."""
        return bool(self.cancels) and now_ns - self.cancels[0].since_ns > timeout_ns

    @property
    def is_empty(self) -> bool:
        """Whether nothing is to go out."""
        return not self.queue and not self.cancels

    async def run(self, sock: socket.socket) -> None:
        """Write until the connection is lost; OSError where the socket is broken."""
        while not self._events.lost:
            try:
                if self._send(sock):
                    continue
            except (BlockingIOError, InterruptedError):
                await self._until_writable(sock)
                continue
            except OSError as error:
                if not is_momentary(error):
                    raise
                await asyncio.sleep(MOMENTARY_PAUSE)
                continue
            if self.queue:
                await self._pauses.settled.wait()  # what came in the pause is heard before
            else:
                self._wake = asyncio.get_running_loop().create_future()
                await self._wake

    def _send(self, sock: socket.socket) -> bool:
        """Write what may go out now; whether there was a command that might."""
        self._send_rest(sock)
        self._send_cancels(sock)
        if not self.queue or self._pauses.is_settling(clock.now()):
            return False
        self._begin(sock)
        return True

    def _send_rest(self, sock: socket.socket) -> None:
        """Write the rest of a command of which a part is out."""
        while self._unsent:
            self._unsent = self._unsent[sock.send(self._unsent) :]
            if not self._unsent:
                self.queue.popleft()

    def _send_cancels(self, sock: socket.socket) -> None:
        """Write cancels, unless a command is half out."""
        while self.cancels and not self._unsent:
            pending = self.cancels[0]
            pending.unsent = pending.unsent[sock.send(pending.unsent) :]
            if not pending.unsent:
                self.cancels.popleft()
                self._events.on_cancel_sent(pending)

    def _begin(self, sock: socket.socket) -> None:
        """Write the first command of the queue, or what the socket takes of it."""
        what, command = self.queue[0]
        data = self._events.permit(what, command)
        if data is None:
            return
        now = clock.now()
        taken = sock.send(data)
        self._events.on_first_byte(what, now)
        self._unsent = memoryview(data)[taken:]
        if not self._unsent:
            self.queue.popleft()

    async def _until_writable(self, sock: socket.socket) -> None:
        """Wait until the socket takes bytes; CommandStalledError where it does not take a begun command."""
        attempt = self.queue[0][0] if self._unsent else None
        if not isinstance(attempt, OpenAttempt) or attempt.state is not AttemptState.SENT:
            await until_writable(sock)
            return
        try:
            async with asyncio.timeout(
                max(partial_command_deadline(attempt) - clock.now(), 0) / clock.SECOND
            ):
                await until_writable(sock)
        except TimeoutError:
            if attempt.state is AttemptState.SENT:  # else its cancel follows the rest
                raise CommandStalledError from None
