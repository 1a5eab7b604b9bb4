"""Writes the commands of one connection to a cache: cancels first, and each command completely."""

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
from quincepier.net.sockets import TRANSIENT_ERROR_PAUSE_S, is_transient, resolve, wait_until_writable
from quincepier.policy.send_permission import partial_command_deadline
from quincepier.wire import lines
from quincepier.wire.lines import ServeCommand


class CommandStalledError(OSError):
    """The rest of a partly written command could not be written in time.

    The command states a relative deadline, so the server would end the attempt too late.
    """


@dataclass(slots=True, eq=False)
class PendingCancel:
    """A cancel that has not been written completely.

    Attributes:
        attempt: The cancelled attempt; closed once the cancel is written.
        outcome: Its outcome.
        unsent: The bytes of the cancel that are still to be written.
        since_ns: When the cancel was queued.
    """

    attempt: OpenAttempt
    outcome: AttemptOutcome
    unsent: bytes
    since_ns: int


class WriterEvents(Protocol):
    """What a writer needs from its connection."""

    is_closing: bool

    def encode_if_permitted(
        self, exchange: OpenAttempt | Probe, command: ServeCommand | bytes
    ) -> bytes | None:
        """Return the bytes of the next command, or None if it must not be sent now."""

    def on_first_byte(self, exchange: OpenAttempt | Probe, now_ns: int) -> None:
        """Note that the socket took the first byte of a command."""

    def on_cancel_sent(self, pending: PendingCancel) -> None:
        """Note that a cancel was written completely."""


class CommandWriter:
    """The queue of commands of one connection, written as fast as its socket takes bytes.

    A command leaves the queue once it is written completely, so a connection that has written a part of one
    does not count as idle. A command can be removed as long as the socket has taken no byte of it. Cancels
    overtake commands that have not been started: a cancel may close an attempt whose successor waits at
    another connection.

    Args:
        events: The connection.
        pauses: Detects pauses of this process.

    Attributes:
        queue: Commands that are not written completely, in order.
        cancels: Cancels that are not written completely, in order.
    """

    def __init__(self, events: WriterEvents, pauses: PauseDetector) -> None:
        self.queue: deque[tuple[OpenAttempt | Probe, ServeCommand | bytes]] = deque()
        self.cancels: deque[PendingCancel] = deque()
        self._unsent = memoryview(b"")  # rest of the first queued command, once a part of it is written
        self._events = events
        self._pauses = pauses
        self._wake: asyncio.Future[None] | None = None

    def add(self, exchange: OpenAttempt | Probe, command: ServeCommand | bytes) -> None:
        """Queue a command."""
        self.queue.append((exchange, command))
        resolve(self._wake)

    def remove(self, exchange: OpenAttempt | Probe) -> None:
        """Remove a command of which the socket has taken no byte."""
        self.queue = deque(item for item in self.queue if item[0] is not exchange)

    def cancel(self, sock: socket.socket | None, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Send the cancel of an attempt, now or as soon as the socket takes it.

        An attempt that replaces it is sent later than the cancel.
        """
        self.add_cancel(attempt, outcome)
        if sock is not None:
            with contextlib.suppress(OSError):  # it stays queued, or the reader finds the connection broken
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
        """Whether the oldest cancel has been queued for longer than the timeout."""
        return bool(self.cancels) and now_ns - self.cancels[0].since_ns > timeout_ns

    @property
    def is_empty(self) -> bool:
        """Whether nothing is left to write."""
        return not self.queue and not self.cancels

    async def run(self, sock: socket.socket) -> None:
        """Write until the connection closes; raises OSError if the socket is broken."""
        while not self._events.is_closing:
            try:
                if self._send(sock):
                    continue
            except (BlockingIOError, InterruptedError):
                await self._until_writable(sock)
                continue
            except OSError as error:
                if not is_transient(error):
                    raise
                await asyncio.sleep(TRANSIENT_ERROR_PAUSE_S)
                continue
            if self.queue:
                await self._pauses.settled.wait()  # input that arrived during the pause is read first
            else:
                self._wake = asyncio.get_running_loop().create_future()
                await self._wake

    def _send(self, sock: socket.socket) -> bool:
        """Write what may be written now. Return whether a queued command was considered."""
        self._send_rest(sock)
        self._send_cancels(sock)
        if not self.queue or self._pauses.is_settling(clock.now()):
            return False
        self._begin(sock)
        return True

    def _send_rest(self, sock: socket.socket) -> None:
        """Write the rest of a command that was partly written."""
        while self._unsent:
            self._unsent = self._unsent[sock.send(self._unsent) :]
            if not self._unsent:
                self.queue.popleft()

    def _send_cancels(self, sock: socket.socket) -> None:
        """Write cancels, unless a command is partly written."""
        while self.cancels and not self._unsent:
            pending = self.cancels[0]
            pending.unsent = pending.unsent[sock.send(pending.unsent) :]
            if not pending.unsent:
                self.cancels.popleft()
                self._events.on_cancel_sent(pending)

    def _begin(self, sock: socket.socket) -> None:
        """Write the first command of the queue, as far as the socket takes it."""
        exchange, command = self.queue[0]
        data = self._events.encode_if_permitted(exchange, command)
        if data is None:
            return
        now = clock.now()
        taken = sock.send(data)
        self._events.on_first_byte(exchange, now)
        self._unsent = memoryview(data)[taken:]
        if not self._unsent:
            self.queue.popleft()

    async def _until_writable(self, sock: socket.socket) -> None:
        """Wait until the socket takes bytes; CommandStalledError if a partly written command stalls."""
        attempt = self.queue[0][0] if self._unsent else None
        if not isinstance(attempt, OpenAttempt) or attempt.state is not AttemptState.SENT:
            await wait_until_writable(sock)
            return
        try:
            async with asyncio.timeout(
                max(partial_command_deadline(attempt) - clock.now(), 0) / clock.SECOND
            ):
                await wait_until_writable(sock)
        except TimeoutError:
            if (
                attempt.state is AttemptState.SENT
            ):  # otherwise cancelled: its cancel follows the rest of the command
                raise CommandStalledError from None
