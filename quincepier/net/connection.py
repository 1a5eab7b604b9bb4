"""One connection to a cache: what is out on it, what is to be written, and its answers as they come."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.interface import AttemptOutcome
from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenAttempt
from quincepier.net.probe import PROBE_WORDS, Probe
from quincepier.net.sockets import (
    LOCAL_ERRORS,
    MOMENTARY_PAUSE,
    NO_BUFFER_PAUSE,
    UNREACHABLE_ERRORS,
    ConnectFailedError,
    connect,
    is_momentary,
    resolve,
    send_all,
    until_writable,
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
    """One connection: what is out on it, what is to be written, which ids are given up."""

    def __init__(self, actor: CacheActor) -> None:
        self.actor, self.shared = actor, actor.shared
        self.sock: socket.socket | None = None
        self.open: dict[str, OpenAttempt | Probe] = {}
        self.ghosts: OrderedDict[str, None] = OrderedDict()
        self.outgoing: deque[tuple[OpenAttempt | Probe | None, ServeCommand | bytes]] = deque()
        self.started: set[OpenAttempt | Probe] = set()  # those of whose command a byte may have been read
        self.cancelling: list[tuple[OpenAttempt, AttemptOutcome]] = []  # called off by the close under way
        self.wake: asyncio.Future[None] | None = None
        self.lost = self.doubtful = self.absent = self.begun = False
        self.heard = 0
        self.address: Address | None = None  # that of several which came up
        self.up_at, self.proved = 0, False  # when, and whether an answer has come over it
        self.used: int = clock.now()
        self.between = True  # no answer is half read
        self.since = 0  # when the answer that is being read began; 0: there is none
        self.surplus = False  # the one being read is passed over
        self.body: PooledBody | None = None
        self.head: lines.Head | None = None
        self.task: asyncio.Task[None] | None = None
        self.ready: asyncio.Future[None] | None = None  # set when there is something to read
        self.reading: bool = False

    def send(self, id: str, what: OpenAttempt | Probe, command: ServeCommand | bytes) -> None:
        self.open[id] = what
        self.write(what, command)

    def write(self, what: OpenAttempt | Probe | None, command: ServeCommand | bytes) -> None:
        self.outgoing.append((what, command))
        self.used = clock.now()
        resolve(self.wake)

    def give_up(self, id: str, attempt: OpenAttempt, ending: AttemptOutcome) -> bool:
        """The attempt is over on our side: it is not sent if it has not been, else called off.

        Returns whether it has ended so; on a connection about to close that is told once it is closed.
        """
        self.open.pop(id, None)
        if attempt not in self.started:
            self.outgoing = deque(item for item in self.outgoing if item[0] is not attempt)
            if self.sock is None and not self.open and self.actor.way is not None:
                self.close()  # nobody waits for its race
            return True
        self.started.discard(attempt)
        self.past(id)
        if self.lost:
            self.cancelling.append((attempt, ending))
            return False
        self._cancel(lines.cancel(id))
        # Nothing heard since it went out: the peer may have lost this connection. New ones try it.
        out_for = clock.now() - attempt.started_at_ns
        silent = self.heard < attempt.started_at_ns and out_for > self.shared.config.dial_timeout
        self.doubtful = self.doubtful or silent
        if silent:
            self.against("silent", owed=True)
        return True

    def _cancel(self, command: bytes) -> None:
        """In this turn where the socket takes it: what is sent in its place comes after it."""
        taken = 0
        if self.sock is not None and not self.outgoing:
            with contextlib.suppress(OSError):  # it waits, or its reader hears that the connection is broken
                taken = self.sock.send(command)
        if taken < len(command):
            self.write(None, command[taken:])

    def take_waiting(self, other: Connection) -> tuple[str, OpenAttempt | Probe, ServeCommand | bytes] | None:
        """The first that waits for this dial and may go over the other connection: it waits here no more."""
        for what, command in self.outgoing:
            id = next((id for id, one in self.open.items() if one is what), None)
            if what is not None and id is not None and id not in other.ghosts:
                self.outgoing.remove((what, command))
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
        return self.unused and not self.outgoing and not self.since

    @property
    def unheeded(self) -> bool:
        """Nobody waits for the answer that is under way; one to the next command would stand behind it."""
        return self.unused and self.since > 0

    def close(self) -> None:
        self.lost = True
        if self.task is not None and self.begun:  # a task that never ran would leave its descriptor counted
            self.task.cancel()

    def stalled(self, now: int) -> bool:
        """The answer that was begun stands still, or goes on though nobody waits for it.

        Either for as long as a connection may take to come up.
        """
        most = self.shared.config.dial_timeout
        endless = self.unheeded and now - self.since > most
        return endless or (not self.between and now - self.heard > most)

    async def run(self) -> None:
        work = list[asyncio.Task[None]]()
        self.begun = True
        try:
            if self.lost or not await self._come_up():
                return
            assert self.sock is not None
            parts = self._write(self.sock), self._read(self.sock)
            work = [asyncio.ensure_future(part) for part in parts]
            done, _ = await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            self.against("ended")
        except ProtocolError as error:
            self.against("an answer that can't be read")
            self.shared.checks.event("cache_protocol_error", f"{self.actor.host}: {error}")
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
                    self.sock.close()
                self.shared.descriptors.cache(-1)
                self._drop()

    async def _come_up(self) -> bool:
        """Connect; whether it is up, and else `absent` where that says that the machine is not there."""
        checks = self.shared.checks
        try:
            await self._connect()
        except ConnectFailedError as error:
            self.absent = error.absent
            checks.count("cache_connections_failed_all_addresses")
        except TimeoutError:
            self.absent = True
            checks.count("cache_connect_timeouts")
        except ConnectionRefusedError:
            self.absent = True
            checks.count("cache_connections_refused")
        except OSError as error:
            if error.errno in LOCAL_ERRORS:
                checks.event("cache_connect_failed_local_resources", f"{self.actor.host}: {error}")
            elif error.errno in UNREACHABLE_ERRORS:
                self.absent = True
                checks.count("cache_connections_unreachable")
            else:
                checks.count("cache_connections_reset")
        else:
            self.actor.ramp.up()
            return True
        return False

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
        unwritten = {what: command for what, command in self.outgoing if what is not None}
        self.open.clear()
        for id, what in open.items():
            begun = what in self.started
            if way is None:
                unsent = AttemptOutcome.CONNECT_FAILED if self.absent else AttemptOutcome.NOT_PROCESSED
                self.actor.ended(what, AttemptOutcome.RESET if begun else unsent, clock.now())
            else:
                other = begun and self.address is not None and way.another(self.address)
                self.actor.broken(id, what, begun, self.absent, unwritten.get(what), other)
        for attempt, ending in self.cancelling:  # the close has called them off
            self.actor.ended(attempt, ending, clock.now())
        self.cancelling.clear()
        self.started.clear()
        self.outgoing.clear()

    async def _write(self, sock: socket.socket) -> None:
        """What is to go out, in its order.

        A command leaves the queue once it is out whole, so no connection in the middle of one is idle; as
        long as no byte of it was taken it can be given up.
        """
        loop = asyncio.get_running_loop()
        while not self.lost:
            if not self.outgoing:
                self.wake = loop.create_future()
                await self.wake
                continue
            what, command = self.outgoing[0]
            if what is not None and self.shared.means.pauses.is_settling(clock.now()):
                await self.shared.means.pauses.settled.wait()  # what came in the pause is heard before
                continue
            data = self._permitted(what, command)
            if data is None:
                continue
            try:
                now = clock.now()
                taken = sock.send(data)  # as sock_sendall begins; it would not tell whether any was taken
            except (BlockingIOError, InterruptedError):
                await until_writable(sock)
                continue  # it may be given up by now
            except OSError as error:
                if not is_momentary(error):
                    raise
                await asyncio.sleep(MOMENTARY_PAUSE)
                continue
            if what is not None:
                self.started.add(what)
            if isinstance(what, OpenAttempt):
                what.first_byte_at_ns = now
            if taken < len(data):
                await send_all(sock, memoryview(data)[taken:])
            self.outgoing.popleft()

    def _permitted(self, what: OpenAttempt | Probe | None, command: ServeCommand | bytes) -> bytes | None:
        """The bytes of the command that is next, as they go out now; None where it must not begin."""
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
        attempt.request.receiver.check_client(clock.now())
        return find_denial(attempt, clock.now())

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
        if not decoder.between:
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
        at = self.heard = self.used = clock.now()
        self.between = True  # a wait for buffers is no fault of the machine
        for item in decoder.feed(data):
            match item:
                case lines.Head():
                    await self._began(item)
                case lines.Piece(piece) if self.body is not None:
                    self.body.append(piece)
                case lines.Whole():
                    self._whole(at)
        self.between = decoder.between
        if not self.between:
            self.since = self.since or at

    async def _began(self, head: lines.Head) -> None:
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
            self.past(head.id)
            if not self.open:
                self.actor.freed(self)
            self.actor.answered(what, head, body, at)
