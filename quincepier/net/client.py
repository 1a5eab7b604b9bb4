"""The actor of one client connection: FastCGI in, answers out; and the listener that accepts them."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Iterator

from quincepier import clock
from quincepier.memory.pool import Body
from quincepier.memory.requests import OpenRequest
from quincepier.net.actor import Actor
from quincepier.net.means import Means
from quincepier.net.messages import Answer, Came, Left
from quincepier.net.sockets import no_delay
from quincepier.translate import PING, BadRequest, class_numbers, open_request
from quincepier.wire import fastcgi
from quincepier.wire.errors import ProtocolError

MAILBOX_MOST = 64
BATCH = 65_536  # bytes written at a time
EXTRA = 16  # connections past the account that are answered OVERLOADED


class Shop:
    """What all client connections use."""

    def __init__(self, means: Means, standing: Callable[[], bool]) -> None:
        self.checks, self.pool, self.descriptors = means.checks, means.pool, means.descriptors
        self.module, self.standing = means.module, standing
        self.classes = class_numbers(means.config)
        self.connections: set[ClientConnection] = set()
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


def cgi_head(status: int, still: bool = False, wait_ms: int | None = None) -> bytes:
    lines = [f"Status: {status}", "Content-Type: application/octet-stream"]
    if still:
        lines.append("X-Still: 1")
    if wait_ms is not None:
        lines.append(f"X-Wait-Ms: {wait_ms}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class ClientConnection(Actor[Answer]):
    name = "client"

    def __init__(self, shop: Shop, sock: socket.socket, extra: bool) -> None:
        super().__init__(shop.checks, MAILBOX_MOST)
        self.shop, self.sock, self.extra = shop, sock, extra
        self.decoder = fastcgi.Decoder(shop.descriptors.clients_most)
        self.open: dict[int, OpenRequest] = {}
        self.keep: dict[int, bool] = {}
        self.sending: deque[Outgoing] = deque()
        self.control: deque[bytes] = deque()
        self.closed = self.closing = False
        self.moved = clock.now()  # when bytes last went out or came in

    def push(self, answer: Answer) -> None:
        if self.closed:
            if answer.body is not None:
                answer.body.release()
        else:
            self.mailbox.push(answer)

    @property
    def idle(self) -> bool:
        busy = self.open or self.sending or self.control or len(self.mailbox) or self.decoder.begun
        return not (busy or self.decoder.buffer)

    async def run(self) -> None:
        work = [asyncio.ensure_future(self._read()), asyncio.ensure_future(self._write())]
        try:
            done, _ = await asyncio.wait(work, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        except ProtocolError as error:
            self.checks.event("client breaks FastCGI", str(error))
        except OSError:
            self.checks.count("client connections broken off")
        finally:
            for task in work:
                task.cancel()
            await asyncio.gather(*work, return_exceptions=True)
            self._drop()

    def close(self) -> None:
        """End the connection now, whatever is open on it."""
        self.cancel()

    def _drop(self) -> None:
        self.closed = True
        self.sock.close()
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
        loop, buffers = asyncio.get_running_loop(), self.shop.pool.take()
        if buffers is None:
            self.checks.event("client connection closed: no buffer")
            return
        view = memoryview(buffers[0])
        try:
            while size := await loop.sock_recv_into(self.sock, view):
                at = self.moved = clock.now()
                for item in self.decoder.feed(view[:size]):
                    match item:
                        case fastcgi.Call():
                            await self._call(item, at)
                        case fastcgi.Aborted(stream):
                            await self._abort(stream)
                        case fastcgi.Reply(data, closes):
                            self.control.append(data)
                            self.closing = self.closing or closes
                            self.mailbox.wake()
        finally:
            self.shop.pool.give(buffers)

    async def _call(self, call: fastcgi.Call, at: int) -> None:
        self.keep[call.id] = call.keep
        if call.params.get("SCRIPT_NAME") == PING and not call.fault:
            self._say(call.id, cgi_head(200 if self.shop.standing() else 503))
            return
        if self.extra or self.shop.bodies + len(call.body) > self.shop.bodies_most:
            self.checks.event("request refused: too much open")
            self._overloaded(call.id)
            return
        try:
            request = open_request(call, self.shop.classes, self, at)
        except BadRequest as error:
            self.checks.event("bad request", str(error))
            self._say(call.id, cgi_head(error.status))
            return
        self.open[call.id] = request
        self.shop.bodies += len(request.body)
        await self.shop.module.post(Came(request))

    async def _abort(self, stream: int) -> None:
        self.keep.pop(stream, None)
        for outgoing in [o for o in self.sending if o.stream == stream]:
            self.sending.remove(outgoing)
            outgoing.release()
        request = self.open.pop(stream, None)
        if request is not None:
            self._forget(request)
            await self.shop.module.post(Left(request))

    # Out

    def _say(self, stream: int, head: bytes, body: Body | None = None) -> None:
        self.sending.append(Outgoing(stream, self.keep.pop(stream, True), head, body))
        self.mailbox.wake()

    def _overloaded(self, stream: int) -> None:
        self.control.append(fastcgi.end(stream, fastcgi.OVERLOADED))
        self.decoder.close(stream)
        self.closing = self.closing or not self.keep.pop(stream, True)
        self.mailbox.wake()

    def _take(self, answer: Answer) -> None:
        request = answer.request
        if self.open.get(request.stream) is not request:  # it was aborted as the answer was made
            if answer.body is not None:
                answer.body.release()
            return
        del self.open[request.stream]
        self._forget(request)
        if answer.overloaded:
            self._overloaded(request.stream)
        else:
            self._say(request.stream, cgi_head(answer.status, answer.still, answer.wait_ms), answer.body)

    async def _write(self) -> None:
        """Answers take turns, a record each, so that a large one does not delay the small."""
        loop = asyncio.get_running_loop()
        while True:
            while (answer := self.mailbox.take()) is not None:
                self._take(answer)
            if not self.sending and not self.control:
                if self.closing and not self.open:
                    return
                await self.mailbox.wait()
                continue
            await loop.sock_sendall(self.sock, self._batch())
            self.moved = clock.now()

    def _batch(self) -> bytes:
        out = bytearray(b"".join(self.control))
        self.control.clear()
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
    """Accepts clients. Past the account of descriptors the longest idle goes; past that, few are refused."""

    name = "listener"

    def __init__(self, shop: Shop, sock: socket.socket) -> None:
        super().__init__(shop.checks, 1)
        self.shop, self.sock = shop, sock

    async def run(self) -> None:
        loop, descriptors = asyncio.get_running_loop(), self.shop.descriptors
        while True:
            if descriptors.clients >= descriptors.clients_most:
                idle = [c for c in self.shop.connections if c.idle]
                if idle:
                    self.checks.event("idle client closed: descriptors used up")
                    longest = min(idle, key=lambda c: c.moved)
                    longest.close()
                    await asyncio.wait(longest.tasks)
                elif descriptors.clients >= descriptors.clients_most + EXTRA:
                    await asyncio.sleep(0.01)
                    continue
            try:
                sock, _ = await loop.sock_accept(self.sock)
                sock.setblocking(False)
                no_delay(sock)
            except OSError as error:
                self.checks.event("accept failed", str(error))
                await asyncio.sleep(0.01)
                continue
            descriptors.client(1)
            extra = descriptors.clients > descriptors.clients_most
            connection = ClientConnection(self.shop, sock, extra)
            self.shop.connections.add(connection)
            connection.start()
