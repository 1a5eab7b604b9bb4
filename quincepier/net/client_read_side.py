"""The reading side of a client connection: bytes in, requests and aborts on to the module."""

from __future__ import annotations

import asyncio
from collections import deque

from quincepier import clock
from quincepier.net.client_session import ClientSession, cgi_head
from quincepier.net.client_write_side import ClientWriteSide
from quincepier.net.messages import Came, Left
from quincepier.net.sockets import MOMENTARY_PAUSE, is_momentary
from quincepier.translate import PING, BadRequestError, open_request
from quincepier.wire import fastcgi
from quincepier.wire.errors import ProtocolError

PARTIAL_REQUEST_TIMEOUT_S = 2.0  # seconds that one message may take
ROW = 4  # reads of one connection in a row
FAULT_PAUSE, FAULT_PAUSE_MOST = 0.02, 1.0  # seconds not read after a faulty request; doubled at each
UNTAKEN_MOST = 1024  # short answers behind a socket that takes none; usual clients have 32 requests open
CHECK_INTERVAL = 50 * clock.MS  # ns; a client heard of this lately is not looked at again
LISTEN_WITHIN = 0.05  # seconds not read at most while a request is open: its client may leave or abort


class ClientReadSide(ClientWriteSide):
    __slots__ = ()

    # Of the other sides

    def _schedule_check(self, seconds: float, resume: bool = False) -> None:
        raise NotImplementedError

    def resume_reading(self) -> None:
        raise NotImplementedError

    def on_readable(self, gone: bool = False) -> None:
        """There is something to read: now, or as its turn comes. What is paused looks as it resumes.

        `gone`: the client has closed; where that is not told, it is read.
        """
        if not self.is_reading:
            if gone and self.has_open_requests:
                self.close()
            else:
                self._note_unread_data()
            return
        if self.manager.may_read_now(self.client_connection):
            self.receive()
        else:
            self._note_unread_data()

    def _note_unread_data(self) -> None:
        """There is something to read, and it is not read yet: its time counts from here.

        Until the socket has been empty, all that is read may have been there from the first such moment on.
        """
        if not self.readable_since_ns:
            self.readable_since_ns = clock.now()
        if not self.earliest_arrival_ns:
            self.earliest_arrival_ns = self.manager.pauses.earliest_arrival(self.readable_since_ns)

    def set_earliest_arrival(self, arrival_ns: int) -> None:
        """What lies in the socket now may have come at that time."""
        self.readable_since_ns, self.earliest_arrival_ns = clock.now(), arrival_ns

    def check_client(self, now_ns: int) -> bool:
        """Hear of an abort or a close that lies in the socket, where it was not read to its end lately.

        Return False where one may lie there for longer than `CHECK_INTERVAL`, behind what is of no use.
        """
        if self.is_closed or now_ns - self.socket_empty_at_ns < CHECK_INTERVAL:
            return True
        self.is_reading = True
        self.receive()
        is_slowed = bool(self.bad_request_count) or self.is_read_closed
        unread_since = self.earliest_arrival_ns  # 0: it was read to its end
        return not (is_slowed and 0 < unread_since <= clock.now() - CHECK_INTERVAL)

    def receive(self) -> None:
        """Read and take what came; what goes wrong ends this connection alone.

        Until nothing is left, since it is told once of all that is there.
        """
        try:
            for _ in range(ROW):
                if not self.is_reading:  # closed, its read side closed, or paused
                    return
                size = self.sock.recv_into(self.manager.read_buffer)
                if not size:
                    self.close()
                    return
                self._on_received(size)
                if size == len(self.manager.read_buffer):  # that many requests are its part of a turn
                    break
            if self.is_reading:
                self._note_unread_data()
                self.manager.enqueue_read(self.client_connection)
        except (BlockingIOError, InterruptedError):
            self.readable_since_ns = self.earliest_arrival_ns = 0
            self.socket_empty_at_ns = clock.now()
        except OSError as error:
            if is_momentary(error):
                self._note_unread_data()
                asyncio.get_running_loop().call_later(MOMENTARY_PAUSE, self._retry_receive)
            else:
                self._close_on_error(error)
        except Exception as error:
            self._close_on_error(error)

    def _retry_receive(self) -> None:
        """In a turn of the loop, what could not be read in an earlier one."""
        if self.is_reading:
            self.manager.enqueue_read(self.client_connection)

    def _on_received(self, size: int) -> None:
        now, faults, manager = clock.now(), self.bad_request_count, self.manager
        self._note_unread_data()  # what stood in line was there before: its time counts
        at, earliest, self.readable_since_ns = self.readable_since_ns, self.earliest_arrival_ns, 0
        self.last_activity_ns = now
        session = self.session
        if session is None:
            session = self.session = ClientSession(manager.descriptors.clients_most)
            manager.busy_connections.add(self.client_connection)
        read_closed, decoder = self.is_read_closed, session.decoder
        # behind a fault it is read on only to hear of a close
        for item in decoder.feed(manager.read_buffer[:size]) if decoder.fault is None else ():
            match item:
                case fastcgi.Call() | fastcgi.Reply() if read_closed:
                    pass  # only aborts are listened to
                case fastcgi.Call():
                    self._on_request(session, item, at, earliest)
                case fastcgi.Aborted(stream):
                    self._on_abort(session, stream)
                case fastcgi.Reply(data, closes):
                    session.short_responses.append((0, data))
                    self.closes_when_sent = self.closes_when_sent or closes
                    self.is_read_closed = self.is_read_closed or closes
                    self._schedule_flush()
        if self.write_task is not None and len(session.short_responses) > UNTAKEN_MOST:
            manager.checks.event("client_closed_short_responses_unread")
            self.close()
            return
        if decoder.fault is not None and not read_closed:
            self.stop_reading(decoder.fault)
            return
        held = decoder.held
        if held or self.partial_bytes:
            manager.account_partial_bytes(self.client_connection, held)
            if self.is_closed:
                return
        if self._update_partial(session, manager.active_clock.read(now)):
            self._schedule_check(PARTIAL_REQUEST_TIMEOUT_S)
        if self.is_read_closed or self.bad_request_count != faults:
            self._pause_reading()
        if not self.is_reading and self.has_open_requests:
            asyncio.get_running_loop().call_later(LISTEN_WITHIN, self.resume_reading)
        elif (
            self.bad_request_count != faults and not self.is_read_closed
        ):  # who sends what can't be used gets little CPU
            self._schedule_check(
                min(FAULT_PAUSE * 2 ** min(self.bad_request_count, 10), FAULT_PAUSE_MOST), resume=True
            )
        self._update_state()

    def stop_reading(self, fault: ProtocolError) -> None:
        """Nothing that comes is of use any more: it ends once what was asked whole is answered."""
        session = self.session
        if self.is_closed or session is None:
            return
        self.manager.checks.event("client_protocol_error", str(fault))
        session.decoder.fail(fault)
        self.manager.body_bytes -= self.partial_bytes
        self.partial_bytes = 0
        self.is_read_closed = self.closes_when_sent = True
        self._pause_reading()
        if self.has_open_requests:  # its client may leave
            asyncio.get_running_loop().call_later(LISTEN_WITHIN, self.resume_reading)
        if self.owes_responses or self.is_flush_scheduled:
            self._update_state()
        else:
            self.close(linger=self.has_requested)  # what it was answered may not have reached it yet

    def _on_request(self, session: ClientSession, call: fastcgi.Call, at: int, earliest: int) -> None:
        manager = self.manager
        session.keep_open_by_stream[call.id] = call.keep
        self.has_requested = True
        manager.registry.on_request(self.client_connection)
        if call.params.get("SCRIPT_NAME") == PING and not call.fault:
            self._queue_response(session, call.id, cgi_head(200 if manager.is_ready() else 503))
            return
        try:
            request = open_request(call, manager.classes, self, at, earliest)
        except BadRequestError as error:
            self.bad_request_count += 1
            self.is_read_closed = self.is_read_closed or bool(call.fault)
            manager.checks.event("bad_request", str(error))
            self._queue_response(session, call.id, cgi_head(error.status))
            return
        if manager.is_rejecting:
            self._queue_response(session, call.id, cgi_head(503, wait_ms=manager.draw_retry_after_ms()))
            return
        if manager.body_bytes + len(call.body) > manager.max_body_bytes:
            manager.checks.event("request_rejected_body_limit")
            self._queue_response(session, call.id, cgi_head(503, wait_ms=manager.draw_retry_after_ms()))
            return
        if not manager.module.add(Came(request)):
            manager.checks.event("request_rejected_queue_full")
            self._queue_response(session, call.id, cgi_head(503, wait_ms=manager.draw_retry_after_ms()))
            return
        session.request_by_stream[call.id] = request
        manager.body_bytes += len(request.body)

    def _on_abort(self, session: ClientSession, stream: int) -> None:
        session.keep_open_by_stream.pop(stream, None)
        for outgoing in [o for o in session.outgoing if o.stream_id == stream]:
            session.outgoing.remove(outgoing)
            outgoing.release()
        if session.short_responses:
            session.short_responses = deque(item for item in session.short_responses if item[0] != stream)
        request = session.request_by_stream.pop(stream, None)
        if request is not None:
            request.cancel(clock.now())
            self._release_body(request)
            self.manager.module.push(Left(request))

    def _update_partial(self, session: ClientSession, now: int) -> bool:
        """Whether something is half-sent; since when is noted as it begins."""
        unfinished = session.decoder.unfinished
        if unfinished is None:
            session.partial = None
        elif unfinished != session.partial:
            session.partial, session.partial_since = unfinished, now
        return unfinished is not None

    def _pause_reading(self) -> None:
        self.is_reading = False
        self.manager.remove_from_queues(self.client_connection)
