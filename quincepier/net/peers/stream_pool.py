"""One stream to each peer: dialled when there is something to say, shared by both sides, closed when idle.

Where both dial at once the stream that the front with the lower name dialled stays. A frame is given to one
stream once: what a stream that broke had not delivered is lost, and those who use a channel say it again.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable

from quincepier import clock
from quincepier.checks import Checks
from quincepier.net.peers.frames import FRAME_MOST, PeersError, Splitter, frame
from quincepier.net.sockets import Descriptors

Address = tuple[str, int]
QUEUE_MOST, QUEUED_MOST, WAITING_MOST = 4 << 20, 64 << 20, 4096  # bytes for one peer, for all; frames for one
BUFFER = 256 << 10  # bytes given to the system's care before a peer that does not read is waited for
LINES_MOST, STREAMS_MOST, ASKS_MOST = 4096, 1024, 8
DIAL_WITHIN, YOUNG = 1.0, 1.0  # seconds: of a dial; a stream that ends so soon is a failed dial as well
REST_FIRST, REST_MOST = 0.1, 1.0  # seconds between dials of a peer that can't be reached, doubled
IDLE, STALLED, NAMELESS = 30 * clock.SECOND, 5 * clock.SECOND, 5 * clock.SECOND
SWEEP = 1.0  # seconds


class PeerStreamQueue:
    """To one peer: its stream, and the frames that wait for it."""

    __slots__ = ("dialling", "failures", "name", "queue", "rests", "size", "stream")

    def __init__(self, name: str) -> None:
        self.name, self.queue, self.size = name, deque[bytes](), 0
        self.stream: PeerStream | None = None
        self.dialling: asyncio.Task[None] | None = None
        self.failures = self.rests = 0  # dials in a row; until when it is not dialled


class PeerStream(asyncio.Protocol):
    """One connection. `name` is empty until the other side has said it."""

    def __init__(self, lines: StreamPool, name: str = "", dialled: bool = False) -> None:
        self.lines, self.name, self.dialled = lines, name, dialled
        self.splitter = Splitter(lines.fleet)
        self.transport: asyncio.Transport | None = None
        self.began = self.used = clock.now()
        self.stalled = 0  # since when the other side takes nothing more
        self.closing = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        self.transport = transport
        transport.set_write_buffer_limits(high=BUFFER)
        self.lines.opened(self)

    def data_received(self, data: bytes) -> None:
        self.used = clock.now()
        try:
            for head, content in self.splitter.feed(data):
                self.lines.framed(self, head.name, head.channel, content)
                if self.transport is None:
                    return
        except PeersError as error:
            self.lines.checks.event("peers: a stream not taken", error.line())
            self.abort()

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.used = clock.now()
            self.transport.write(data)

    def pause_writing(self) -> None:
        self.stalled = clock.now()

    def resume_writing(self) -> None:
        self.stalled = 0
        self.lines.flush(self)

    def connection_lost(self, error: Exception | None) -> None:
        if self.transport is not None:
            self.transport, self.closing = None, True
            self.lines.lost(self)

    def close(self) -> None:
        """What was written still goes out; nothing more is."""
        if self.transport is not None and not self.closing:
            self.closing, self.used = True, clock.now()
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.closing = True
            self.transport.abort()


class StreamPool:
    """All streams of one front. `hear(name, channel, data)` is told each frame; it must not raise."""

    def __init__(
        self,
        fleet: str,
        me: str,
        address_of: Callable[[str], Address | None],
        hear: Callable[[str, int, bytes], None],
        checks: Checks,
        descriptors: Descriptors,
        chance: random.Random,
    ) -> None:
        self.fleet, self.me, self.address_of, self.hear = fleet, me, address_of, hear
        self.checks, self.descriptors, self.random = checks, descriptors, chance
        self.lines: dict[str, PeerStreamQueue] = {}
        self.streams: set[PeerStream] = set()
        self.most = min(STREAMS_MOST, max(descriptors.caches_most // 2, 8))
        self.queued = 0  # bytes that wait, of all lines
        self.tasks: set[asyncio.Task[None]] = set()
        self.swept, self.ended = clock.now(), False

    # Out

    def send(self, name: str, channel: int, data: bytes) -> bool:
        """Whether the frame was given to a stream, or waits for one."""
        if self.ended or name == self.me or len(data) > FRAME_MOST:
            return self._dropped("not to be sent")
        line = self._line(name)
        if line is None:
            return self._dropped("too many peers")
        raw = frame(self.fleet, self.me, channel, data)
        if line.stream is not None and not line.stream.stalled and not line.queue:
            line.stream.write(raw)
            return True
        if line.stream is None and line.dialling is None:
            if clock.now() < line.rests or self.address_of(name) is None:
                return self._dropped("peer out of reach")
            line.dialling = self._spawn(self._dial(line))
        full = line.size + len(raw) > QUEUE_MOST or len(line.queue) >= WAITING_MOST
        if full or self.queued + len(raw) > QUEUED_MOST:
            return self._dropped("queue full")
        line.queue.append(raw)
        line.size, self.queued = line.size + len(raw), self.queued + len(raw)
        return True

    def ask(self, address: Address, channel: int, data: bytes) -> None:
        """One frame to whoever is at an address; that one's name is learned from its answer."""
        if not self.ended and len(self.tasks) < ASKS_MOST + len(self.lines):
            self._spawn(self._ask(address, frame(self.fleet, self.me, channel, data)))

    async def _ask(self, address: Address, raw: bytes) -> None:
        with contextlib.suppress(OSError):
            (await self._connect(address, "")).write(raw)

    def _dropped(self, why: str) -> bool:
        self.checks.count(f"peers: frames dropped, {why}")
        return False

    def _line(self, name: str) -> PeerStreamQueue | None:
        line = self.lines.get(name)
        if line is None and len(self.lines) < LINES_MOST:
            line = self.lines[name] = PeerStreamQueue(name)
        return line

    async def _connect(self, address: Address, name: str) -> PeerStream:
        if not self._room():
            raise OSError("no room for a stream")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(DIAL_WITHIN):
            _, stream = await loop.create_connection(lambda: PeerStream(self, name, True), *address)
        return stream

    async def _dial(self, line: PeerStreamQueue) -> None:
        address = self.address_of(line.name)
        try:
            stream = await self._connect(address, line.name) if address is not None else None
        except OSError:  # refused, or not up in time
            stream = None
        finally:
            line.dialling = None
        if stream is None:
            if line.stream is None:
                self._unreached(line)
        elif line.stream is None or line.stream.closing or self.me < line.name:
            line.stream = stream if stream.transport is not None else line.stream
            self._flush(line)
        else:  # its own dial was first, and stays
            stream.close()

    def _unreached(self, line: PeerStreamQueue) -> None:
        line.failures = min(line.failures + 1, 10)
        rest = min(REST_FIRST * 2 ** (line.failures - 1), REST_MOST) * self.random.uniform(0.5, 1)
        line.rests = clock.now() + int(rest * clock.SECOND)
        self.checks.count("peers: streams that did not come up")
        self._empty(line)

    def _empty(self, line: PeerStreamQueue) -> None:
        if line.queue:
            self.checks.count("peers: frames dropped, peer out of reach", len(line.queue))
        self.queued -= line.size
        line.queue.clear()
        line.size = 0

    def flush(self, stream: PeerStream) -> None:
        line = self.lines.get(stream.name)
        if line is not None and line.stream is stream:
            self._flush(line)

    def _flush(self, line: PeerStreamQueue) -> None:
        stream = line.stream
        while line.queue and stream is not None and stream.transport is not None and not stream.stalled:
            raw = line.queue.popleft()
            line.size, self.queued = line.size - len(raw), self.queued - len(raw)
            stream.write(raw)

    def _spawn(self, work: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.checks.event("exception in the peers' streams", f"{type(error).__name__}: {error}")

    # In

    def accept(self) -> PeerStream:
        return PeerStream(self)

    def opened(self, stream: PeerStream) -> None:
        self.streams.add(stream)
        self.descriptors.cache(1)
        if self.ended or (not stream.dialled and len(self.streams) > self.most and not self._room()):
            stream.abort()

    def _room(self) -> bool:
        """Room for one more stream, where need be in place of the one that was used longest ago."""
        if len(self.streams) < self.most:
            return True
        self.checks.count("peers: streams at their most")
        oldest = min((s for s in self.streams if not s.closing), key=lambda s: s.used, default=None)
        if oldest is None or clock.now() - oldest.used < clock.SECOND:
            return False
        oldest.close()
        return True

    def framed(self, stream: PeerStream, name: str, channel: int, data: bytes) -> None:
        if stream.name != name:
            if stream.name or name == self.me:
                raise PeersError(f"a stream of {stream.name or 'this front'!r} says it is {name!r}")
            self._named(stream, name)
        line = self.lines.get(name)
        if line is not None:
            line.failures = line.rests = 0
        self.hear(name, channel, data)

    def _named(self, stream: PeerStream, name: str) -> None:
        """Which of two streams with a peer stays is decided alike at both ends."""
        stream.name, line = name, self._line(name)
        if line is None or stream.closing:
            return
        old = line.stream
        if old is not None and not old.closing:
            if stream.dialled or (old.dialled and self.me < name):
                return  # the old one stays; what comes over this one is heard until it is idle
            old.close()
        line.stream = stream
        self._flush(line)

    def lost(self, stream: PeerStream) -> None:
        self.streams.discard(stream)
        self.descriptors.cache(-1)
        line = self.lines.get(stream.name)
        if line is None or line.stream is not stream:
            return
        line.stream = None
        if self.ended:
            self._empty(line)
        elif stream.dialled and clock.now() - stream.began < YOUNG * clock.SECOND:
            self._unreached(line)
        elif line.queue and line.dialling is None:
            line.dialling = self._spawn(self._dial(line))

    # Upkeep

    def sweep(self) -> None:
        """To be called about every second."""
        now = clock.now()
        late, self.swept = now - self.swept > 2 * SWEEP * clock.SECOND, now
        if late:  # by a standstill of this front's own: what waits is read first
            for stream in self.streams:
                stream.stalled = stream.stalled and now
                stream.used = now
            return
        for stream in list(self.streams):
            stalled = stream.stalled and now - stream.stalled > STALLED
            if stalled or (not stream.name and now - stream.began > NAMELESS):
                self.checks.count("peers: streams given up")
                stream.abort()
            elif stream.closing and now - stream.used > STALLED:
                stream.abort()
            elif now - stream.used > IDLE:
                stream.close()
        for line in list(self.lines.values()):
            if line.stream is None and line.dialling is None and not line.queue and now > line.rests:
                del self.lines[line.name]

    def end(self) -> None:
        """No more is sent; what streams were given still goes out."""
        self.ended = True
        for task in list(self.tasks):
            task.cancel()
        for stream in list(self.streams):
            stream.close()
