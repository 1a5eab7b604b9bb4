"""The actor of one cache, parent or the origin: attempts out, endings in, over few connections.

It opens a connection where none has a free stream, and says how each attempt ended; where to ask and
whether to ask again is the module's.
"""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.config import FrontConfig
from quincepier.interface import Ending
from quincepier.memory.pool import Body
from quincepier.memory.requests import OpenAttempt
from quincepier.net.actor import Actor
from quincepier.net.means import Means
from quincepier.net.messages import CallOff, Check, Checked, Ended, Leave, Recall, Send, ToCache
from quincepier.net.sockets import NO_BUFFER_PAUSE, Unreached, Unsent, connect, send_proved
from quincepier.recovery import Ramp
from quincepier.translate import ENDINGS, note_of, report_of, waited_of
from quincepier.wire import lines
from quincepier.wire.errors import ProtocolError

if TYPE_CHECKING:  # imported only where machines have several addresses
    from quincepier.addresses import Address
    from quincepier.net.dialer import Dialer, Way

MAILBOX_MOST = 4096
READS = 8  # in a row
GHOSTS_MOST = 256  # ids that were out on one connection; none of them goes out there again
PROBE_WORDS = {"well": Ending.OK, "ill": Ending.ERROR}


class Probe:
    def __init__(self, tag: str, at: int) -> None:
        self.tag, self.at = tag, at


