"""The actor of one client connection: FastCGI in, answers out; and the listener that accepts them."""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from functools import lru_cache

from quincepier import clock
from quincepier.memory.pool import Body
from quincepier.memory.requests import OpenRequest
from quincepier.net.actor import Actor
from quincepier.net.means import Means
from quincepier.net.messages import Answer, Came, Left
from quincepier.net.sockets import NO_BUFFER_PAUSE, no_delay
from quincepier.translate import PING, BadRequest, class_table, open_request
from quincepier.wire import fastcgi
from quincepier.wire.errors import ProtocolError

MAILBOX_MOST = 64
BATCH = 65_536  # bytes written at a time
# Seconds: to a new connection's first whole request; that one message may take; to a close behind an answer.
FIRST_WITHIN, WHOLE_WITHIN, CLOSE_WITHIN = 2.0, 2.0, 1.0
ACCEPTS = 8  # new clients in a row
NEW_FOR = 0.5  # seconds in which a connection that has not asked is the last to be closed for a new one
FAULT_PAUSE, FAULT_PAUSE_MOST = 0.02, 1.0  # seconds not read after a faulty request; doubled at each


class Shop:
    """What all client connections use."""

    def __init__(self, means: Means, standing: Callable[[], bool]) -> None:
        self.checks, self.pool, self.descriptors = means.checks, means.pool, means.descriptors
        self.module, self.standing = means.module, standing
        self.means, self.classes = means, class_table(means.config)
        self.connections: set[ClientConnection] = set()
        # Those that have not asked yet, as they came, and those owed nothing, by how long they have rested.
        self.new: OrderedDict[ClientConnection, None] = OrderedDict()
        self.resting: OrderedDict[ClientConnection, None] = OrderedDict()
        self.bodies, self.bodies_most = 0, means.budget.bodies

    def make_room(self) -> None:
        """The pool is used up. Of the client that has taken nothing for longest, answers not begun become
        failures; where there are none, what has begun is cut by closing its connection."""
        held = sorted((c for c in self.connections if c.sending), key=lambda c: c.moved)
        for connection in held:
            if connection.fail_unbegun():
                self.checks.event("answers failed: buffers used up")
                return
        if held:
            self.checks.event("slow client closed: buffers used up")
            held[0].close()

    def hold(self, connection: ClientConnection) -> None:
        """Account for what a connection has sent of requests not whole yet; the one that holds most goes."""
        self.bodies += connection.decoder.held - connection.held
        connection.held = connection.decoder.held
        if self.bodies > self.bodies_most and connection.held:
            self.checks.event("client closed: too much half-sent")
            max(self.connections, key=lambda c: c.held).close()

    def sweep(self, now: int, since: int) -> None:
        """End the connections that take longer than a client may to ask, to finish asking, or to go."""
        for connection in list(self.connections):
            if (why := connection.overdue(now, since)) is not None:
                self.checks.event(f"client closed: {why}")
                connection.close()

    def busy(self, connection: ClientConnection) -> None:
        """It has asked something."""
        self.new.pop(connection, None)
        self.resting.pop(connection, None)

    def rests(self, connection: ClientConnection) -> None:
        """It is owed nothing, from now on."""
        if connection.asked and not connection.closed:
            self.resting[connection] = None

    def dispensable(self) -> ClientConnection | None:
        """Whom to close for a new client: who came and never asked, else who has rested for longest."""
        newest = clock.now() - int(NEW_FOR * clock.SECOND)  # its first request may be on the way
        first = next(iter(self.new), None)
        if first is None or first.since > newest:
            first = next(iter(self.resting), first)
        return first


class Outgoing:
    """One answer on its way: records, a piece at a time."""

    def __init__(self, stream: int, keep: bool, head: bytes, body: Body | None) -> None:
        self.stream, self.keep, self.body, self.begun = stream, keep, body, False
        self.pieces = self._pieces(head)

    def _pieces(self, head: bytes) -> Iterator[bytes]:
        self.begun = True
        chunks = self.body.chunks() if self.body is not None else iter(())
        first = next(chunks, memoryview(b""))
        lead = first[: fastcgi.RECORD_MOST - len(head)]
        yield fastcgi.record(fastcgi.STDOUT, self.stream, head + bytes(lead))
        if len(lead) < len(first):
            yield fastcgi.record(fastcgi.STDOUT, self.stream, first[len(lead) :])
        for chunk in chunks:
            yield fastcgi.record(fastcgi.STDOUT, self.stream, chunk)

    def release(self) -> None:
        if self.body is not None:
            self.body.release()
            self.body = None

    def fail(self) -> None:
        """Nothing of it has been written: say that it failed, and give the buffers back."""
        self.release()
        self.pieces = self._pieces(cgi_head(502))


