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
from quincepier.net.connect_failures import note_connect_failure
from quincepier.net.probe import PROBE_WORDS, Probe
from quincepier.net.sockets import (
    MOMENTARY_PAUSE,
    NO_BUFFER_PAUSE,
    connect,
    end_now,
    is_momentary,
    resolve,
)
from quincepier.policy.send_permission import Denial, find_denial, wait_ms
from quincepier.wire import lines
from quincepier.wire.errors import ProtocolError
from quincepier.wire.lines import ServeCommand

if TYPE_CHECKING:
    from quincepier.addresses import Address  # imported only where machines have several addresses
    from quincepier.net.cache import CacheActor

READS = 8  # in a row
GHOSTS_MOST = 256  # ids that were out on one connection; none of them goes out there again


class Connection:
    """One connection: what is out on it, which ids are given up, and what ends with it."""

    def __init__(self, actor: CacheActor) -> None:
        self.actor, self.shared = actor, actor.shared
        self.sock: socket.socket | None = None
        self.open: dict[str, OpenAttempt | Probe] = {}
        self.ghosts: OrderedDict[str, None] = OrderedDict()
        self.writer = CommandWriter(self, self.shared.means.pauses)
        self.started: set[OpenAttempt | Probe] = set()  # those of whose command a byte may have been read
        self.lost = self.doubtful = self.absent = self.begun = False
        self.heard = 0
        self.address: Address | None = None  # that of several which came up
        self.up_at, self.proved = 0, False  # when, and whether an answer has come over it
        self.used: int = clock.now()
        self.between = True  # no answer is half read
        self.since = 0  # when the answer that is being read began; 0: there is none
        self.surplus = False  # the one being read is passed over
        self.body: PooledBody | None = None
        self.head: lines.ResponseHead | None = None
        self.task: asyncio.Task[None] | None = None
        self.ready: asyncio.Future[None] | None = None  # set when there is something to read
        self.reading: bool = False

    @property
    def outgoing(self) -> deque[tuple[OpenAttempt | Probe, ServeCommand | bytes]]:
        """The commands that are not out whole, in their order."""
        return self.writer.queue

    def touch(self, now: int) -> None:
        """Note that it is used now, ns."""
        self.used = now
        if self in self.shared.by_use:  # else it has ended
            self.shared.by_use.move_to_end(self)

    def send(self, id: str, what: OpenAttempt | Probe, command: ServeCommand | bytes) -> None:
        """Queue a command; it goes out as soon as the connection is up and its socket takes it."""
        self.open[id] = what
        self.touch(clock.now())
        self.writer.add(what, command)

    def cancel(self, id: str, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Nobody waits for an attempt any more: it is not sent if it has not been, else cancelled.

        Its outcome is told once it is closed, since another may begin in its place then; at once where its
        request is over, as nothing begins for that any more.
        """
        self.open.pop(id, None)
        if attempt not in self.started:
            self._remove(attempt, outcome)
            return
        self.started.discard(attempt)
        self.past(id)
        attempt.on_cancelled()
        # Nothing heard since it went out: the peer may have lost this connection. New ones try it.
        now = clock.now()
        silent = self.heard < attempt.started_at_ns < now - self.shared.config.dial_timeout and not self.lost
        self.touch(now)
        self.writer.cancel(None if self.lost else self.sock, attempt, outcome)
        if attempt.request.is_finished and not attempt.is_ended:
            self.actor.ended(attempt, outcome, now)
        self.doubtful = self.doubtful or silent
        if silent:
            self.against("silent", owed=True)

    def abandon(self, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Close, as an exception left an attempt half handled; its outcome is told once that is done."""
        if attempt not in self.open.values() and not self.writer.has_cancel(attempt):
            self.writer.add_cancel(attempt, outcome)
        self.close()

    def _remove(self, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Take an attempt back of which no byte went out."""
        self.writer.remove(attempt)
        if self.sock is None and not self.open and self.actor.way is not None:
            self.close()  # nobody waits for its race
        self.actor.ended(attempt, outcome, clock.now())

    def on_cancel_sent(self, pending: PendingCancel) -> None:
        """Its cancel is out whole, or the connection closed: another attempt may begin in its place."""
        now = clock.now()
        pending.attempt.on_closed(now)
        if not pending.attempt.is_ended:
            self.actor.ended(pending.attempt, pending.outcome, now)

    def on_first_byte(self, what: OpenAttempt | Probe, now_ns: int) -> None:
        """A byte of its command was taken: the cache may have read it."""
        self.started.add(what)
        if isinstance(what, OpenAttempt):
            what.on_first_byte(now_ns)

    def take_waiting(self, other: Connection) -> tuple[str, OpenAttempt | Probe, ServeCommand | bytes] | None:
        """The first that waits for this dial and may go over the other connection: it waits here no more."""
        for what, command in self.outgoing:
            id = next((id for id, one in self.open.items() if one is what), None)
            if id is not None and id not in other.ghosts:
                self.writer.remove(what)
                del self.open[id]
                return id, what, command
        return None

    def past(self, id: str) -> None:
        self.ghosts[id] = None
        if len(self.ghosts) > GHOSTS_MOST:
            self.ghosts.popitem(last=False)

    def against(self, why: str, owed: bool = False) -> None:
        """A sign against its address and not the machine: no answer where one was owed, or none ever."""
        sign = owed or self.started or not self.proved
        if self.address is not None and self.actor.way is not None and sign:
            self.actor.way.broke(self.address, self.up_at, why)

    @property
    def unused(self) -> bool:
        """Nobody waits for anything on it: what is still to go out calls off what a close gives up too."""
        return self.sock is not None and not self.open and not self.lost

    @property
    def idle(self) -> bool:
        """The next answer on it would be that of the next command."""
        return self.unused and self.writer.is_empty and not self.since

    @property
    def unheeded(self) -> bool:
        """Nobody waits for the answer that is under way; one to the next command would stand behind it."""
        return self.unused and self.since > 0

    def close(self) -> None:
        self.lost = True
        if self.task is not None and self.begun:  # a task that never ran would leave its descriptor counted
            self.task.cancel()

    @property
    def may_stall(self) -> bool:
        """Whether something stands half done on it: an answer, or a cancel."""
        return bool(self.since or not self.between or self.writer.cancels)

    def stalled(self, now: int) -> bool:
        """The answer that was begun stands still, goes on though nobody waits for it, or a cancel waits.

        Each for as long as a connection may take to come up: the settings say that one is of no use then.
        """
        most = self.shared.config.dial_timeout
        endless = self.unheeded and now - self.since > most
        silent = not self.between and now - self.heard > most
        return endless or silent or self.writer.is_stalled(now, most)

    async def run(self) -> None:
        work = list[asyncio.Task[None]]()
        self.begun = True
        try:
            if self.lost or not await self._come_up():
                return
            assert self.sock is not None
            parts = self.writer.run(self.sock), self._read(self.sock)
            work = [asyncio.ensure_future(part) for part in parts]
            done, _ = await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            self.against("ended")
        except ProtocolError as error:
            self.against("an answer that can't be read")
            self.shared.checks.event("cache_protocol_error", f"{self.actor.host}: {error}")
        except CommandStalledError:  # the front may be at fault itself
            self.shared.checks.count("cache_connections_closed_command_stalled")
        except OSError:  # ETIMEDOUT too, which is the built-in TimeoutError; told by how its attempts end
            self.shared.checks.count("cache_connections_reset")
            self.against("reset")
        finally:
            for task in work:
                task.cancel()
            try:
                await asyncio.gather(*work, return_exceptions=True)
            finally:  # also where `close` cancels this task as it waits for the other two
                if self.sock is not None:
                    end_now(self.sock)
                self.shared.descriptors.cache(-1)
                self._drop()

    async def _come_up(self) -> bool:
        """Connect; whether it is up, and else `absent` where that says that the machine is not there."""
        try:
            await self._connect()
        except OSError as error:
            self.absent = note_connect_failure(error, self.shared.checks, self.actor.host)
            return False
        self.actor.ramp.up()
        return True

    async def _connect(self) -> None:
        if self.actor.way is not None:
            self.sock, self.address = await self.actor.way.connect()
            self.up_at = clock.now()
        else:
            assert self.actor.address is not None
            timeout = self.shared.config.dial_timeout / clock.SECOND
            self.sock = await connect(self.actor.address, timeout, self.shared.checks)

    def _drop(self) -> None:
        """The connection is gone: what no byte was taken of never ran, of the rest nothing is known.

        Only a refusal, or none come up in time, says that the machine is not there. One reset as it was new
        is no such sign, nor is one that had been up: the next connection will tell.
        """
        self.lost = True
        if self.absent:
            self.actor.ramp.failed()
        self.actor.dropped(self)
        if self.body is not None:
            self.body.release()
            self.body = None
        way, open = self.actor.way, dict(self.open)
        unwritten = dict(self.outgoing)
        self.open.clear()
        for id, what in open.items():
            begun = what in self.started
            if begun and isinstance(what, OpenAttempt):
                what.on_closed(clock.now())
            if way is None:
                unsent = AttemptOutcome.CONNECT_FAILED if self.absent else AttemptOutcome.NOT_PROCESSED
                self.actor.ended(what, AttemptOutcome.RESET if begun else unsent, clock.now())
            else:
                other = begun and self.address is not None and way.another(self.address)
                self.actor.broken(id, what, begun, self.absent, unwritten.get(what), other)
        for pending in self.writer.cancels:
            self.on_cancel_sent(pending)
        self.writer.cancels.clear()
        self.started.clear()
        self.outgoing.clear()

    def permit(self, what: OpenAttempt | Probe, command: ServeCommand | bytes) -> bytes | None:
        """Return the bytes of the command that is next, as they go out now; None where it must not begin."""
        if not isinstance(what, OpenAttempt):
            assert isinstance(command, bytes)
            return command
        denial = self._find_denial(what)
        if denial is None:
            assert isinstance(command, ServeCommand)
            return command.encode(wait_ms(what, clock.now()))
        self.shared.checks.count(f"attempts_denied_{denial.value}")
        if self.outgoing and self.outgoing[0][0] is what:  # else it was given up as its client was looked at
            self.outgoing.popleft()
            self.open.pop(what.request.job_id, None)
            self.actor.ended(what, AttemptOutcome.NOT_PROCESSED, clock.now())
        return None

    def _find_denial(self, attempt: OpenAttempt) -> Denial | None:
        """What forbids its first byte now; its client is looked at where it was not heard of lately."""
        stale = self.shared.stale
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
        loop, decoder, pool, row = asyncio.get_running_loop(), lines.Decoder(), self.shared.pool, 0
        await self._readable(loop, sock)
        try:
            while True:
                while (buffers := pool.acquire()) is None:
                    await asyncio.sleep(NO_BUFFER_PAUSE)
                try:
                    view = memoryview(buffers[0])
                    size = sock.recv_into(view)
                    if not size:
                        break
                    await self._take_in(decoder, view[:size])
                    row += 1
                except (BlockingIOError, InterruptedError):
                    row = 0
                except OSError as error:
                    if not is_momentary(error):
                        raise
                    row = 0
                    await asyncio.sleep(MOMENTARY_PAUSE)
                finally:
                    pool.release(buffers)
                if not row:
                    await self._readable(loop, sock)
                elif row % READS == 0:  # others get their turn
                    await asyncio.sleep(0)
        finally:
            self.lost = True  # nothing more begins on it, also before the others of this turn have heard
            if self.reading:
                loop.remove_reader(sock)
        if not decoder.is_between_responses:
            raise ProtocolError("the connection ends inside an answer")

    async def _readable(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Until there is something to read. The reader of the loop stays, made once a connection."""
        self.ready = loop.create_future()
        if not self.reading:
            self.reading = True
            loop.add_reader(sock, self._rung, loop, sock)
        await self.ready

    def read_on(self) -> None:
        """In this turn of the loop, whether it has told that there is something to read or not."""
        resolve(self.ready)

    def _rung(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        if not resolve(self.ready):  # nobody waits for it now; it would ring in each turn
            self.reading = False
            loop.remove_reader(sock)

    async def _take_in(self, decoder: lines.Decoder, data: memoryview) -> None:
        at = self.heard = clock.now()
        self.touch(at)
        self.between = True  # a wait for buffers is no fault of the machine
        for item in decoder.feed(data):
            match item:
                case lines.ResponseHead():
                    await self._began(item)
                case lines.ResponseData(piece) if self.body is not None:
                    self.body.append(piece)
                case lines.ResponseEnd():
                    self._whole(at)
        self.between = decoder.is_between_responses
        if not self.between:
            self.since = self.since or at

    async def _began(self, head: lines.ResponseHead) -> None:
        what = self.open.get(head.id)
        self.head, self.since = head, self.since or self.heard
        if what is None or what not in self.started:  # a second copy, a late one, or of an id never asked
            self.surplus = True
            return
        self.surplus = False
        if isinstance(what, Probe) != (head.word in PROBE_WORDS):
            raise ProtocolError(f"the answer {head.word} to another command")
        if isinstance(what, OpenAttempt) and head.word == "unchanged" and not what.request.known_version:
            raise ProtocolError("unchanged, though no copy was named")
        if isinstance(what, OpenAttempt) and head.word == "data":
            self.body = await self.shared.room(head.length)

    def _whole(self, at: int) -> None:
        head, body, self.head, self.body, self.since = self.head, self.body, None, None, 0
        assert head is not None
        if self.address is not None and not self.proved and self.actor.way is not None:
            self.proved = True
            self.actor.way.heard(self.address)
        what = None if self.surplus else self.open.pop(head.id, None)
        if what is None:  # or given up before its answer was whole
            known = head.id in self.ghosts
            self.shared.checks.count("late_responses_dropped" if known else "unsolicited_responses_dropped")
            if body is not None:
                body.release()
        else:
            self.started.discard(what)
            if isinstance(what, OpenAttempt):
                what.on_closed(at)
            self.past(head.id)
            if not self.open:
                self.actor.freed(self)
            self.actor.answered(what, head, body, at)