class Shared:
    """What all cache actors use, and who waits for buffers."""

    def __init__(self, means: Means, make_room: Callable[[], None]) -> None:
        self.means, self.checks, self.pool = means, means.checks, means.pool
        self.descriptors, self.module, self.make_room = means.descriptors, means.module, make_room
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.actors: dict[int, CacheActor] = {}
        self.dialer: Dialer | None = None  # where the operators' file has several addresses a machine
        self.stale: Callable[[], bool] | None = None  # whether what was decided before may not hold any more
        self.pool.on_free = self.freed

    @property
    def config(self) -> FrontConfig:
        return self.means.config

    def freed(self) -> None:
        while self.waiting:
            room = self.waiting.popleft()
            if not room.done():
                room.set_result(None)

    def share(self) -> int:
        """How many connections one machine may have while others have some too."""
        users = sum(1 for actor in self.actors.values() if actor.connections)
        return max(self.descriptors.caches_most // (users + 1), 1)

    def descriptor(self) -> bool:
        """Whether there is one for a connection more; the one idle for longest goes where there is none."""
        if self.descriptors.caches < self.descriptors.caches_most:
            return True
        idle = [c for actor in self.actors.values() for c in actor.connections if c.idle]
        if idle:
            min(idle, key=lambda c: c.used).close()
        return bool(idle)

    async def room(self, length: int) -> Body:
        """Buffers for so many bytes; nothing more is read from the connection until they are there."""
        while (body := Body.of_length(self.pool, length)) is None:
            self.checks.count("waits for buffers")
            self.make_room()
            freed = asyncio.get_running_loop().create_future()
            self.waiting.append(freed)
            await freed
        return body


class Connection:
    """One connection: what is out on it, what is to be written, which ids are given up."""

    def __init__(self, actor: CacheActor) -> None:
        self.actor, self.shared = actor, actor.shared
        self.sock: socket.socket | None = None
        self.open: dict[str, OpenAttempt | Probe] = {}
        self.ghosts: OrderedDict[str, None] = OrderedDict()
        self.outgoing: deque[tuple[OpenAttempt | Probe | None, bytes]] = deque()
        self.started: set[OpenAttempt | Probe] = set()  # those whose command may have been written whole
        self.wake: asyncio.Future[None] | None = None
        self.lost = self.doubtful = self.absent = self.begun = False
        self.heard = 0
        self.address: Address | None = None  # that of several which came up
        self.up_at, self.proved = 0, False  # when, and whether an answer has come over it
        self.used: int = clock.now()
        self.between = True  # no answer is half read
        self.surplus = False  # the one being read is passed over
        self.body: Body | None = None
        self.head: lines.Head | None = None
        self.task: asyncio.Task[None] | None = None
        self.ready: asyncio.Future[None] | None = None  # set when there is something to read
        self.reading = False

    def send(self, id: str, what: OpenAttempt | Probe, command: bytes) -> None:
        self.open[id] = what
        self.write(what, command)

    def write(self, what: OpenAttempt | Probe | None, command: bytes) -> None:
        self.outgoing.append((what, command))
        self.used = clock.now()
        if self.wake is not None and not self.wake.done():
            self.wake.set_result(None)

    def give_up(self, id: str, attempt: OpenAttempt) -> None:
        """The attempt is over on our side: it is not sent if it has not been, else called off."""
        self.open.pop(id, None)
        if attempt not in self.started:
            self.outgoing = deque(item for item in self.outgoing if item[0] is not attempt)
            if self.sock is None and not self.open and self.actor.way is not None:
                self.close()  # nobody waits for its race
            return
        self.started.discard(attempt)
        self.past(id)
        self.write(None, lines.cancel(id))
        # Nothing heard since it went out: the peer may have lost this connection. New ones try it.
        silent = self.heard < attempt.at and clock.now() - attempt.at > self.shared.config.dial_timeout
        self.doubtful = self.doubtful or silent
        if silent:
            self.against("silent", owed=True)

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
    def idle(self) -> bool:
        return self.sock is not None and not self.open and not self.outgoing and not self.lost

    def close(self) -> None:
        self.lost = True
        if self.task is not None and self.begun:  # a task that never ran would leave its descriptor counted
            self.task.cancel()

    def stalled(self, now: int) -> bool:
        """An answer was begun and has not gone on for as long as a connection may take to come up."""
        return not self.between and now - self.heard > self.shared.config.dial_timeout

    async def run(self) -> None:
        config, work = self.shared.config, list[asyncio.Task[None]]()
        self.begun = True
        try:
            if self.lost:
                return
            if self.actor.way is not None:
                self.sock, self.address = await self.actor.way.connect()
                self.up_at = clock.now()
            else:
                assert self.actor.address is not None
                self.sock = await connect(self.actor.address, config.dial_timeout / clock.SECOND)
            self.actor.ramp.up()
            parts = self._write(self.sock), self._read(self.sock)
            work = [asyncio.ensure_future(part) for part in parts]
            done, _ = await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            self.against("ended")
        except ProtocolError as error:
            self.against("an answer that can't be read")
            self.shared.checks.event("bad answer of a cache", f"{self.actor.host}: {error}")
        except Unreached as error:
            self.absent = error.absent
            self.shared.checks.count("cache connections not up over any address")
        except TimeoutError:
            self.absent = True
            self.shared.checks.count("cache connections not up in time")
        except ConnectionRefusedError:
            self.absent = True
            self.shared.checks.count("cache connections refused")
        except OSError:  # told to the module by how its attempts end
            self.shared.checks.count("cache connections reset")
            self.against("reset")
        finally:
            for task in work:
                task.cancel()
            await asyncio.gather(*work, return_exceptions=True)
            if self.sock is not None:
                self.sock.close()
            self.shared.descriptors.cache(-1)
            self._drop()

    def _drop(self) -> None:
        """The connection is gone: what was not written whole never ran, of the rest nothing is known.

        Only a refusal, or none come up in time, says that the machine is not there. One reset as it was new
        is no such sign, nor is one that had been up: the next connection will tell.
        """
        self.lost = True
        if self.absent:
            self.actor.ramp.failed()
        if self in self.actor.connections:
            self.actor.connections.remove(self)
        if self.body is not None:
            self.body.release()
            self.body = None
        way, open = self.actor.way, dict(self.open)
        unwritten = {what: command for what, command in self.outgoing if what is not None}
        self.open.clear()
        for id, what in open.items():
            begun = what in self.started
            if way is None:
                unsent = Ending.CONNECT_FAILED if self.absent else Ending.MOOT
                self.actor.ended(what, Ending.RESET if begun else unsent, clock.now())
            else:
                other = begun and self.address is not None and way.another(self.address)
                self.actor.broken(id, what, begun, self.absent, unwritten.get(what), other)
        self.started.clear()
        self.outgoing.clear()

    async def _write(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            while not self.outgoing:
                self.wake = loop.create_future()
                await self.wake
            what, command = self.outgoing.popleft()
            stale = self.shared.stale
            if isinstance(what, OpenAttempt) and (what.recalled or (stale is not None and stale())):
                # looked at right before its first byte: a front that stood still may have lost its lease
                self.open.pop(what.request.job, None)
                self.actor.ended(what, Ending.MOOT, clock.now())
                continue
            if what is not None:
                self.started.add(what)
            try:
                if self.address is None:
                    await loop.sock_sendall(sock, command)
                else:
                    await send_proved(sock, command)
            except Unsent:
                if what is not None:
                    self.started.discard(what)
                    self.outgoing.appendleft((what, command))
                raise
            except OSError:  # its last bytes were not taken
                # what went out in part over one of several addresses counts as read
                if what is not None and self.address is None:
                    self.started.discard(what)
                raise

    async def _read(self, sock: socket.socket) -> None:
        """Answers as they come. A buffer is held while bytes are taken in and not while they are waited for:

        idle connections would use the pool up, and no new one could hear its answer. It is read until nothing
        is left before it is waited for: the loop stops looking at a socket that was reset with bytes unread.
        """
        loop, decoder, pool, row = asyncio.get_running_loop(), lines.Decoder(), self.shared.pool, 0
        await self._readable(loop, sock)
        try:
            while True:
                while (buffers := pool.take()) is None:
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
                finally:
                    pool.give(buffers)
                if not row:
                    await self._readable(loop, sock)
                elif row % READS == 0:  # others get their turn
                    await asyncio.sleep(0)
        finally:
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

    def _rung(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        if self.ready is not None and not self.ready.done():
            self.ready.set_result(None)
        else:  # nobody waits for it now; it would ring in each turn
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

    async def _began(self, head: lines.Head) -> None:
        what = self.open.get(head.id)
        self.head = head
        if what is None or what not in self.started:  # a second copy, a late one, or of an id never asked
            self.surplus = True
            return
        self.surplus = False
        if isinstance(what, Probe) != (head.word in PROBE_WORDS):
            raise ProtocolError(f"the answer {head.word} to another command")
        if isinstance(what, OpenAttempt) and head.word == "unchanged" and not what.request.known:
            raise ProtocolError("unchanged, though no copy was named")
        if isinstance(what, OpenAttempt) and head.word == "data":
            self.body = await self.shared.room(head.length)

    def _whole(self, at: int) -> None:
        head, body, self.head, self.body = self.head, self.body, None, None
        assert head is not None
        if self.address is not None and not self.proved and self.actor.way is not None:
            self.proved = True
            self.actor.way.heard(self.address)
        what = None if self.surplus else self.open.pop(head.id, None)
        if what is None:  # or given up before its answer was whole
            known = head.id in self.ghosts
            self.shared.checks.count("late or second answers dropped" if known else "unasked answers dropped")
            if body is not None:
                body.release()
        else:
            self.started.discard(what)
            self.past(head.id)
            if not self.open:
                self.actor.freed(self)
            self.actor.answered(what, head, body, at)


class CacheActor(Actor[ToCache]):
    name = "cache"

    def __init__(
        self, shared: Shared, number: int, host: str, address: tuple[str, int] | None, fronts: int = 1
    ) -> None:
        """`fronts` are those that may ask this machine."""
        super().__init__(shared.checks, MAILBOX_MOST)
        self.ramp = Ramp(fronts)
        self.shared, self.number, self.host, self.address = shared, number, host, address
        self.way: Way | None = None if shared.dialer is None else shared.dialer.way(number, host)
        self.moves: dict[OpenAttempt | Probe, int] = {}
        self.connections: list[Connection] = []
        self.out: dict[OpenAttempt | Probe, tuple[str, Connection]] = {}
        self.timers: dict[OpenAttempt | Probe, asyncio.TimerHandle] = {}
        self.leaving, self.probes = False, 0

    def handle(self, message: ToCache) -> None:
        match message:
            case Send(attempt, command, timeout):
                self._send(attempt.request.job, attempt, command, timeout)
            case CallOff(attempt):
                self._give_up(attempt, Ending.CANCELLED)
            case Recall(attempt):
                if attempt in self.out and attempt not in self.out[attempt][1].started:
                    self._give_up(attempt, Ending.MOOT)
            case Check(gauges):
                self.probes += 1
                tag = f"probe{self.probes}"
                command = lines.gauges(tag) if gauges else lines.health(tag)
                self._send(tag, Probe(tag, clock.now()), command, self.shared.config.dial_timeout)
            case Leave():
                self.leaving = True

    def spoiled(self, message: ToCache) -> None:
        """An attempt that could not be handled may have run or not."""
        if isinstance(message, Send | CallOff) and not message.attempt.ended:
            self.ended(message.attempt, Ending.RESET, clock.now())

    def _send(self, id: str, what: OpenAttempt | Probe, command: bytes, timeout: int) -> None:
        if isinstance(what, OpenAttempt) and what.recalled:  # as it waited in the mailbox
            self.ended(what, Ending.MOOT, clock.now())
            return
        connection = self._connection(id)
        if connection is None:
            self.checks.event("no descriptor for a cache connection", self.host)
            self.ended(what, Ending.MOOT, clock.now())
            return
        self.out[what] = id, connection
        loop = asyncio.get_running_loop()
        self.timers[what] = loop.call_later(timeout / clock.SECOND, self._give_up, what, Ending.TIMEOUT)
        connection.send(id, what, command)

    def broken(
        self,
        id: str,
        what: OpenAttempt | Probe,
        begun: bool,
        absent: bool,
        command: bytes | None,
        other: bool,
    ) -> None:
        """Its connection ended, one of several addresses: on over another, or told as it is."""
        assert self.way is not None
        recalled = self.leaving or (isinstance(what, OpenAttempt) and what.recalled)
        most = len(self.way.book.entries) if command is not None else 0
        ending = self.way.fate(begun, absent, recalled, self.moves.get(what, 0), most)
        connection = self._connection(id) if ending is None else None
        if ending is not None or connection is None or command is None:
            self.ended(what, ending or Ending.MOOT, clock.now(), other)
            return
        self.moves[what] = self.moves.get(what, 0) + 1
        self.checks.count("attempts gone on over another connection")
        self.out[what] = id, connection
        connection.send(id, what, command)

    def _connection(self, id: str) -> Connection | None:
        """One for each while descriptors allow, since a spoilt answer ends all that is out with it.

        The idle one used last; else one that is coming up, where no more may be dialled at once yet; else a
        new one, within this machine's share; else the one with least on it.
        """
        for c in reversed(self.connections):  # those used last are at the end
            if c.idle and not c.doubtful and id not in c.ghosts and not self._rests(c):
                return c
        now, streams = clock.now(), self.shared.config.streams
        able = [c for c in self.connections if not (c.lost or c.doubtful or id in c.ghosts or c.stalled(now))]
        coming = [c for c in able if c.sock is None]
        if len(coming) >= self.ramp.most:
            ride = min(coming, key=lambda c: len(c.open))
            if len(ride.open) < streams and id not in ride.open:
                return ride
        if len(self.connections) >= self.shared.share() or not self.shared.descriptor():
            busy = [c for c in able if len(c.open) < streams and id not in c.open]
            if busy:
                return min(busy, key=lambda c: (len(c.open), c.sock is None))
            if not self.shared.descriptor():
                return None
        self.shared.descriptors.cache(1)
        connection = Connection(self)
        self.connections.append(connection)
        connection.task = self.spawn(connection.run())
        return connection

    def _rests(self, connection: Connection) -> bool:
        """Whether its address is set aside while another is not."""
        address, way = connection.address, self.way
        return address is not None and way is not None and way.resting(address)

    def freed(self, connection: Connection) -> None:
        """It has nothing out: the next attempt takes it first, and those left over grow old and close."""
        self.connections.remove(connection)
        self.connections.append(connection)

    def _give_up(self, what: OpenAttempt | Probe, ending: Ending) -> None:
        if what in self.out:
            id, connection = self.out[what]
            if isinstance(what, OpenAttempt):
                connection.give_up(id, what)
            else:
                connection.open.pop(id, None)
                connection.past(id)
            self.ended(what, ending, clock.now())

    def _over(self, what: OpenAttempt | Probe) -> None:
        self.out.pop(what, None)
        self.moves.pop(what, None)
        if (timer := self.timers.pop(what, None)) is not None:
            timer.cancel()

    def ended(self, what: OpenAttempt | Probe, ending: Ending, at: int, another_way: bool = False) -> None:
        """Without an answer."""
        self._over(what)
        if isinstance(what, Probe):
            self.shared.module.push(Checked(self.number, ending, at - what.at, ()))
        elif self.checks.must(not what.ended, "an attempt ends once"):
            what.ended = True
            self.shared.module.push(Ended(what, ending, at, another_way=another_way))

    def answered(self, what: OpenAttempt | Probe, head: lines.Head, body: Body | None, at: int) -> None:
        self._over(what)
        report = report_of(head, self.shared.config.report_fields)
        if isinstance(what, Probe):
            self.shared.module.push(Checked(self.number, PROBE_WORDS[head.word], at - what.at, report))
        elif self.checks.must(not what.ended, "an attempt ends once"):
            what.ended = True
            still = head.word == "unchanged"
            end = Ended(what, ENDINGS[head.word], at, note_of(head), waited_of(head), report, body, still)
            self.shared.module.push(end)

    def cancel(self) -> None:
        self.leaving = True  # nothing goes on elsewhere
        super().cancel()

    def sweep(self, now: int, late: bool) -> None:
        """Close what has been idle for as long as the settings say, less a second to be the first."""
        idle = max(self.shared.config.idle - clock.SECOND, self.shared.config.idle // 2)
        for connection in list(self.connections):
            done = now - connection.used > idle or self.leaving or connection.doubtful
            if (done and connection.idle) or (not late and connection.stalled(now)):
                if not connection.between:
                    connection.against("half an answer, then nothing")
                    self.checks.event("half an answer of a cache, then nothing", self.host)
                connection.close()

    def move(self, address: tuple[str, int] | None, dials: tuple[str, ...], anew: bool = False) -> None:
        """The list tells the host's addresses: new connections go there, those to others end once idle."""
        if self.way is not None:
            if anew or dials != self.way.dials:
                left = self.way.replace(dials)
                for connection in self.connections:
                    connection.doubtful = connection.doubtful or connection.address in left
        elif address is not None and address != self.address:
            self.address = address
            for connection in self.connections:
                connection.doubtful = True