@lru_cache(maxsize=1024)
def cgi_head(status: int, still: bool = False, wait_ms: int | None = None) -> bytes:
    lines = [f"Status: {status}", "Content-Type: application/octet-stream"]
    if still:
        lines.append("X-Still: 1")
    if wait_ms is not None:
        lines.append(f"X-Wait-Ms: {wait_ms}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class ClientConnection(Actor[Answer]):
    name = "client"

    def __init__(self, shop: Shop, sock: socket.socket) -> None:
        super().__init__(shop.checks, MAILBOX_MOST)
        self.shop, self.sock = shop, sock
        self.decoder = fastcgi.Decoder(shop.descriptors.clients_most)
        self.open: dict[int, OpenRequest] = {}
        self.keep: dict[int, bool] = {}
        self.sending: deque[Outgoing] = deque()
        self.control: deque[tuple[int, bytes]] = deque()  # whole and short: 0 or the request, and its bytes
        self.closed = self.closing = self.ending = self.leaving = self.asked = False
        self.begun = self.writing = False
        self.deaf = False  # it sent what ends its connection: nothing more is read, what is owed goes out
        self.writer: asyncio.Task[None] | None = None
        self.moved = self.since = clock.now()  # when bytes last went out or came in; when it came
        self.held = self.faults = self.closing_at = 0
        self.unfinished: object = None  # what was half-sent at the last look, and for how long
        self.unfinished_for = 0

    def push(self, answer: Answer) -> None:
        if self.closed:
            if answer.body is not None:
                answer.body.release()
        else:
            self.mailbox.push(answer)
            self._stir()

    @property
    def owed(self) -> bool:
        """Whether something that was asked here whole is still to be answered."""
        return bool(self.open) or self.writing

    def overdue(self, now: int, since: int) -> str | None:
        """Why it is to be closed. Time in which the front itself was late does not count against it."""
        unfinished = self.decoder.unfinished
        same = unfinished is not None and unfinished == self.unfinished
        self.unfinished, self.unfinished_for = unfinished, self.unfinished_for + since if same else 0
        if self.closing or self.deaf:
            self.closing_at = self.closing_at or now
            late = now - self.closing_at > CLOSE_WITHIN * clock.SECOND and not self.open
            return "its last answer is not taken" if late else None
        if not self.asked and now - self.since > FIRST_WITHIN * clock.SECOND:
            return "no whole request in time"
        if self.unfinished_for > WHOLE_WITHIN * clock.SECOND and not self.owed:
            return "half a request for too long"
        return None

    async def run(self) -> None:
        self.begun = True
        try:
            if not self.leaving:
                await self._read()
        except ProtocolError as error:
            self.checks.event("client breaks FastCGI", str(error))
        except OSError:
            self.checks.count("client connections broken off")
        finally:
            if (writer := self.writer) is not None:
                writer.cancel()
                await asyncio.wait((writer,))
            self._drop()

    def close(self) -> None:
        """End the connection now, whatever is open on it."""
        self.leaving = True
        if self.begun:  # else it ends as its task begins: one ended before that would leave its socket behind
            self.cancel()

    def _drop(self) -> None:
        self.closed = True
        self.shop.bodies -= self.held
        self.held = 0
        self.sock.close()
        self.shop.busy(self)
        self.shop.connections.discard(self)
        self.shop.descriptors.client(-1)
        while (answer := self.mailbox.take()) is not None:
            if answer.body is not None:
                answer.body.release()
        for outgoing in self.sending:
            outgoing.release()
        self.sending.clear()
        for request in self.open.values():
            self._forget(request)
            self.shop.module.push(Left(request))
        self.open.clear()

    def _forget(self, request: OpenRequest) -> None:
        self.shop.bodies -= len(request.body)

    def fail_unbegun(self) -> int:
        """How many answers with a body, of which nothing was written, became failures."""
        found = [o for o in self.sending if o.body is not None and not o.begun]
        for outgoing in found:
            outgoing.fail()
        return len(found)

    # In

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while (buffers := self.shop.pool.take()) is None:  # never a reason to end who has done no wrong
            await asyncio.sleep(NO_BUFFER_PAUSE)
        view = memoryview(buffers[0])
        try:
            while size := await loop.sock_recv_into(self.sock, view):
                at, faults = clock.now(), self.faults
                self.moved = at
                for item in self.decoder.feed(view[:size]):
                    match item:
                        case fastcgi.Call():
                            self._call(item, at)
                        case fastcgi.Aborted(stream):
                            self._abort(stream)
                        case fastcgi.Reply(data, closes):
                            self.control.append((0, data))
                            self.closing = self.closing or closes
                            self.deaf = self.deaf or closes
                            self._stir()
                if self.held or self.decoder.begun or self.decoder.buffer:
                    self.shop.hold(self)
                if self.deaf:
                    await loop.create_future()
                if self.faults != faults:  # who goes on sending what can't be used gets little CPU
                    await asyncio.sleep(min(FAULT_PAUSE * 2 ** min(self.faults, 10), FAULT_PAUSE_MOST))
        finally:
            self.shop.pool.give(buffers)

    def _call(self, call: fastcgi.Call, at: int) -> None:
        self.keep[call.id] = call.keep
        self.asked = True
        self.shop.busy(self)
        if call.params.get("SCRIPT_NAME") == PING and not call.fault:
            self._say(call.id, cgi_head(200 if self.shop.standing() else 503))
            return
        try:
            request = open_request(call, self.shop.classes, self, at)
        except BadRequest as error:
            self.faults += 1
            self.deaf = self.deaf or bool(call.fault)
            self.checks.event("bad request", str(error))
            self._say(call.id, cgi_head(error.status))
            return
        if self.shop.bodies + len(call.body) > self.shop.bodies_most:
            self.checks.event("request refused: too much open")
            self._say(call.id, cgi_head(503, wait_ms=self.shop.means.config.wait_ms))
            return
        if not self.shop.module.add(Came(request)):
            self.checks.event("request refused: too many waiting")
            self._say(call.id, cgi_head(503, wait_ms=self.shop.means.config.wait_ms))
            return
        self.open[call.id] = request
        self.shop.bodies += len(request.body)

    def _abort(self, stream: int) -> None:
        self.keep.pop(stream, None)
        for outgoing in [o for o in self.sending if o.stream == stream]:
            self.sending.remove(outgoing)
            outgoing.release()
        if self.control:
            self.control = deque(item for item in self.control if item[0] != stream)
        request = self.open.pop(stream, None)
        if request is not None:
            self._forget(request)
            self.shop.module.push(Left(request))
        if not self.owed:
            self.shop.rests(self)

    # Out

    def _stir(self) -> None:
        """There is something to send. Who never gets an answer has no task for it."""
        self.writing = True
        if self.writer is not None:
            self.mailbox.wake()
        elif not self.closed:
            self.writer = self.spawn(self._write())

    def _say(self, stream: int, head: bytes, body: Body | None = None) -> None:
        keep = self.keep.pop(stream, True)
        if body is None or not body.length:
            if body is not None:
                body.release()
            self.control.append((stream, fastcgi.short(stream, head)))
            self.decoder.close(stream)
            self.ending = self.ending or not keep
        else:
            self.sending.append(Outgoing(stream, keep, head, body))
        self._stir()

    def _take(self, answer: Answer) -> None:
        request = answer.request
        if self.open.get(request.stream) is not request:  # it was aborted as the answer was made
            if answer.body is not None:
                answer.body.release()
            return
        del self.open[request.stream]
        self._forget(request)
        self._say(request.stream, cgi_head(answer.status, answer.still, answer.wait_ms), answer.body)

    async def _write(self) -> None:
        """Answers take turns, a record each, so that a large one does not delay the small."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                while (answer := self.mailbox.take()) is not None:
                    self._take(answer)
                if self.sending or self.control:
                    await loop.sock_sendall(self.sock, self._batch())
                    self.moved = clock.now()
                    continue
                self.writing = False
                if not self.open:
                    self.shop.rests(self)
                    if self.closing:
                        break
                await self.mailbox.wait()
        except OSError:
            self.checks.count("client connections broken off")
        self.close()

    def _batch(self) -> bytes:
        out = bytearray().join(data for _, data in self.control)
        self.control.clear()
        self.closing = self.closing or self.ending
        while self.sending and len(out) < BATCH:
            outgoing = self.sending.popleft()
            piece = next(outgoing.pieces, None)
            if piece is not None:
                out += piece
                self.sending.append(outgoing)
            else:
                out += fastcgi.finish(outgoing.stream)
                outgoing.release()
                self.decoder.close(outgoing.stream)
                self.closing = self.closing or not outgoing.keep
        return bytes(out)


class Listener(Actor[None]):
    """Accepts clients. Past the account of descriptors one that is owed nothing goes, else the new one."""

    name = "listener"

    def __init__(self, shop: Shop, sock: socket.socket) -> None:
        super().__init__(shop.checks, 1)
        self.shop, self.sock = shop, sock

    async def run(self) -> None:
        loop, descriptors, taken = asyncio.get_running_loop(), self.shop.descriptors, 0
        while True:
            try:
                sock, _ = await loop.sock_accept(self.sock)
                sock.setblocking(False)
                no_delay(sock)
            except OSError as error:
                self.checks.event("accept failed", str(error))
                await asyncio.sleep(0.01)
                continue
            if descriptors.clients >= descriptors.clients_most:
                spared = self.shop.dispensable()
                if spared is None:
                    self.checks.event("new client closed: descriptors used up")
                    sock.close()
                    continue
                self.checks.event("idle client closed: descriptors used up")
                self.shop.busy(spared)  # not chosen twice; it is gone within a turn of the loop
                spared.close()
            descriptors.client(1)
            connection = ClientConnection(self.shop, sock)
            self.shop.connections.add(connection)
            self.shop.new[connection] = None
            connection.start()
            if (taken := taken + 1) % ACCEPTS == 0:  # the others get their turn in a storm of new clients
                await asyncio.sleep(0)
