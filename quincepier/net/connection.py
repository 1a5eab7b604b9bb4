"""One connection to a cache: what is out on it, what is to be written, and its answers as they come."""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.interface import AttemptOutcome
from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenAttempt
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
from quincepier.policy.send_permission import Denial, find_denial, wait_ms
from quincepier.wire import lines
from quincepier.wire.errors import ProtocolError
from quincepier.wire.lines import ServeCommand

if TYPE_CHECKING:
    from quincepier.addresses import Address  # imported only where machines have several addresses
    from quincepier.net.cache import CacheActor

MAX_CONSECUTIVE_READS = 8  # in a row
MAX_USED_IDS = 256  # ids that were out on one connection; none of them goes out there again


class Connection:
    """One connection: what is out on it, which ids are given up, and what ends with it."""

    def __init__(self, actor: CacheActor) -> None:
        self.actor, self.context = actor, actor.context
        self.sock: socket.socket | None = None
        self.awaited_by_id: dict[str, OpenAttempt | Probe] = {}
        self.used_ids: OrderedDict[str, None] = OrderedDict()
        self.writer = CommandWriter(self, self.context.means.pauses)
        self.started: set[OpenAttempt | Probe] = set()  # those of whose command a byte may have been read
        self.is_closing = self.is_retired = self.is_machine_absent = self.is_task_started = False
        self.last_read_at = 0
        self.address: Address | None = None  # that of several which came up
        self.connected_at, self.has_responded = 0, False  # when, and whether an answer has come over it
        self.last_used_at: int = clock.now()
        self.is_between_responses = True  # no answer is half read
        self.response_began_at = 0  # when the answer that is being read began; 0: there is none
        self.is_discarding = False  # the one being read is passed over
        self.body: PooledBody | None = None
        self.head: lines.Head | None = None
        self.task: asyncio.Task[None] | None = None
        self.readable: asyncio.Future[None] | None = None  # set when there is something to read
        self.has_reader: bool = False

    @property
    def outgoing(self) -> deque[tuple[OpenAttempt | Probe, ServeCommand | bytes]]:
        """The commands that are not out whole, in their order."""
        return self.writer.queue

    def touch(self, now: int) -> None:
        """Note that it is used now, ns."""
        self.last_used_at = now
        if self in self.context.connections_by_last_use:  # else it has ended
            self.context.connections_by_last_use.move_to_end(self)

    def send(self, id: str, what: OpenAttempt | Probe, command: ServeCommand | bytes) -> None:
        """Queue a command; it goes out as soon as the connection is up and its socket takes it."""
        self.awaited_by_id[id] = what
        self.touch(clock.now())
        self.writer.add(what, command)

    def cancel(self, id: str, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Nobody waits for an attempt any more: it is not sent if it has not been, else cancelled.

        Its outcome is told once it is closed, since another may begin in its place then; at once where its
        request is over, as nothing begins for that any more.
        """
        self.awaited_by_id.pop(id, None)
        if attempt not in self.started:
            self._remove(attempt, outcome)
            return
        self.started.discard(attempt)
        self.remember_used_id(id)
        attempt.on_cancelled()
        # Nothing heard since it went out: the peer may have lost this connection. New ones try it.
        now = clock.now()
        silent = (
            self.last_read_at < attempt.started_at_ns < now - self.context.config.dial_timeout
            and not self.is_closing
        )
        self.touch(now)
        self.writer.cancel(None if self.is_closing else self.sock, attempt, outcome)
        if attempt.request.is_finished and not attempt.is_ended:
            self.actor.complete_without_response(attempt, outcome, now)
        self.is_retired = self.is_retired or silent
        if silent:
            self.report_address_failure("silent", owed=True)

    def abandon(self, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Close, as an exception left an attempt half handled; its outcome is told once that is done."""
        if attempt not in self.awaited_by_id.values() and not self.writer.has_cancel(attempt):
            self.writer.add_cancel(attempt, outcome)
        self.close()

    def _remove(self, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Take an attempt back of which no byte went out."""
        self.writer.remove(attempt)
        if self.sock is None and not self.awaited_by_id and self.actor.route is not None:
            self.close()  # nobody waits for its race
        self.actor.complete_without_response(attempt, outcome, clock.now())

    def on_cancel_sent(self, pending: PendingCancel) -> None:
        """Its cancel is out whole, or the connection closed: another attempt may begin in its place."""
        now = clock.now()
        pending.attempt.on_closed(now)
        if not pending.attempt.is_ended:
            self.actor.complete_without_response(pending.attempt, pending.outcome, now)

    def on_first_byte(self, what: OpenAttempt | Probe, now_ns: int) -> None:
        """A byte of its command was taken: the cache may have read it."""
        self.started.add(what)
        if isinstance(what, OpenAttempt):
            what.on_first_byte(now_ns)

    def take_queued(self, other: Connection) -> tuple[str, OpenAttempt | Probe, ServeCommand | bytes] | None:
        """The first that waits for this dial and may go over the other connection: it waits here no more."""
        for what, command in self.outgoing:
            id = next((id for id, one in self.awaited_by_id.items() if one is what), None)
            if id is not None and id not in other.used_ids:
                self.writer.remove(what)
                del self.awaited_by_id[id]
                return id, what, command
        return None

    def remember_used_id(self, id: str) -> None:
        self.used_ids[id] = None
        if len(self.used_ids) > MAX_USED_IDS:
            self.used_ids.popitem(last=False)

    def report_address_failure(self, why: str, owed: bool = False) -> None:
        """A sign against its address and not the machine: no answer where one was owed, or none ever."""
        sign = owed or self.started or not self.has_responded
        if self.address is not None and self.actor.route is not None and sign:
            self.actor.route.on_connection_failed(self.address, self.connected_at, why)

    @property
    def is_unused(self) -> bool:
        """Nobody waits for anything on it: what is still to go out calls off what a close gives up too."""
        return self.sock is not None and not self.awaited_by_id and not self.is_closing

    @property
    def is_idle(self) -> bool:
        """The next answer on it would be that of the next command."""
        return self.is_unused and self.writer.is_empty and not self.response_began_at

    @property
    def has_unwanted_response(self) -> bool:
        """Nobody waits for the answer that is under way; one to the next command would stand behind it."""
        return self.is_unused and self.response_began_at > 0

    def close(self) -> None:
        self.is_closing = True
        if (
            self.task is not None and self.is_task_started
        ):  # a task that never ran would leave its descriptor counted
            self.task.cancel()

    @property
    def can_stall(self) -> bool:
        """Whether something stands half done on it: an answer, or a cancel."""
        return bool(self.response_began_at or not self.is_between_responses or self.writer.cancels)

    def is_stalled(self, now: int) -> bool:
        """The answer that was begun stands still, goes on though nobody waits for it, or a cancel waits.

        Each for as long as a connection may take to come up: the settings say that one is of no use then.
        """
        most = self.context.config.dial_timeout
        endless = self.has_unwanted_response and now - self.response_began_at > most
        silent = not self.is_between_responses and now - self.last_read_at > most
        return endless or silent or self.writer.is_stalled(now, most)

    async def run(self) -> None:
        work = list[asyncio.Task[None]]()
        self.is_task_started = True
        try:
            if self.is_closing or not await self._establish():
                return
            assert self.sock is not None
            parts = self.writer.run(self.sock), self._read(self.sock)
            work = [asyncio.ensure_future(part) for part in parts]
            done, _ = await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            self.report_address_failure("ended")
        except ProtocolError as error:
            self.report_address_failure("an answer that can't be read")
            self.context.checks.event("cache_protocol_error", f"{self.actor.host}: {error}")
        except CommandStalledError:  # the front may be at fault itself
            self.context.checks.count("cache_connections_closed_command_stalled")
        except OSError:  # ETIMEDOUT too, which is the built-in TimeoutError; told by how its attempts end
            self.context.checks.count("cache_connections_reset")
            self.report_address_failure("reset")
        finally:
            for task in work:
                task.cancel()
            try:
                await asyncio.gather(*work, return_exceptions=True)
            finally:  # also where `close` cancels this task as it waits for the other two
                if self.sock is not None:
                    shutdown_and_close(self.sock)
                self.context.descriptors.add_caches(-1)
                self._on_closed()

    async def _establish(self) -> bool:
        """Connect; whether it is up, and else `absent` where that says that the machine is not there."""
        try:
            await self._connect()
        except OSError as error:
            self.is_machine_absent = count_connect_failure(error, self.context.checks, self.actor.host)
            return False
        self.actor.ramp.up()
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
        """The connection is gone: what no byte was taken of never ran, of the rest nothing is known.

        Only a refusal, or none come up in time, says that the machine is not there. One reset as it was new
        is no such sign, nor is one that had been up: the next connection will tell.
        """
        self.is_closing = True
        if self.is_machine_absent:
            self.actor.ramp.failed()
        self.actor.on_connection_closed(self)
        if self.body is not None:
            self.body.release()
            self.body = None
        way, open = self.actor.route, dict(self.awaited_by_id)
        unwritten = dict(self.outgoing)
        self.awaited_by_id.clear()
        for id, what in open.items():
            begun = what in self.started
            if begun and isinstance(what, OpenAttempt):
                what.on_closed(clock.now())
            if way is None:
                unsent = (
                    AttemptOutcome.CONNECT_FAILED if self.is_machine_absent else AttemptOutcome.NOT_PROCESSED
                )
                self.actor.complete_without_response(
                    what, AttemptOutcome.RESET if begun else unsent, clock.now()
                )
            else:
                other = begun and self.address is not None and way.has_alternative(self.address)
                self.actor.move_or_complete(
                    id, what, begun, self.is_machine_absent, unwritten.get(what), other
                )
        for pending in self.writer.cancels:
            self.on_cancel_sent(pending)
        self.writer.cancels.clear()
        self.started.clear()
        self.outgoing.clear()

    def encode_if_permitted(self, what: OpenAttempt | Probe, command: ServeCommand | bytes) -> bytes | None:
        """Return the bytes of the command that is next, as they go out now; None where it must not begin."""
        if not isinstance(what, OpenAttempt):
            assert isinstance(command, bytes)
            return command
        denial = self._find_denial(what)
        if denial is None:
            assert isinstance(command, ServeCommand)
            return command.encode(wait_ms(what, clock.now()))
        self.context.checks.count(f"attempts_denied_{denial.value}")
        if self.outgoing and self.outgoing[0][0] is what:  # else it was given up as its client was looked at
            self.outgoing.popleft()
            self.awaited_by_id.pop(what.request.job_id, None)
            self.actor.complete_without_response(what, AttemptOutcome.NOT_PROCESSED, clock.now())
        return None

    def _find_denial(self, attempt: OpenAttempt) -> Denial | None:
        """What forbids its first byte now; its client is looked at where it was not heard of lately."""
        stale = self.context.are_decisions_stale
        denial = find_denial(attempt, clock.now(), stale is not None and stale())
        if denial is not None:
            return denial
        is_read = attempt.request.receiver.check_client(clock.now())
        return find_denial(attempt, clock.now()) or (None if is_read else Denial.CLIENT_UNREAD)

    async def _read(self, sock: socket.socket) -> None:
        """Answers as they come. A buffer is held while bytes are taken in and not while they are waited for:

        idle connections would use the pool up, and no new one could hear its answer. It is read until nothing
        is left before it is waited for: the loop stops looking at a socket that was reset with bytes unread.
        """
        loop, decoder, pool, row = asyncio.get_running_loop(), lines.Decoder(), self.context.pool, 0
        await self._wait_until_readable(loop, sock)
        try:
            while True:
                while (buffers := pool.acquire()) is None:
                    await asyncio.sleep(NO_BUFFER_PAUSE_S)
                try:
                    view = memoryview(buffers[0])
                    size = sock.recv_into(view)
                    if not size:
                        break
                    await self._process_bytes(decoder, view[:size])
                    row += 1
                except (BlockingIOError, InterruptedError):
                    row = 0
                except OSError as error:
                    if not is_transient(error):
                        raise
                    row = 0
                    await asyncio.sleep(TRANSIENT_ERROR_PAUSE_S)
                finally:
                    pool.release(buffers)
                if not row:
                    await self._wait_until_readable(loop, sock)
                elif row % MAX_CONSECUTIVE_READS == 0:  # others get their turn
                    await asyncio.sleep(0)
        finally:
            self.is_closing = (
                True  # nothing more begins on it, also before the others of this turn have heard
            )
            if self.has_reader:
                loop.remove_reader(sock)
        if not decoder.between:
            raise ProtocolError("the connection ends inside an answer")

    async def _wait_until_readable(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Until there is something to read. The reader of the loop stays, made once a connection."""
        self.readable = loop.create_future()
        if not self.has_reader:
            self.has_reader = True
            loop.add_reader(sock, self._on_readable, loop, sock)
        await self.readable

    def force_read(self) -> None:
        """In this turn of the loop, whether it has told that there is something to read or not."""
        resolve(self.readable)

    def _on_readable(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        if not resolve(self.readable):  # nobody waits for it now; it would ring in each turn
            self.has_reader = False
            loop.remove_reader(sock)

    async def _process_bytes(self, decoder: lines.Decoder, data: memoryview) -> None:
        at = self.last_read_at = clock.now()
        self.touch(at)
        self.is_between_responses = True  # a wait for buffers is no fault of the machine
        for item in decoder.feed(data):
            match item:
                case lines.Head():
                    await self._on_head(item)
                case lines.Piece(piece) if self.body is not None:
                    self.body.append(piece)
                case lines.Whole():
                    self._on_whole(at)
        self.is_between_responses = decoder.between
        if not self.is_between_responses:
            self.response_began_at = self.response_began_at or at

    async def _on_head(self, head: lines.Head) -> None:
        what = self.awaited_by_id.get(head.id)
        self.head, self.response_began_at = head, self.response_began_at or self.last_read_at
        if what is None or what not in self.started:  # a second copy, a late one, or of an id never asked
            self.is_discarding = True
            return
        self.is_discarding = False
        if isinstance(what, Probe) != (head.word in OUTCOME_BY_PROBE_RESPONSE):
            raise ProtocolError(f"the answer {head.word} to another command")
        if isinstance(what, OpenAttempt) and head.word == "unchanged" and not what.request.known_version:
            raise ProtocolError("unchanged, though no copy was named")
        if isinstance(what, OpenAttempt) and head.word == "data":
            self.body = await self.context.allocate_body(head.length)

    def _on_whole(self, at: int) -> None:
        head, body, self.head, self.body, self.response_began_at = self.head, self.body, None, None, 0
        assert head is not None
        if self.address is not None and not self.has_responded and self.actor.route is not None:
            self.has_responded = True
            self.actor.route.on_response(self.address)
        what = None if self.is_discarding else self.awaited_by_id.pop(head.id, None)
        if what is None:  # or given up before its answer was whole
            known = head.id in self.used_ids
            self.context.checks.count("late_responses_dropped" if known else "unsolicited_responses_dropped")
            if body is not None:
                body.release()
        else:
            self.started.discard(what)
            if isinstance(what, OpenAttempt):
                what.on_closed(at)
            self.remember_used_id(head.id)
            if not self.awaited_by_id:
                self.actor.on_connection_unused(self)
            self.actor.complete_with_response(what, head, body, at)
