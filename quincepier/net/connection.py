"""A connection to one cache: queues commands, matches responses to them, and reports how each one ended."""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.interface import AttemptOutcome
from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenAttempt
from quincepier.net.body_allocator import BodyFuture
from quincepier.net.command_writer import CommandStalledError, CommandWriter, PendingCancel
from quincepier.net.connect_failures import count_connect_failure
from quincepier.net.probe import OUTCOME_BY_PROBE_RESPONSE, Probe
from quincepier.net.sockets import (
    NO_BUFFER_PAUSE_S,
    TRANSIENT_ERROR_PAUSE_S,
    connect,
    is_transient,
    resolve,
    shutdown_and_close,
)
from quincepier.policy.send_permission import Denial, find_denial, server_deadline_ms
from quincepier.wire import lines
from quincepier.wire.errors import ProtocolError
from quincepier.wire.lines import ServeCommand

if TYPE_CHECKING:
    from quincepier.addresses import Address  # imported only where machines have several addresses
    from quincepier.net.cache import CacheActor

MAX_CONSECUTIVE_READS = 8  # reads of one connection before other tasks of the loop get a turn
MAX_USED_IDS = 256  # remembered per connection; a remembered id is not sent there again


class Connection:
    """One connection to a cache, from its dial to its close.

    An exchange is one command and its response: an attempt or a probe. Several may be under way at once;
    the id at the head of a response tells which one it belongs to.

    Args:
        actor: The actor of the cache.

    Attributes:
        actor: The actor of the cache; it gets the outcome of each exchange.
        context: What the actors of all caches share.
        sock: The socket; None until the connection is established.
        awaited_by_id: Exchanges that still wait for their response.
        used_ids: Ids of earlier exchanges, oldest first. A late response to one of them may still arrive, so
            the id is not used again here.
        writer: Writes the commands and cancels.
        started: Exchanges of whose command the socket has taken at least one byte.
        is_closing: The connection is closed or about to be; nothing new is sent.
        is_retired: No further exchange starts here; the connection is closed once it is unused.
        is_machine_absent: The connect failed in a way that shows that the machine is not there.
        is_task_started: The task of `run` has begun to run.
        last_read_at: When bytes were last read, ns; 0: never.
        address: The address that was dialled, where the machine has several.
        connected_at: When that connection was established, ns.
        has_responded: A whole response has arrived over `address`.
        last_used_at: When the connection was last written to or read from, ns.
        is_between_responses: No response is partly read.
        response_began_at: When the response being read began, ns; 0: none is being read.
        is_discarding: The response being read belongs to no awaited exchange and is dropped.
        body: Buffers of the response being read.
        head: First line of the response being read.
        body_waiter: Set while that response waits for buffers; nothing is read meanwhile.
        paused_at: When that wait began, ns.
        task: The task of `run`.
        readable: Resolved when the socket can be read.
        has_reader: The event loop watches the socket for reading.
    """

    def __init__(self, actor: CacheActor) -> None:
        self.actor, self.context = actor, actor.context
        self.sock: socket.socket | None = None
        self.awaited_by_id: dict[str, OpenAttempt | Probe] = {}
        self.used_ids: OrderedDict[str, None] = OrderedDict()
        self.writer = CommandWriter(self, self.context.dependencies.pause_detector)
        self.started: set[OpenAttempt | Probe] = set()
        self.is_closing = self.is_retired = self.is_machine_absent = self.is_task_started = False
        self.last_read_at = 0
        self.address: Address | None = None
        self.connected_at, self.has_responded = 0, False
        self.last_used_at: int = clock.now()
        self.is_between_responses = True
        self.response_began_at = 0
        self.is_discarding = False
        self.body: PooledBody | None = None
        self.head: lines.ResponseHead | None = None
        self.body_waiter: BodyFuture | None = None
        self.paused_at = 0
        self.task: asyncio.Task[None] | None = None
        self.readable: asyncio.Future[None] | None = None
        self.has_reader: bool = False

    @property
    def outgoing(self) -> deque[tuple[OpenAttempt | Probe, ServeCommand | bytes]]:
        """The commands that have not been written completely, in order."""
        return self.writer.queue

    def touch(self, now: int) -> None:
        """Note that the connection is used at `now`, ns."""
        self.last_used_at = now
        if self in self.context.connections_by_last_use:  # otherwise it is closed already
            self.context.connections_by_last_use.move_to_end(self)

    def send(self, id: str, exchange: OpenAttempt | Probe, command: ServeCommand | bytes) -> None:
        """Queue a command; it is written once the connection is established and its socket takes bytes."""
        self.awaited_by_id[id] = exchange
        self.touch(clock.now())
        self.writer.add(exchange, command)

    def cancel(self, id: str, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Stop waiting for an attempt: remove its command if no byte was sent, otherwise send a cancel.

        The outcome is reported once the attempt is closed, because another attempt may then start in its
        place. It is reported at once if the request is finished, as no other attempt starts for it.
        """
        self.awaited_by_id.pop(id, None)
        if attempt not in self.started:
            self._remove(attempt, outcome)
            return
        self.started.discard(attempt)
        self.remember_used_id(id)
        attempt.on_cancelled()
        # Nothing was read since the command was sent, for longer than a connect may take: the peer may have
        # lost this connection without a reset reaching us. New attempts use new connections.
        now = clock.now()
        is_silent = (
            self.last_read_at < attempt.started_at_ns < now - self.context.config.dial_timeout
            and not self.is_closing
            and self.body_waiter is None
        )
        self.touch(now)
        if self.body_waiter is not None:
            attempt.paused_ns += now - max(self.paused_at, attempt.started_at_ns)
            if self.head is not None and self.head.id == id:
                self.context.body_allocator.withdraw(self.body_waiter)
        self.writer.cancel(None if self.is_closing else self.sock, attempt, outcome)
        if attempt.request.is_finished and not attempt.is_completed:
            self.actor.complete_without_response(attempt, outcome, now)
        self.is_retired = self.is_retired or is_silent
        if is_silent:
            self.report_address_failure("silent", response_due=True)

    def abandon(self, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Close the connection after an exception while `attempt` was handled.

        Its outcome is reported once the connection is closed.
        """
        if attempt not in self.awaited_by_id.values() and not self.writer.has_cancel(attempt):
            self.writer.add_cancel(attempt, outcome)
        self.close()

    def _remove(self, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Remove an attempt of which no byte was sent, and report its outcome."""
        self.writer.remove(attempt)
        if self.sock is None and not self.awaited_by_id and self.actor.route is not None:
            self.close()  # no exchange needs the race for this connection any more
        self.actor.complete_without_response(attempt, outcome, clock.now())

    def on_cancel_sent(self, pending: PendingCancel) -> None:
        """Close an attempt: its cancel was written completely, or the connection is closed."""
        now = clock.now()
        pending.attempt.on_closed(now)
        if not pending.attempt.is_completed:
            self.actor.complete_without_response(pending.attempt, pending.outcome, now)

    def on_first_byte(self, exchange: OpenAttempt | Probe, now_ns: int) -> None:
        """Note that the socket took the first byte of a command: the cache may read it from now on."""
        self.started.add(exchange)
        if isinstance(exchange, OpenAttempt):
            exchange.on_first_byte(now_ns)

    def take_queued(self, target: Connection) -> tuple[str, OpenAttempt | Probe, ServeCommand | bytes] | None:
        """Remove and return the first queued command that `target` may send, with its id; None for none.

        Called while this connection is not established yet.
        """
        for exchange, command in self.outgoing:
            id = next((id for id, awaited in self.awaited_by_id.items() if awaited is exchange), None)
            if id is not None and id not in target.used_ids:
                self.writer.remove(exchange)
                del self.awaited_by_id[id]
                return id, exchange, command
        return None

    def remember_used_id(self, id: str) -> None:
        """Note that a late response to this id may still arrive, so that the id is not used here again."""
        self.used_ids[id] = None
        if len(self.used_ids) > MAX_USED_IDS:
            self.used_ids.popitem(last=False)

    def report_address_failure(self, reason: str, response_due: bool = False) -> None:
        """Report a failure of the connection's address, where the machine has several.

        It counts against the address only if a response was due, or if none ever arrived over it.

        Args:
            reason: What happened, for the log.
            response_due: A response was due, whatever `started` says.
        """
        counts = response_due or self.started or not self.has_responded
        if self.address is not None and self.actor.route is not None and counts:
            self.actor.route.on_connection_failed(self.address, self.connected_at, reason)

    @property
    def is_unused(self) -> bool:
        """Whether the connection is established and no exchange waits for a response.

        Cancels may still have to be written; closing the connection cancels those attempts as well.
        """
        return self.sock is not None and not self.awaited_by_id and not self.is_closing

    @property
    def is_idle(self) -> bool:
        """Whether a command sent now is written at once and its response is the next one to arrive."""
        return self.is_unused and self.writer.is_empty and not self.response_began_at

    @property
    def has_unwanted_response(self) -> bool:
        """Whether a response arrives that no exchange waits for; a further response would queue behind it."""
        return self.is_unused and self.response_began_at > 0

    def close(self) -> None:
        """Close the connection; `run` ends in a later turn of the loop."""
        self.is_closing = True
        if self.task is not None and self.is_task_started:  # `run` gives the descriptor back only if it ran
            self.task.cancel()

    @property
    def can_stall(self) -> bool:
        """Whether a response is partly read or a cancel partly written."""
        return bool(self.response_began_at or not self.is_between_responses or self.writer.cancels)

    def is_stalled(self, now: int) -> bool:
        """Whether a response or a cancel has made no progress, or an unwanted response does not end.

        The limit for each is the connect timeout: the settings declare a connection useless that takes that
        long to be established.
        """
        timeout = self.context.config.dial_timeout
        is_endless = self.has_unwanted_response and now - self.response_began_at > timeout
        is_silent = not self.is_between_responses and now - self.last_read_at > timeout
        return is_endless or is_silent or self.writer.is_stalled(now, timeout)

    async def run(self) -> None:
        """Connect, then read and write until the connection is closed."""
        tasks = list[asyncio.Task[None]]()
        self.is_task_started = True
        try:
            if self.is_closing or not await self._establish():
                return
            assert self.sock is not None
            coroutines = self.writer.run(self.sock), self._read(self.sock)
            tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            self.report_address_failure("ended")
        except ProtocolError as error:
            self.report_address_failure("an answer that can't be read")
            self.context.checks.event("cache_protocol_error", f"{self.actor.host}: {error}")
        except CommandStalledError:  # the front itself may have been too slow: no failure of the address
            self.context.checks.count("cache_connections_closed_command_stalled")
        except OSError:  # includes ETIMEDOUT, which is the built-in TimeoutError; reported with each attempt
            self.context.checks.count("cache_connections_reset")
            self.report_address_failure("reset")
        finally:
            for task in tasks:
                task.cancel()
            try:
                await asyncio.gather(*tasks, return_exceptions=True)
            finally:  # also if `close` cancels this task while it waits for the reader and the writer
                if self.sock is not None:
                    shutdown_and_close(self.sock)
                self.context.descriptors.add_outbound(-1)
                self._on_closed()

    async def _establish(self) -> bool:
        """Connect. Return whether that succeeded; if not, set `is_machine_absent`."""
        try:
            await self._connect()
        except OSError as error:
            self.is_machine_absent = count_connect_failure(error, self.context.checks, self.actor.host)
            return False
        self.actor.dial_limit.on_connected()
        return True

    async def _connect(self) -> None:
        if self.actor.route is not None:
            self.sock, self.address = await self.actor.route.connect()
            self.connected_at = clock.now()
        else:
            assert self.actor.address is not None
            timeout = self.context.config.dial_timeout / clock.SECOND
            self.sock = await connect(self.actor.address, timeout, self.context.checks)

    def _on_closed(self) -> None:
        """Complete the exchanges that were under way on the closed connection.

        A command of which the socket took no byte did not run; any other may have run. Only a refused or
        timed-out connect shows that the machine is not there. A connection that was reset, even a new one,
        does not: the next connect will show it.
        """
        self.is_closing = True
        if self.is_machine_absent:
            self.actor.dial_limit.on_connect_failed()
        self.actor.on_connection_closed(self)
        if self.body is not None:
            self.body.release()
            self.body = None
        route, awaited_by_id = self.actor.route, dict(self.awaited_by_id)
        unwritten = dict(self.outgoing)
        self.awaited_by_id.clear()
        for id, exchange in awaited_by_id.items():
            is_started = exchange in self.started
            if is_started and isinstance(exchange, OpenAttempt):
                exchange.on_closed(clock.now())
            if route is None:
                unsent = (
                    AttemptOutcome.CONNECT_FAILED if self.is_machine_absent else AttemptOutcome.NOT_PROCESSED
                )
                self.actor.complete_without_response(
                    exchange, AttemptOutcome.RESET if is_started else unsent, clock.now()
                )
            else:
                has_alternative = (
                    is_started and self.address is not None and route.has_alternative(self.address)
                )
                self.actor.move_or_complete(
                    id,
                    exchange,
                    is_started,
                    self.is_machine_absent,
                    unwritten.get(exchange),
                    has_alternative,
                )
        for pending in self.writer.cancels:
            self.on_cancel_sent(pending)
        self.writer.cancels.clear()
        self.started.clear()
        self.outgoing.clear()

    def encode_if_permitted(
        self, exchange: OpenAttempt | Probe, command: ServeCommand | bytes
    ) -> bytes | None:
        """Return the bytes of the command at the head of the queue, or None if it must not be sent now."""
        if not isinstance(exchange, OpenAttempt):
            assert isinstance(command, bytes)
            return command
        denial = self._find_denial(exchange)
        if denial is None:
            assert isinstance(command, ServeCommand)
            return command.encode(server_deadline_ms(exchange, clock.now()))
        self.context.checks.count(f"attempts_denied_{denial.value}")
        if self.outgoing and self.outgoing[0][0] is exchange:  # otherwise cancelled by `check_client`
            self.outgoing.popleft()
            self.awaited_by_id.pop(exchange.request.job_id, None)
            self.actor.complete_without_response(exchange, AttemptOutcome.NOT_PROCESSED, clock.now())
        return None

    def _find_denial(self, attempt: OpenAttempt) -> Denial | None:
        """Return why the first byte must not be sent now; reads the client's socket unless just done."""
        are_decisions_stale = self.context.are_decisions_stale
        denial = find_denial(attempt, clock.now(), are_decisions_stale is not None and are_decisions_stale())
        if denial is not None:
            return denial
        is_read = attempt.request.receiver.check_client(clock.now())
        return find_denial(attempt, clock.now()) or (None if is_read else Denial.CLIENT_INPUT_UNREAD)

    async def _read(self, sock: socket.socket) -> None:
        """Read responses until the connection ends.

        A buffer is held only while bytes are processed, not while waiting for them or for a body's buffers:
        otherwise waiting connections would use up the pool. The socket is read until
        it has no more bytes before it is waited for: the event loop stops watching a socket that was reset
        with bytes unread.
        """
        loop, decoder, pool, consecutive_reads = (
            asyncio.get_running_loop(),
            lines.Decoder(),
            self.context.pool,
            0,
        )
        await self._wait_until_readable(loop, sock)
        try:
            while True:
                while (buffers := pool.acquire()) is None:
                    await asyncio.sleep(NO_BUFFER_PAUSE_S)
                undecoded = b""
                try:
                    view = memoryview(buffers[0])
                    size = sock.recv_into(view)
                    if not size:
                        break
                    undecoded = self._process_bytes(decoder, view[:size])
                    consecutive_reads += 1
                except (BlockingIOError, InterruptedError):
                    consecutive_reads = 0
                except OSError as error:
                    if not is_transient(error):
                        raise
                    consecutive_reads = 0
                    await asyncio.sleep(TRANSIENT_ERROR_PAUSE_S)
                finally:
                    pool.release(buffers)
                while self.body_waiter is not None:
                    await self._wait_for_body(self.body_waiter)
                    undecoded = self._process_bytes(decoder, memoryview(undecoded))
                if not consecutive_reads:
                    await self._wait_until_readable(loop, sock)
                elif consecutive_reads % MAX_CONSECUTIVE_READS == 0:
                    await asyncio.sleep(0)
        finally:
            self.is_closing = True  # nothing more is sent, even before `run` gets its turn of the loop
            if self.has_reader:
                loop.remove_reader(sock)
        if not decoder.is_between_responses:
            raise ProtocolError("connection closed inside a response")

    async def _wait_until_readable(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Wait until the socket can be read. The reader registered with the loop stays registered."""
        self.readable = loop.create_future()
        if not self.has_reader:
            self.has_reader = True
            loop.add_reader(sock, self._on_readable, loop, sock)
        await self.readable

    def force_read(self) -> None:
        """Read the socket in this turn of the loop, whether or not the loop reported it as readable."""
        resolve(self.readable)

    def _on_readable(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        if not resolve(self.readable):  # not waiting to read: the loop would call this in every turn
            self.has_reader = False
            loop.remove_reader(sock)

    def _process_bytes(self, decoder: lines.Decoder, data: memoryview) -> bytes:
        """Handle what was read; return a copy of what has to wait until `body_waiter` has its buffers."""
        now = self.last_read_at = clock.now()
        self.touch(now)
        for item in decoder.feed(data):
            match item:
                case lines.ResponseHead():
                    self._on_head(item)
                    if self.body_waiter is not None:
                        self.is_between_responses = True  # the machine is not stalled while this front waits
                        return bytes(decoder.undecoded)
                case lines.ResponseData(piece) if self.body is not None:
                    self.body.append(piece)
                case lines.ResponseEnd():
                    self._on_whole(now)
        self.is_between_responses = decoder.is_between_responses
        if not self.is_between_responses:
            self.response_began_at = self.response_began_at or now
        return b""

    def _on_head(self, head: lines.ResponseHead) -> None:
        exchange = self.awaited_by_id.get(head.id)
        self.head, self.response_began_at = head, self.response_began_at or self.last_read_at
        if exchange is None or exchange not in self.started:  # a duplicate, late or unsolicited response
            self.is_discarding = True
            return
        self.is_discarding = False
        if isinstance(exchange, Probe) != (head.word in OUTCOME_BY_PROBE_RESPONSE):
            raise ProtocolError(f"response '{head.word}' does not match the command")
        if (
            isinstance(exchange, OpenAttempt)
            and head.word == "unchanged"
            and not exchange.request.known_version
        ):
            raise ProtocolError("response 'unchanged' to a command without a known version")
        if isinstance(exchange, OpenAttempt) and head.word == "data":
            allocator = self.context.body_allocator
            self.body = allocator.try_allocate(head.length)
            if self.body is None:
                self.body_waiter, self.paused_at = allocator.enqueue(head.length), self.last_read_at
                self.actor.on_response_delayed(exchange)

    async def _wait_for_body(self, waiter: BodyFuture) -> None:
        """Wait for the buffers of the response being read; it is dropped if its attempt was cancelled."""
        try:
            self.body = await self.context.body_allocator.wait(waiter)
        finally:
            self.body_waiter = None
        if self.body is not None and self.head is not None and self.head.id not in self.awaited_by_id:
            self.body.release()  # cancelled after it had got its buffers
            self.body = None
        self.is_discarding = self.body is None
        now = self.response_began_at = clock.now()
        for exchange in self.awaited_by_id.values():
            if isinstance(exchange, OpenAttempt):
                exchange.paused_ns += now - max(self.paused_at, exchange.started_at_ns)

    def _on_whole(self, now: int) -> None:
        head, body, self.head, self.body, self.response_began_at = self.head, self.body, None, None, 0
        assert head is not None
        if self.address is not None and not self.has_responded and self.actor.route is not None:
            self.has_responded = True
            self.actor.route.on_response(self.address)
        exchange = None if self.is_discarding else self.awaited_by_id.pop(head.id, None)
        if exchange is None:  # discarded, or cancelled before the response was complete
            is_late = head.id in self.used_ids
            self.context.checks.count(
                "late_responses_dropped" if is_late else "unsolicited_responses_dropped"
            )
            if body is not None:
                body.release()
        else:
            self.started.discard(exchange)
            if isinstance(exchange, OpenAttempt):
                exchange.on_closed(now)
            self.remember_used_id(head.id)
            if not self.awaited_by_id:
                self.actor.on_connection_unused(self)
            self.actor.complete_with_response(exchange, head, body, now)
