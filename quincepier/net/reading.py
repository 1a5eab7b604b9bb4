"""The reading side of a client connection: bytes in, requests and aborts on to the module."""

from __future__ import annotations

import asyncio
from collections import deque

from quincepier import clock
from quincepier.net.messages import Came, Left
from quincepier.net.session import Session, cgi_head
from quincepier.net.sockets import MOMENTARY_PAUSE, is_momentary
from quincepier.net.writing import Writing
from quincepier.translate import PING, BadRequestError, open_request
from quincepier.wire import fastcgi
from quincepier.wire.errors import ProtocolError

WHOLE_WITHIN = 2.0  # seconds that one message may take
ROW = 4  # reads of one connection in a row
FAULT_PAUSE, FAULT_PAUSE_MOST = 0.02, 1.0  # seconds not read after a faulty request; doubled at each
UNTAKEN_MOST = 1024  # short answers behind a socket that takes none; usual clients have 32 requests open
CHECK_INTERVAL = 50 * clock.MS  # ns; a client heard of this lately is not looked at again
LISTEN_WITHIN = 0.05  # seconds not read at most while a request is open: its client may leave or abort


class Reading(Writing):
    __slots__ = ()

    # Of the other sides

    def _look_in(self, seconds: float, resume: bool = False) -> None:
        raise NotImplementedError

    def resume(self) -> None:
        raise NotImplementedError

    def ready(self, gone: bool = False) -> None:
        """There is something to read: now, or as its turn comes. What is paused looks as it resumes.

        `gone`: the client has closed; where that is not told, it is read.
        """
        if not self.reading:
            if gone and self.asks:
                self.close()
            else:
                self._mark_waiting()
            return
        if self.manager.may_read(self.itself):
            self.receive()
        else:
            self._mark_waiting()

    def _mark_waiting(self) -> None:
        """There is something to read, and it is not read yet: its time counts from here.

        Until the socket has been empty, all that is read may have been there from the first such moment on.
        """
        if not self.queued_at:
            self.queued_at = clock.now()
        if not self.earliest_arrival:
            self.earliest_arrival = self.manager.pauses.earliest_arrival(self.queued_at)

    def count_from(self, arrival_ns: int) -> None:
        """What lies in the socket now may have come at that time."""
        self.queued_at, self.earliest_arrival = clock.now(), arrival_ns

    def check_client(self, now_ns: int) -> bool:
        """Hear of an abort or a close that lies in the socket, where it was not read to its end lately.

        Return False where one may lie there for longer than `CHECK_INTERVAL`, behind what is of no use.
        """
        if self.closed or now_ns - self.emptied_at < CHECK_INTERVAL:
            return True
        self.reading = True
        self.receive()
        is_slowed = bool(self.faults) or self.read_closed
        unread_since = self.earliest_arrival  # 0: it was read to its end
        return not (is_slowed and 0 < unread_since <= clock.now() - CHECK_INTERVAL)

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
                if size == len(self.manager.scratch):  # that many requests are its part of a turn
                    break
            if self.reading:
                self._mark_waiting()
                self.manager.read_on(self.itself)
        except (BlockingIOError, InterruptedError):
            self.queued_at = self.earliest_arrival = 0
            self.emptied_at = clock.now()
        except OSError as error:
            if is_momentary(error):
                self._mark_waiting()
                asyncio.get_running_loop().call_later(MOMENTARY_PAUSE, self._receive_later)
            else:
                self._break_off(error)
        except Exception as error:
            self._break_off(error)

    def _receive_later(self) -> None:
        """In a turn of the loop, what could not be read in an earlier one."""
        if self.reading:
            self.manager.read_on(self.itself)

    def _received(self, size: int) -> None:
        now, faults, manager = clock.now(), self.faults, self.manager
        self._mark_waiting()  # what stood in line was there before: its time counts
        at, earliest, self.queued_at = self.queued_at, self.earliest_arrival, 0
        self.moved = now
        session = self.session
        if session is None:
            session = self.session = Session(manager.descriptors.clients_most)
            manager.in_session.add(self.itself)
        read_closed, decoder = self.read_closed, session.decoder
        # behind a fault it is read on only to hear of a close
        for item in decoder.feed(manager.scratch[:size]) if decoder.error is None else ():
            match item:
                case fastcgi.FastCgiRequest() | fastcgi.Reply() if read_closed:
                    pass  # only aborts are listened to
                case fastcgi.FastCgiRequest():
                    self._call(session, item, at, earliest)
                case fastcgi.RequestAborted(stream):
                    self._abort(session, stream)
                case fastcgi.Reply(data, closes):
                    session.control.append((0, data))
                    self.closing = self.closing or closes
                    self.read_closed = self.read_closed or closes
                    self._stir()
        if self.writer is not None and len(session.control) > UNTAKEN_MOST:
            manager.checks.event("client_closed_short_responses_unread")
            self.close()
            return
        if decoder.error is not None and not read_closed:
            self.stop_reading(decoder.error)
            return
        held = decoder.buffered_bytes
        if held or self.held:
            manager.hold(self.itself, held)
            if self.closed:
                return
        if self._half(session, manager.active_clock.read(now)):
            self._look_in(WHOLE_WITHIN)
        if self.read_closed or self.faults != faults:
            self._pause()
        if not self.reading and self.asks:
            asyncio.get_running_loop().call_later(LISTEN_WITHIN, self.resume)
        elif self.faults != faults and not self.read_closed:  # who sends what can't be used gets little CPU
            self._look_in(min(FAULT_PAUSE * 2 ** min(self.faults, 10), FAULT_PAUSE_MOST), resume=True)
        self._settle()

    def stop_reading(self, fault: ProtocolError) -> None:
        """Nothing that comes is of use any more: it ends once what was asked whole is answered."""
        session = self.session
        if self.closed or session is None:
            return
        self.manager.checks.event("client_protocol_error", str(fault))
        session.decoder.fail(fault)
        self.manager.bodies -= self.held
        self.held = 0
        self.read_closed = self.closing = True
        self._pause()
        if self.asks:  # its client may leave
            asyncio.get_running_loop().call_later(LISTEN_WITHIN, self.resume)
        if self.owed or self.stirred:
            self._settle()
        else:
            self.close(linger=self.asked)  # what it was answered may not have reached it yet

    def _call(self, session: Session, call: fastcgi.FastCgiRequest, at: int, earliest: int) -> None:
        manager = self.manager
        session.keep[call.id] = call.keep_connection
        self.asked = True
        manager.registry.asked(self.itself)
        if call.params.get("SCRIPT_NAME") == PING and not call.error:
            self._say(session, call.id, cgi_head(200 if manager.standing() else 503))
            return
        try:
            request = open_request(call, manager.classes, self, at, earliest)
        except BadRequestError as error:
            self.faults += 1
            self.read_closed = self.read_closed or bool(call.error)
            manager.checks.event("bad_request", str(error))
            self._say(session, call.id, cgi_head(error.status))
            return
        if manager.refusing:
            self._say(session, call.id, cgi_head(503, wait_ms=manager.wait_ms()))
            return
        if manager.bodies + len(call.body) > manager.bodies_most:
            manager.checks.event("request_rejected_body_limit")
            self._say(session, call.id, cgi_head(503, wait_ms=manager.wait_ms()))
            return
        if not manager.module.add(Came(request)):
            manager.checks.event("request_rejected_queue_full")
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
            request.cancel(clock.now())
            self._forget(request)
            self.manager.module.push(Left(request))

    def _half(self, session: Session, now: int) -> bool:
        """Whether something is half-sent; since when is noted as it begins."""
        unfinished = session.decoder.oldest_partial
        if unfinished is None:
            session.unfinished = None
        elif unfinished != session.unfinished:
            session.unfinished, session.unfinished_at = unfinished, now
        return unfinished is not None

    def _pause(self) -> None:
        self.reading = False
        self.manager.leave_line(self.itself)
