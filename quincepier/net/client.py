"""A client connection: FastCGI in, answers out.

A connection is an actor without a task. Its turn is run by the loop: when bytes can be read, when
an answer has come to its mailbox, when a timer is due. At rest it is its socket and a few words;
everything else is in its Session, made when bytes come and let go when nothing is left half read or
owed.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING

from quincepier import clock
from quincepier.memory.pool import Body
from quincepier.memory.requests import OpenRequest
from quincepier.net.messages import Answer, Came, Left
from quincepier.net.session import Outgoing, Session, cgi_head
from quincepier.timers import Timer
from quincepier.translate import PING, BadRequest, open_request
from quincepier.wire import fastcgi
from quincepier.wire.errors import ProtocolError

if TYPE_CHECKING:  # the manager makes the connections
    from quincepier.net.clients import ConnectionManager

BATCH, BATCHES = 65_536, 4  # bytes written at a time, and so often in one turn
# Seconds: to a new connection's first whole request; that one message may take; to a close behind an answer.
FIRST_WITHIN, WHOLE_WITHIN, CLOSE_WITHIN = 2.0, 2.0, 1.0
AGAIN_WITHIN = 0.2  # seconds to another look at what is overdue and still owed something
ROW = 4  # reads of one connection in a row
FAULT_PAUSE, FAULT_PAUSE_MOST = 0.02, 1.0  # seconds not read after a faulty request; doubled at each


class ClientConnection:
    __slots__ = (
        "asked", "closed", "closing", "closing_at", "read_closed", "ending", "faults", "held", "moved",
        "queued_at", "reading", "manager", "since", "sock", "stirred", "session", "timer", "writer",
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
        self.timer: Timer[tuple[ClientConnection, bool]] | None = None

    def start(self) -> None:
        self.reading = True
        self.manager.watch(self)
        self._look_in(FIRST_WITHIN)

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

    # Time

    def _look_in(self, seconds: float, resume: bool = False) -> None:
        """Look at it then, if no earlier look is to come."""
        due = self.manager.active_clock.time + int(seconds * clock.SECOND)
        if self.timer is not None:
            if self.timer.due <= due and not resume:
                return
            self.manager.wheel.cancel(self.timer)
        self.timer = self.manager.wheel.set(due, (self, resume))

    def due(self, now: int, resume: bool) -> None:
        self.timer = None
        if self.closed:
            return
        if resume and not self.read_closed:
            self.resume()
        why, again = self._overdue(now)
        if why is not None:
            self.manager.checks.event(f"client closed: {why}")
            self.close()
        elif again:
            self._look_in(again)

    def _overdue(self, now: int) -> tuple[str | None, float]:
        """Why it is to be closed, else in how many seconds to look again; 0: not before something happens."""
        session = self.session
        if self.closing or self.read_closed:
            left = self.closing_at + int(CLOSE_WITHIN * clock.SECOND) - now
            if left <= 0 and not (session is not None and session.open):
                return "its last answer is not taken", 0.0
            return None, max(left / clock.SECOND, AGAIN_WITHIN)
        again = 0.0
        if not self.asked:
            left = self.since + int(FIRST_WITHIN * clock.SECOND) - now
            if left <= 0:
                return "no whole request in time", 0.0
            again = left / clock.SECOND
        if session is not None and self._half(session, now):
            left = session.unfinished_at + int(WHOLE_WITHIN * clock.SECOND) - now
            if left <= 0 and not self.owed:
                return "half a request for too long", 0.0
            wait = max(left / clock.SECOND, AGAIN_WITHIN)
            again = min(again, wait) if again else wait
        until = self.manager.registry.rests_until(self)
        if until is not None:
            if until <= now:
                return "at rest for too long", 0.0
            again = (until - now) / clock.SECOND
        return None, again

    def _half(self, session: Session, now: int) -> bool:
        """Whether something is half-sent; since when is noted as it begins."""
        unfinished = session.decoder.unfinished
        if unfinished is None:
            session.unfinished = None
        elif unfinished != session.unfinished:
            session.unfinished, session.unfinished_at = unfinished, now
        return unfinished is not None

    # Coming and going

    def resume(self) -> None:
        """Read again, what came meanwhile too."""
        if not (self.reading or self.closed or self.read_closed):
            self.reading = True
            self.manager.read_on(self)

    def _pause(self) -> None:
        self.reading = False
        self.manager.leave_line(self)

    def cancel(self) -> None:
        self.close()

    def close(self) -> None:
        """End the connection now, whatever is open on it."""
        if self.closed:
            return
        self.closed = True
        self._pause()
        manager, session = self.manager, self.session
        manager.unwatch(self)
        if self.timer is not None:
            manager.wheel.cancel(self.timer)
            self.timer = None
        manager.bodies -= self.held
        self.held = 0
        manager.registry.left(self)
        manager.in_session.discard(self)
        if session is not None:
            self.session = None
            for answer in session.inbox:
                if answer.body is not None:
                    answer.body.release()
            for outgoing in session.sending:
                outgoing.release()
            for request in session.open.values():
                self._forget(request)
                manager.module.push(Left(request))
        if self.writer is not None:
            self.writer.cancel()  # the socket closes behind it
        else:
            self._shut()

    def _shut(self) -> None:
        self.sock.close()
        self.manager.connections.discard(self)
        self.manager.descriptors.client(-1)

    def close_gracefully(self) -> None:
        """Closed where nothing is owed, nor by what has come and was not read yet: that is taken first."""
        if not (self.closed or self.owed or self.stirred):
            self.receive()
            if not (self.closed or self.owed or self.stirred):
                self.close()

    def _forget(self, request: OpenRequest) -> None:
        self.manager.bodies -= len(request.body)

    def fail_unbegun(self) -> int:
        """How many answers with a body, of which nothing was written, became failures."""
        sending = self.session.sending if self.session is not None else ()
        found = [o for o in sending if o.body is not None and not o.begun]
        for outgoing in found:
            outgoing.fail()
        return len(found)

    def _settle(self) -> None:
        """After each turn: at rest where nothing is left, closed where it was to close."""
        session = self.session
        if self.closed or session is None:
            return
        if (self.closing or self.read_closed) and not self.closing_at:
            self.closing_at = self.manager.active_clock.time
            self._look_in(CLOSE_WITHIN)
        if self.owed or self.stirred:
            return
        if self.closing:
            self.close()
            return
        if self.asked:
            self.manager.registry.rests(self, self.manager.active_clock.time)
        if session.done and not self.read_closed:
            self.session = None
            self.manager.in_session.discard(self)
            if self.manager.registry.caps.rest_most:
                self._look_in(self.manager.registry.caps.rest_most / clock.SECOND)

    # In

    def ready(self) -> None:
        """There is something to read: now, or as its turn comes. What is paused looks as it resumes."""
        if not self.reading:
            return
        if self.manager.may_read(self):
            self.receive()
        else:
            self.queued_at = self.queued_at or clock.now()

    def receive(self) -> None:
        """Read and take what came; what goes wrong ends this connection alone.

        Until nothing is left, since it is told once of all that is there.
        """
        try:
            for _ in range(ROW):
                if not self.reading:  # closed, its read side closed, or paused
                    return
                size = self.sock.recv_into(self.manager.scratch)
                if not size:
                    self.close()
                    return
                self._received(size)
            if self.reading:
                self.manager.read_on(self)
        except (BlockingIOError, InterruptedError):
            self.queued_at = 0
        except ProtocolError as error:
            self.manager.checks.event("client breaks FastCGI", str(error))
            self.close()
        except OSError:
            self.manager.checks.count("client connections broken off")
            self.close()
        except Exception as error:
            self.manager.checks.event("exception in the client actor", f"{type(error).__name__}: {error}")
            self.close()

    def _received(self, size: int) -> None:
        now, faults, manager = clock.now(), self.faults, self.manager
        at, self.queued_at = self.queued_at or now, 0  # what stood in line was there before: its time counts
        self.moved = now
        session = self.session
        if session is None:
            session = self.session = Session(manager.descriptors.clients_most)
            manager.in_session.add(self)
        for item in session.decoder.feed(manager.scratch[:size]):
            match item:
                case fastcgi.Call():
                    self._call(session, item, at)
                case fastcgi.Aborted(stream):
                    self._abort(session, stream)
                case fastcgi.Reply(data, closes):
                    session.control.append((0, data))
                    self.closing = self.closing or closes
                    self.read_closed = self.read_closed or closes
                    self._stir()
        held = session.decoder.held
        if held or self.held:
            manager.hold(self, held)
            if self.closed:
                return
        if self._half(session, manager.active_clock.read(now)):
            self._look_in(WHOLE_WITHIN)
        if self.read_closed:
            self._pause()
        elif self.faults != faults:  # who goes on sending what can't be used gets little CPU
            self._pause()
            self._look_in(min(FAULT_PAUSE * 2 ** min(self.faults, 10), FAULT_PAUSE_MOST), resume=True)
        self._settle()

    def _call(self, session: Session, call: fastcgi.Call, at: int) -> None:
        manager = self.manager
        session.keep[call.id] = call.keep
        self.asked = True
        manager.registry.asked(self)
        if call.params.get("SCRIPT_NAME") == PING and not call.fault:
            self._say(session, call.id, cgi_head(200 if manager.standing() else 503))
            return
        try:
            request = open_request(call, manager.classes, self, at)
        except BadRequest as error:
            self.faults += 1
            self.read_closed = self.read_closed or bool(call.fault)
            manager.checks.event("bad request", str(error))
            self._say(session, call.id, cgi_head(error.status))
            return
        if manager.refusing:
            self._say(session, call.id, cgi_head(503, wait_ms=manager.wait_ms()))
            return
        if manager.bodies + len(call.body) > manager.bodies_most:
            manager.checks.event("request refused: too much open")
            self._say(session, call.id, cgi_head(503, wait_ms=manager.wait_ms()))
            return
        if not manager.module.add(Came(request)):
            manager.checks.event("request refused: too many waiting")
            self._say(session, call.id, cgi_head(503, wait_ms=manager.wait_ms()))
            return
        session.open[call.id] = request
        manager.bodies += len(request.body)

    def _abort(self, session: Session, stream: int) -> None:
        session.keep.pop(stream, None)
        for outgoing in [o for o in session.sending if o.stream == stream]:
            session.sending.remove(outgoing)
            outgoing.release()
        if session.control:
            session.control = deque(item for item in session.control if item[0] != stream)
        request = session.open.pop(stream, None)
        if request is not None:
            self._forget(request)
            self.manager.module.push(Left(request))

    # Out

    def _stir(self) -> None:
        """There is something to send, in this connection's own turn: what comes together goes together."""
        if not (self.stirred or self.writer is not None or self.closed):
            self.stirred = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _say(self, session: Session, stream: int, head: bytes, body: Body | None = None) -> None:
        keep = session.keep.pop(stream, True)
        if body is None or not body.length:
            if body is not None:
                body.release()
            session.control.append((stream, fastcgi.short(stream, head)))
            session.decoder.close(stream)
            self.ending = self.ending or not keep
        else:
            session.sending.append(Outgoing(stream, keep, head, body))
        self._stir()

    def _take(self, session: Session, answer: Answer) -> None:
        request = answer.request
        if session.open.get(request.stream) is not request:  # it was aborted as the answer was made
            if answer.body is not None:
                answer.body.release()
            return
        del session.open[request.stream]
        self._forget(request)
        self._say(session, request.stream, cgi_head(answer.status, answer.still, answer.wait_ms), answer.body)

    def _flush(self) -> None:
        """Write as much as the socket takes and a turn allows; what goes wrong ends this connection alone."""
        self.stirred = False
        try:
            self._put_out()
        except OSError:
            self.manager.checks.count("client connections broken off")
            self.close()
        except Exception as error:
            self.manager.checks.event("exception in the client actor", f"{type(error).__name__}: {error}")
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
            await asyncio.get_running_loop().sock_sendall(self.sock, data)
            self.moved = clock.now()
        except OSError:
            self.manager.checks.count("client connections broken off")
            broken = True
        finally:
            self.writer = None
            if self.closed:
                await asyncio.sleep(0)  # the loop lets go of the socket first
                self._shut()
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
                session.decoder.close(outgoing.stream)
                self.closing = self.closing or not outgoing.keep
        return bytes(out)
