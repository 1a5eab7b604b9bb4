"""The writing side of a client connection: the answers that are owed, and how they go out.

With it what a connection keeps, as all its sides use that; `reading.py` takes requests in, `client.py` tells
when it comes and goes.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.memory.buffer_pool import PooledBody
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.messages import Answer
from quincepier.net.session import Outgoing, Session, cgi_head
from quincepier.net.sockets import is_momentary, send_all
from quincepier.timers import Timer
from quincepier.wire import fastcgi
from quincepier.wire.errors import ProtocolError

if TYPE_CHECKING:  # the manager makes the connections
    from quincepier.net.client import ClientConnection
    from quincepier.net.clients import ConnectionManager

BATCH, BATCHES = 65_536, 4  # bytes written at a time, and so often in one turn


class Writing:
    __slots__ = (
        "asked",
        "closed",
        "closing",
        "closing_at",
        "earliest_arrival",
        "emptied_at",
        "ending",
        "faults",
        "held",
        "manager",
        "moved",
        "queued_at",
        "read_closed",
        "reading",
        "session",
        "since",
        "sock",
        "stirred",
        "timer",
        "writer",
    )  # fmt: skip

    def __init__(self, manager: ConnectionManager, sock: socket.socket) -> None:
        self.manager, self.sock = manager, sock
        self.session: Session | None = None
        self.closed = self.closing = self.ending = self.asked = self.reading = self.stirred = False
        self.read_closed = (
            False  # it sent what ends its connection: nothing more is read, what is owed goes out
        )
        self.writer: asyncio.Task[None] | None = None  # what the socket did not take at once
        self.moved = clock.now()  # when bytes last went out or came in
        self.since = manager.active_clock.time
        self.held = self.faults = self.closing_at = 0
        self.queued_at = 0  # since when it stands in line to be read
        self.earliest_arrival = 0  # of what is to be read, ns; 0: its socket was empty
        self.emptied_at = 0  # when it was last read until nothing was left, ns
        self.timer: Timer[tuple[ClientConnection, bool]] | None = None

    @property
    def asks(self) -> bool:
        """Whether a request of this connection is open, which is to end as its client leaves."""
        return self.session is not None and bool(self.session.open)

    @property
    def owed(self) -> bool:
        """Whether something that was asked here whole is still to be answered, or on its way out."""
        return self.session is not None and bool(
            self.session.open
            or self.session.sending
            or self.session.control
            or self.session.inbox
            or self.writer
        )

    def push(self, answer: Answer) -> None:
        """Into its mailbox."""
        if self.closed or self.session is None:
            if answer.body is not None:
                answer.body.release()
        else:
            self.session.inbox.append(answer)
            self._stir()

    def _stir(self) -> None:
        """There is something to send, in this connection's own turn: what comes together goes together."""
        if not (self.stirred or self.writer is not None or self.closed):
            self.stirred = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _say(self, session: Session, stream: int, head: bytes, body: PooledBody | None = None) -> None:
        keep = session.keep.pop(stream, True)
        if body is None or not body.length:
            if body is not None:
                body.release()
            session.control.append((stream, fastcgi.short(stream, head)))
            session.decoder.on_answered(stream)
            self.ending = self.ending or not keep
        else:
            session.sending.append(Outgoing(stream, keep, head, body))
        self._stir()

    def _take(self, session: Session, answer: Answer) -> None:
        request = answer.request
        if session.open.get(request.stream_id) is not request:  # it was aborted as the answer was made
            if answer.body is not None:
                answer.body.release()
            return
        del session.open[request.stream_id]
        self._forget(request)
        self._say(
            session, request.stream_id, cgi_head(answer.status, answer.still, answer.wait_ms), answer.body
        )

    def _flush(self) -> None:
        """Write as much as the socket takes and a turn allows; what goes wrong ends this connection alone."""
        self.stirred = False
        try:
            self._put_out()
        except Exception as error:
            self._break_off(error)

    def _break_off(self, error: Exception) -> None:
        """What goes wrong ends this connection alone: by its client, the network, or a fault of ours."""
        if isinstance(error, ProtocolError):
            self.stop_reading(error)
            return
        if isinstance(error, OSError):
            self.manager.checks.count("client_connections_reset")
        else:
            self.manager.checks.exception("exception_in_client_actor", error)
        self.close()

    def _put_out(self) -> None:
        """The first bytes go by the call that sock_sendall makes first itself; a task takes what is left."""
        session = self.session
        if self.closed or session is None or self.writer is not None:
            return
        for _ in range(BATCHES):
            while session.inbox:
                self._take(session, session.inbox.popleft())
            if not (session.sending or session.control):
                break
            batch = self._batch(session)
            try:
                sent = self.sock.send(batch)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as error:
                if not is_momentary(error):
                    raise
                sent = 0
            self.moved = clock.now() if sent else self.moved
            if sent < len(batch):
                self.writer = asyncio.get_running_loop().create_task(self._rest(batch[sent:]))
                break
        else:
            self._stir()  # others get their turn between
        self._settle()
        if self.manager.draining:
            self.close_gracefully()

    async def _rest(self, data: bytes) -> None:
        """Wait until the socket has taken it, then go on."""
        broken = False
        try:
            await send_all(self.sock, data)
            self.moved = clock.now()
        except OSError:
            self.manager.checks.count("client_connections_reset")
            broken = True
        finally:
            self.writer = None
        if not self.closed:
            if broken:
                self.close()
            else:
                self._flush()

    def _batch(self, session: Session) -> bytes:
        """Answers take turns, a record each, so that a large one does not delay the small."""
        out = bytearray().join(data for _, data in session.control)
        session.control.clear()
        self.closing = self.closing or self.ending
        while session.sending and len(out) < BATCH:
            outgoing = session.sending.popleft()
            piece = next(outgoing.pieces, None)
            if piece is not None:
                out += piece
                session.sending.append(outgoing)
            else:
                out += fastcgi.finish(outgoing.stream)
                outgoing.release()
                session.decoder.on_answered(outgoing.stream)
                self.closing = self.closing or not outgoing.keep
        return bytes(out)

    # Of the other sides

    @property
    def itself(self) -> ClientConnection:
        raise NotImplementedError

    def close(self, linger: bool = False) -> None:
        raise NotImplementedError

    def close_gracefully(self) -> None:
        raise NotImplementedError

    def stop_reading(self, fault: ProtocolError) -> None:
        raise NotImplementedError

    def _shut(self, linger: bool = False) -> None:
        raise NotImplementedError

    def _settle(self) -> None:
        raise NotImplementedError

    def _forget(self, request: OpenRequest) -> None:
        self.manager.bodies -= len(request.body)
